//! Decides whether a rejection because of a team's rate was wrongful.
//!
//! The account is a token bucket for each team, from which the tokens of its calls are taken when they end:
//! the tokens received or, if those are unknown, the whole reservation. A rejection is wrongful when the
//! bucket holds enough tokens for the call at the time of the rejection.

use cowslip_units::{ClockTime, TokenCount, TokenRate};

/// A token bucket. Levels are in thousandths of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateAccount {
    rate: TokenRate,
    cap: u64,
    level: u64,
    updated_at: ClockTime,
}

impl RateAccount {
    /// Creates a full bucket with the rate and burst of a team.
    pub fn new(rate: TokenRate, burst: TokenCount, now: ClockTime) -> Self {
        let cap = burst.get().saturating_mul(1_000);
        Self { rate, cap, level: cap, updated_at: now }
    }

    /// Takes tokens; a bucket that holds fewer becomes empty.
    pub fn take(&mut self, tokens: u64, now: ClockTime) {
        self.refill(now);
        self.level = self.level.saturating_sub(tokens.saturating_mul(1_000));
    }

    /// Returns unused tokens, up to the capacity.
    pub fn return_tokens(&mut self, tokens: u64, now: ClockTime) {
        self.refill(now);
        self.level = self.cap.min(self.level.saturating_add(tokens.saturating_mul(1_000)));
    }

    /// Returns whether the bucket holds `tokens` at `now`.
    pub fn has_tokens(&mut self, tokens: u64, now: ClockTime) -> bool {
        self.refill(now);
        self.level >= tokens.saturating_mul(1_000)
    }

    fn refill(&mut self, now: ClockTime) {
        let gained = now.since_ms(self.updated_at).saturating_mul(self.rate.per_second());
        self.level = self.cap.min(self.level.saturating_add(gained));
        self.updated_at = self.updated_at.max(now);
    }
}
