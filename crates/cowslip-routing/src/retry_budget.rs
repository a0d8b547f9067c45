//! Retry budget of a router.

use cowslip_units::ClockTime;

/// Thousandths of a retry added per request: 10%.
const EARNED_PER_REQUEST: u64 = 100;
/// Thousandths of a retry added per second, so that a nearly idle router can retry at all.
const EARNED_PER_SECOND: u64 = 100;
/// Cap of the budget in thousandths: 20 retries.
const MAX_BALANCE: u64 = 20_000;
/// Initial budget in thousandths: 3 retries.
const INITIAL_BALANCE: u64 = 3_000;
/// Cost of a retry in thousandths.
const RETRY_COST: u64 = 1_000;

/// Limits retries to 10% of the router's own requests plus one in ten seconds.
///
/// Since every router applies the limit, retries stay below 10% fleet-wide and cannot amplify an overload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u64,
    earned_at: ClockTime,
}

impl RetryBudget {
    /// A budget with the initial allowance, as of `now`.
    pub const fn new(now: ClockTime) -> Self {
        Self { balance: INITIAL_BALANCE, earned_at: now }
    }

    /// A request of a caller arrived.
    pub fn request(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry; false when the budget does not allow it.
    pub fn take(&mut self, now: ClockTime) -> bool {
        let earned = now.since_ms(self.earned_at) * EARNED_PER_SECOND / 1_000;
        if earned > 0 {
            self.balance = (self.balance + earned).min(MAX_BALANCE);
            self.earned_at = now;
        }
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
