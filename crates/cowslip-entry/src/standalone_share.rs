//! A gateway's standalone share of a team's rate, for the time without a leader.
//!
//! Load this answers: a large fleet that has lost its leader, where a gateway's share of a small team's rate
//! until the next leader is less than one request. Each gateway has a rank among the others, different for
//! each team, and may spend a request ahead of its accumulated share by a part that depends on the rank. Over
//! the whole fleet, gateways in rank order then spend as many requests as the rate allows, instead of none.

use cowslip_units::ClockTime;

use crate::grant_window::UNKNOWN_GRANTS_PERCENT;

/// Seconds of the share that may accumulate. At worst, the whole fleet spends its accumulated shares in one
/// burst.
const MAX_SAVED_S: u64 = 4;

/// Thousandths in a token, and in a rank.
const MILLI: u64 = 1_000;

/// Inputs of a gateway's standalone share of a team's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareTerms {
    /// The team's rate in tokens a second.
    pub per_s: u64,
    /// Number of gateways in the fleet.
    pub members: usize,
    /// Rank of this gateway among them, from zero; different for each team.
    pub rank: usize,
    /// Tokens that the leader allows to be spent at once; `None` when the terms change without an answer of
    /// the leader, which keeps the accumulated or overdrawn level.
    pub allowance: Option<u64>,
}

/// One gateway's standalone share of one team's rate.
#[derive(Clone, Debug, PartialEq)]
pub struct StandaloneShare {
    rate_milli: u64,
    cap_milli: i64,
    /// Rank among the gateways in thousandths: the largest part of a request that may be spent ahead of the
    /// share.
    rank_milli: u64,
    /// Level in thousandths of a token; below zero after a request was spent ahead of the share.
    level_milli: i64,
    refilled_at: ClockTime,
}

impl StandaloneShare {
    /// A share of zero.
    pub fn none(now: ClockTime) -> Self {
        Self { rate_milli: 0, cap_milli: 0, rank_milli: 0, level_milli: 0, refilled_at: now }
    }

    /// The share under new terms. An overdraft is cleared only by an answer of the leader, which has charged
    /// it; if every change of the configuration cleared it, it would be spent again.
    #[must_use]
    pub fn with_terms(mut self, terms: ShareTerms, now: ClockTime) -> Self {
        self.refill(now);
        let allowance = terms.allowance.unwrap_or_default();
        let members = terms.members.max(1) as u64;
        let rate_milli = terms.per_s * MILLI * UNKNOWN_GRANTS_PERCENT / 100 / members;
        let rank = (terms.rank as u64).min(members - 1);
        Self {
            rate_milli,
            cap_milli: signed((allowance * MILLI).max(rate_milli.saturating_mul(MAX_SAVED_S))),
            rank_milli: (2 * rank + 1) * MILLI / (2 * members),
            level_milli: terms.allowance.map_or(self.level_milli, |allowance| signed(allowance * MILLI)),
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: ClockTime) {
        let refilled = signed(now.since_ms(self.refilled_at).saturating_mul(self.rate_milli) / MILLI);
        self.level_milli = self.level_milli.saturating_add(refilled).min(self.cap_milli);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Thousandths of a request of `amount` that may be spent ahead of the share. A share that covers the
    /// request within a second needs no ranks; in a small fleet they would only add to the burst.
    fn ahead_milli(&self, amount: u64) -> u64 {
        let coverage_milli = (self.rate_milli / amount.max(1)).min(MILLI);
        self.rank_milli * (2 * (MILLI - coverage_milli)).min(MILLI) / MILLI
    }

    /// Takes `amount` tokens; false when neither the level nor this gateway's rank allows it.
    pub fn take(&mut self, amount: u64, now: ClockTime) -> bool {
        self.refill(now);
        let needed = signed(amount.saturating_mul(MILLI - self.ahead_milli(amount)));
        let taken = self.rate_milli > 0 && self.level_milli >= needed;
        if taken {
            self.level_milli -= signed(amount.saturating_mul(MILLI));
        }
        taken
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
