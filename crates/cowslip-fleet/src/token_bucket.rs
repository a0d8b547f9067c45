//! A token bucket that lends.

use cowslip_units::{ClockTime, InvariantName, TokenCount, assert_invariant};

use crate::TokenShare;

/// Thousandths in a token.
const MILLI: u64 = 1_000;

/// One node's bucket for a team, in thousandths of a token. Lent tokens take room in it until they are settled:
/// `level + lent <= cap`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TokenBucket {
    share: TokenShare,
    level: u64,
    lent: u64,
    /// Loans that were out when the cap shrank may exceed it until they are settled.
    lent_limit: u64,
    /// Millionths of a token that have come but do not make a thousandth yet.
    carry: u64,
    refilled_at: ClockTime,
}

impl TokenBucket {
    /// An empty bucket.
    pub fn new(share: TokenShare, now: ClockTime) -> Self {
        Self { share, refilled_at: now, ..Self::default() }
    }

    /// Its rate and cap.
    pub fn share(&self) -> TokenShare {
        self.share
    }

    /// Changes rate and cap. What exceeds a lower cap is dropped; a higher one starts to fill now.
    pub fn set_share(&mut self, share: TokenShare, now: ClockTime) {
        self.refill(now);
        self.share = share;
        self.carry = 0;
        self.level = self.level.min(self.room());
        self.lent_limit = self.lent;
        self.check();
    }

    /// Most that the level may be.
    fn room(&self) -> u64 {
        self.share.cap_milli.saturating_sub(self.lent)
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed = now.since_ms(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let come = elapsed.saturating_mul(self.share.rate_milli).saturating_add(self.carry);
        self.carry = come % MILLI;
        self.level = self.level.saturating_add(come / MILLI);
        if self.level >= self.room() {
            self.level = self.room();
            self.carry = 0;
        }
    }

    /// Whole tokens in it.
    pub fn level(&mut self, now: ClockTime) -> TokenCount {
        self.refill(now);
        TokenCount::new(self.level / MILLI)
    }

    /// Thousandths of a token lent and not settled.
    pub fn lent_milli(&self) -> u64 {
        self.lent
    }

    /// Takes `amount` if it is there.
    pub fn take(&mut self, amount: TokenCount, now: ClockTime) -> bool {
        self.refill(now);
        let wanted = amount.get().saturating_mul(MILLI);
        let there = wanted <= self.level;
        if there {
            self.level -= wanted;
        }
        self.check();
        there
    }

    /// Takes at most `amount` out and counts it as lent; returns how much.
    pub fn lend(&mut self, amount: TokenCount, now: ClockTime) -> TokenCount {
        let granted = self.level(now).min(amount);
        let milli = granted.get() * MILLI;
        self.level -= milli;
        self.lent += milli;
        self.check();
        granted
    }

    /// `amount` that was lent is spent, dropped or expired.
    pub fn settle(&mut self, amount: TokenCount, now: ClockTime) {
        // The time until now was one in which the lent tokens took room.
        self.refill(now);
        self.lent = self.lent.saturating_sub(amount.get().saturating_mul(MILLI));
        self.lent_limit = self.lent_limit.min(self.lent);
        self.check();
    }

    /// Puts unused tokens back; what exceeds the cap is dropped.
    pub fn put_back(&mut self, amount: TokenCount, now: ClockTime) {
        self.refill(now);
        self.level = self.level.saturating_add(amount.get().saturating_mul(MILLI)).min(self.room());
        self.check();
    }

    fn check(&self) {
        let limit = self.share.cap_milli.max(self.lent_limit);
        assert_invariant(self.level + self.lent <= limit, InvariantName::RateBounded, || {
            format!("level {} + lent {} exceed {limit}", self.level, self.lent)
        });
    }
}
