//! Retry budget of a router.

use cowslip_units::ClockTime;

/// Thousandths of a retry added per request: 10%.
const EARNED_PER_REQUEST_MILLI: u64 = 100;
/// Thousandths of a retry added per second, so that a nearly idle router can retry at all.
const EARNED_PER_SECOND_MILLI: u64 = 100;
/// Cap of the budget in thousandths: 20 retries.
const MAX_BALANCE_MILLI: u64 = 20_000;
/// Initial budget in thousandths: 3 retries.
const INITIAL_BALANCE_MILLI: u64 = 3_000;
/// Cost of a retry in thousandths.
const RETRY_COST_MILLI: u64 = 1_000;

/// Limits retries to 10% of the router's own requests plus one in ten seconds.
///
/// Since every router applies the limit, retries stay below 10% across the fleet and cannot amplify an
/// overload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance_milli: u64,
    earned_at: ClockTime,
}

impl RetryBudget {
    /// A budget with the initial allowance, as of `now`.
    pub const fn new(now: ClockTime) -> Self {
        Self { balance_milli: INITIAL_BALANCE_MILLI, earned_at: now }
    }

    /// Adds the retries earned by a caller's request that has arrived.
    pub fn request(&mut self) {
        self.balance_milli = (self.balance_milli + EARNED_PER_REQUEST_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Takes one retry; false when the budget does not allow it.
    pub fn take(&mut self, now: ClockTime) -> bool {
        let earned_milli = now.since_ms(self.earned_at) * EARNED_PER_SECOND_MILLI / 1_000;
        if earned_milli > 0 {
            self.balance_milli = (self.balance_milli + earned_milli).min(MAX_BALANCE_MILLI);
            self.earned_at = now;
        }
        if self.balance_milli < RETRY_COST_MILLI {
            return false;
        }
        self.balance_milli -= RETRY_COST_MILLI;
        true
    }
}
