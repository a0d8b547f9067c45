//! A gateway's share of the fleet's retry budget for a service.
//!
//! Within a sliding window, the fleet may retry a fixed number of requests plus a ratio of all requests. Each
//! gateway takes its share of the fixed number: half of it may be accumulated and half is refilled over a
//! window, so that no window exceeds the share.

use cowslip_units::ClockTime;

/// Thousandths in a retry.
const MILLI: u64 = 1_000;

/// The fleet's limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Retries on top of the ratio in a window.
    pub extra: u64,
    /// Length of the window in ms.
    pub window_ms: u64,
}

/// Part of the ratio that is used; the rest covers requests that move between gateways from one window to the
/// next.
const USED_RATIO: f64 = 0.75;

/// One gateway's retry budget for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryThrottle {
    level_milli: u64,
    refilled_at: ClockTime,
}

impl RetryThrottle {
    /// A budget of a single retry.
    pub fn new(now: ClockTime) -> Self {
        Self { level_milli: MILLI, refilled_at: now }
    }

    fn cap(limit: RetryLimit, members: usize) -> u64 {
        (limit.extra * MILLI / (2 * members.max(1) as u64)).max(MILLI)
    }

    fn refill(&mut self, limit: RetryLimit, members: usize, now: ClockTime) {
        let cap = Self::cap(limit, members);
        let refilled = cap * now.since_ms(self.refilled_at) / limit.window_ms.max(1);
        if refilled > 0 {
            self.refilled_at = now;
            self.level_milli = (self.level_milli + refilled).min(cap);
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, limit: RetryLimit, members: usize) {
        let earned = (limit.ratio * USED_RATIO * MILLI as f64) as u64;
        self.level_milli = (self.level_milli + earned).min(Self::cap(limit, members));
    }

    /// True when the budget covers one retry.
    pub fn has_retry(&mut self, limit: RetryLimit, members: usize, now: ClockTime) -> bool {
        self.refill(limit, members, now);
        self.level_milli >= MILLI
    }

    /// Takes one retry; false when the budget does not cover it.
    pub fn take(&mut self, limit: RetryLimit, members: usize, now: ClockTime) -> bool {
        if !self.has_retry(limit, members, now) {
            return false;
        }
        self.level_milli -= MILLI;
        true
    }
}
