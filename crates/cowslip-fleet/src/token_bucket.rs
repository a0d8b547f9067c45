//! A token bucket that can lend tokens to other members.

use cowslip_units::{ClockTime, InvariantName, TokenCount, assert_invariant};

use crate::TokenShare;

/// Thousandths per token.
const MILLI: u64 = 1_000;

/// One member's bucket for a team, in thousandths of a token. Lent tokens occupy capacity until they are
/// settled: `level + lent <= cap`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TokenBucket {
    share: TokenShare,
    level: u64,
    lent: u64,
    /// Loans made before the cap was lowered may exceed it until they are settled.
    lent_limit: u64,
    /// Millionths of a token accrued but not yet amounting to a thousandth.
    carry: u64,
    refilled_at: ClockTime,
}

impl TokenBucket {
    /// An empty bucket.
    pub fn new(share: TokenShare, now: ClockTime) -> Self {
        Self { share, refilled_at: now, ..Self::default() }
    }

    /// Current rate and cap.
    pub fn share(&self) -> TokenShare {
        self.share
    }

    /// Changes rate and cap. Tokens above a lower cap are dropped; a higher cap fills from now on.
    pub fn set_share(&mut self, share: TokenShare, now: ClockTime) {
        self.refill(now);
        self.share = share;
        self.carry = 0;
        self.level = self.level.min(self.max_level());
        self.lent_limit = self.lent;
        self.check();
    }

    /// Highest level that the cap and the outstanding loans permit.
    fn max_level(&self) -> u64 {
        self.share.cap_milli.saturating_sub(self.lent)
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed_ms = now.since_ms(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let accrued = elapsed_ms.saturating_mul(self.share.rate_milli).saturating_add(self.carry);
        self.carry = accrued % MILLI;
        self.level = self.level.saturating_add(accrued / MILLI);
        if self.level >= self.max_level() {
            self.level = self.max_level();
            self.carry = 0;
        }
    }

    /// Whole tokens available now.
    pub fn level(&mut self, now: ClockTime) -> TokenCount {
        self.refill(now);
        TokenCount::new(self.level / MILLI)
    }

    /// Outstanding loans in thousandths of a token.
    pub fn lent_milli(&self) -> u64 {
        self.lent
    }

    /// Takes `amount` if the bucket holds that many tokens.
    pub fn take(&mut self, amount: TokenCount, now: ClockTime) -> bool {
        self.refill(now);
        let requested = amount.get().saturating_mul(MILLI);
        let available = requested <= self.level;
        if available {
            self.level -= requested;
        }
        self.check();
        available
    }

    /// Lends at most `amount`; returns the tokens lent.
    pub fn lend(&mut self, amount: TokenCount, now: ClockTime) -> TokenCount {
        let granted = self.level(now).min(amount);
        let milli = granted.get() * MILLI;
        self.level -= milli;
        self.lent += milli;
        self.check();
        granted
    }

    /// Ends a loan of `amount`: its tokens were spent, dropped or expired.
    pub fn settle(&mut self, amount: TokenCount, now: ClockTime) {
        // Until now the loan occupied capacity, so refill before releasing it.
        self.refill(now);
        self.lent = self.lent.saturating_sub(amount.get().saturating_mul(MILLI));
        self.lent_limit = self.lent_limit.min(self.lent);
        self.check();
    }

    /// Returns unused tokens; what exceeds the cap is dropped.
    pub fn put_back(&mut self, amount: TokenCount, now: ClockTime) {
        self.refill(now);
        self.level = self.level.saturating_add(amount.get().saturating_mul(MILLI)).min(self.max_level());
        self.check();
    }

    fn check(&self) {
        let limit = self.share.cap_milli.max(self.lent_limit);
        assert_invariant(self.level + self.lent <= limit, InvariantName::RateBounded, || {
            format!("level {} + lent {} exceed {limit}", self.level, self.lent)
        });
    }
}
