//! Rate limit on loads from the weight store.

use cowslip_units::ClockTime;

/// The fleet's limit on loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimit {
    /// Loads that run at full speed at the same time.
    pub at_once: usize,
    /// Loads that may begin beyond the rate within any window.
    pub extra: u64,
}

/// Millionths in a load.
const MICRO: f64 = 1_000_000.0;

/// Token bucket of loads. It starts empty, because an earlier leader may just have begun some.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadBudget {
    level_micro: f64,
    refilled_at: ClockTime,
}

impl LoadBudget {
    /// An empty bucket.
    pub fn new(now: ClockTime) -> Self {
        Self { level_micro: 0.0, refilled_at: now }
    }

    /// Refills the bucket at `per_s` loads a second, up to `extra` loads.
    pub fn refill(&mut self, per_s: f64, extra: u64, now: ClockTime) {
        let refilled = now.since_ms(self.refilled_at) as f64 / 1_000.0 * per_s * MICRO;
        self.refilled_at = now;
        self.level_micro = (self.level_micro + refilled).min(extra as f64 * MICRO);
    }

    /// True when a load may begin.
    pub fn can_start(&self) -> bool {
        self.level_micro >= MICRO
    }

    /// Charges a load that begins.
    pub fn take(&mut self) {
        self.level_micro -= MICRO;
    }
}
