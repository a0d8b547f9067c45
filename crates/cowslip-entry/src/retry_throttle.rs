//! A gateway's part in the fleet's budget of repeated sends to a service.
//!
//! The fleet may send a fixed number and a share of the requests more often than once, counted in a sliding window.
//! Each gateway takes its part of the fixed number; half of it can be saved up and half comes back over a window, so
//! no window sees more than the part.

use cowslip_units::ClockTime;

/// Thousandths of a repeat.
const MILLI: u64 = 1_000;

/// The fleet's limit on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Share of the requests.
    pub ratio: f64,
    /// Repeats on top of it in a window.
    pub extra: u64,
    /// Length of the window in ms.
    pub window_ms: u64,
}

/// Part of the share that is used; the rest covers requests that change gateways between windows.
const USED_RATIO: f64 = 0.75;

/// One gateway's budget for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryThrottle {
    saved: u64,
    earned_at: ClockTime,
}

impl RetryThrottle {
    /// An empty budget.
    pub fn new(now: ClockTime) -> Self {
        Self { saved: MILLI, earned_at: now }
    }

    fn cap(limit: RetryLimit, members: usize) -> u64 {
        (limit.extra * MILLI / (2 * members.max(1) as u64)).max(MILLI)
    }

    fn earn(&mut self, limit: RetryLimit, members: usize, now: ClockTime) {
        let cap = Self::cap(limit, members);
        let come = cap * now.since_ms(self.earned_at) / limit.window_ms.max(1);
        if come > 0 {
            self.earned_at = now;
            self.saved = (self.saved + come).min(cap);
        }
    }

    /// A request was sent for the first time.
    pub fn request(&mut self, limit: RetryLimit, members: usize) {
        let earned = (limit.ratio * USED_RATIO * MILLI as f64) as u64;
        self.saved = (self.saved + earned).min(Self::cap(limit, members));
    }

    /// True when one repeat could be taken.
    pub fn allows(&mut self, limit: RetryLimit, members: usize, now: ClockTime) -> bool {
        self.earn(limit, members, now);
        self.saved >= MILLI
    }

    /// Takes one repeat; false when the budget does not allow it.
    pub fn take(&mut self, limit: RetryLimit, members: usize, now: ClockTime) -> bool {
        if !self.allows(limit, members, now) {
            return false;
        }
        self.saved -= MILLI;
        true
    }
}
