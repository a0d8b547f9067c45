//! True time of day, as opposed to the monotonic [`crate::ClockTime`].

use crate::whole_number::whole_number;

whole_number!(
    /// Time of day in ms since the start of 1970.
    DayTime,
    "time of day"
);

impl DayTime {
    /// This time plus `millis`.
    #[must_use]
    pub const fn plus_ms(self, millis: u64) -> Self {
        Self::new(self.get().saturating_add(millis))
    }

    /// Time in ms since `earlier`; 0 when it is later.
    pub const fn since_ms(self, earlier: Self) -> u64 {
        self.get().saturating_sub(earlier.get())
    }
}
