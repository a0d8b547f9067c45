//! Points in time on a process's own monotonic clock.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds on one process's monotonic clock.
///
/// Points of different processes must not be compared: messages carry ages instead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The clock's origin.
    pub const ZERO: Self = Self(0);
    /// A point later than every other one.
    pub const NEVER: Self = Self(u64::MAX);

    /// A point `millis` milliseconds after the start of the clock.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the start of the clock.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// The point `millis` later; saturates at [`ClockTime::NEVER`].
    #[must_use]
    pub const fn plus_ms(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// The point `millis` earlier; saturates at [`ClockTime::ZERO`].
    #[must_use]
    pub const fn minus_ms(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }

    /// Milliseconds from `earlier` to this point, zero if `earlier` is later.
    pub const fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
