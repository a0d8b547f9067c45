//! How many loads from the weight store may begin.

use cowslip_units::ClockTime;

/// The fleet's limit on loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimit {
    /// Loads that run at full speed at the same time.
    pub at_once: usize,
    /// Loads that may begin beyond the rate in any window.
    pub extra: u64,
}

/// Millionths of a load.
const MICRO: f64 = 1_000_000.0;

/// A bucket of loads; it starts empty, because an earlier leader may just have begun some.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadBudget {
    saved_micro: f64,
    at: ClockTime,
}

impl LoadBudget {
    /// An empty budget.
    pub fn new(now: ClockTime) -> Self {
        Self { saved_micro: 0.0, at: now }
    }

    /// Lets time pass at a rate of `per_s`.
    pub fn refill(&mut self, per_s: f64, extra: u64, now: ClockTime) {
        let come = now.since_ms(self.at) as f64 / 1_000.0 * per_s * MICRO;
        self.at = now;
        self.saved_micro = (self.saved_micro + come).min(extra as f64 * MICRO);
    }

    /// True when a load may begin.
    pub fn allows(&self) -> bool {
        self.saved_micro >= MICRO
    }

    /// A load begins.
    pub fn take(&mut self) {
        self.saved_micro -= MICRO;
    }
}
