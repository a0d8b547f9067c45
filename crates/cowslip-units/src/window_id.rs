//! Windows of time for which usage is reported.

use crate::DayTime;
use crate::whole_number::whole_number;

whole_number!(
    /// Number of a usage window. Window k begins k window lengths after the start of 1970.
    WindowId,
    "usage window"
);

impl WindowId {
    /// The window that contains a time. A length of zero counts as one ms.
    pub const fn at(time: DayTime, window_ms: u64) -> Self {
        Self::new(time.get() / if window_ms == 0 { 1 } else { window_ms })
    }

    /// End of the window, which is the begin of the next one.
    pub const fn end(self, window_ms: u64) -> DayTime {
        DayTime::new(self.get().saturating_add(1).saturating_mul(window_ms))
    }
}
