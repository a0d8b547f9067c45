//! Forecast of the time until a target has capacity.

use cowslip_units::ErrorKind;

/// Capacity forecast of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetForecast {
    /// The target takes requests, now or soon.
    Open {
        /// Time in ms until it takes the next request; zero when it takes one now.
        ready_in_ms: u64,
        /// Expected time in ms between two dispatches from then on.
        interval_ms: u64,
    },
    /// The target takes no requests, and waiting would not help.
    Closed {
        /// Error to report to the caller.
        kind: ErrorKind,
        /// Time in ms after which the caller may retry.
        retry_after_ms: u64,
    },
}

impl TargetForecast {
    /// A target that takes requests at once.
    pub const READY: Self = Self::Open { ready_in_ms: 0, interval_ms: 0 };
}
