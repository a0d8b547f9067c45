//! How fast waiting requests for one target get places.
//!
//! Load this answers: a place becomes free when a call ends here or elsewhere, which no gateway can foresee. The
//! time between two dispatches is counted only while requests wait, because otherwise it shows the arrivals.

use cowslip_units::ClockTime;

/// Weight of the newest interval in the moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// Intervals from which an average is used.
const MIN_INTERVALS: u32 = 8;

/// Time in ms without a dispatch after which the average is no longer used.
const MAX_AGE_MS: u64 = 10_000;

/// Moving average of the time between dispatches while requests wait.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct DispatchRate {
    last_at: ClockTime,
    interval_ms: f64,
    intervals: u32,
    /// True when requests have been waiting since the last dispatch.
    is_contended: bool,
}

impl DispatchRate {
    /// Records a dispatch; `others_wait` when requests for the target still wait.
    pub(crate) fn record(&mut self, others_wait: bool, now: ClockTime) {
        if self.is_contended {
            let interval_ms = now.since_ms(self.last_at) as f64;
            self.intervals = self.intervals.saturating_add(1);
            let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.intervals));
            self.interval_ms += weight * (interval_ms - self.interval_ms);
        }
        self.last_at = now;
        self.is_contended = others_wait;
    }

    /// Records that no request waits any more.
    pub(crate) fn record_idle(&mut self) {
        self.is_contended = false;
    }

    /// Expected time in ms until `count` requests are dispatched; `None` when too little is known.
    pub(crate) fn expected_ms(&self, count: u64, now: ClockTime) -> Option<u64> {
        let is_known = self.intervals >= MIN_INTERVALS && !self.is_expired(now);
        is_known.then_some((self.interval_ms * count as f64) as u64)
    }

    /// True when it tells nothing of the present.
    pub(crate) fn is_expired(&self, now: ClockTime) -> bool {
        now.since_ms(self.last_at) > MAX_AGE_MS
    }
}
