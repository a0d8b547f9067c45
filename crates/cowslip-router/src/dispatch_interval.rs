//! Moving average of the interval between dispatches to a target.

use cowslip_units::ClockTime;

/// Divisor of the moving average: the newest interval has a weight of one in this many.
const AVERAGE_WEIGHT: u64 = 4;
/// Age in ms after which an observed interval is discarded.
const MAX_AGE_MS: u64 = 10_000;

/// Average time between dispatches to one target, measured while further requests wait for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchInterval {
    last: Option<ClockTime>,
    interval_ms: Option<u64>,
}

impl DispatchInterval {
    /// Records a dispatch; `others_wait` is true if further requests are queued for the target.
    pub fn dispatched(&mut self, now: ClockTime, others_wait: bool) {
        if let Some(last) = self.last {
            let sample = now.since_ms(last);
            let blend = |old: u64| (old * (AVERAGE_WEIGHT - 1) + sample) / AVERAGE_WEIGHT;
            self.interval_ms = Some(self.interval_ms.map_or(sample, blend));
        }
        // With an empty queue the next interval would measure the arrival rate, not the capacity.
        self.last = others_wait.then_some(now);
        if !others_wait {
            self.interval_ms = None;
        }
    }

    /// Average interval in ms; `None` if none was observed recently.
    pub fn interval_ms(&self, now: ClockTime) -> Option<u64> {
        let last = self.last?;
        let age_ms = now.since_ms(last);
        // A gap longer than the average means that the dispatch rate has dropped.
        self.interval_ms.filter(|_| age_ms <= MAX_AGE_MS).map(|interval| interval.max(age_ms / 2))
    }
}
