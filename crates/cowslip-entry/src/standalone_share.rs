//! What a gateway may spend of a team's rate while no leader grants tokens.
//!
//! Load this answers: a large fleet that has lost its leader, where a gateway's part of a small team's rate is less than a
//! request in all the time until the next leader. Each gateway has a place among the others, different for each team, and
//! may spend a request before its part has come up to it by as much as its place says. Over the fleet as many requests
//! are spent as the rate allows, by those whose turn it is, instead of none.

use cowslip_units::ClockTime;

use crate::grant_window::UNKNOWN_PERCENT;

/// Seconds of the part that are saved up. The fleet's saved parts are spent in a burst at worst.
const CAP_S: u64 = 4;

/// Thousandths in a token, and in a place.
const MILLI: u64 = 1_000;

/// What a gateway knows of its part of a team's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareTerms {
    /// The team's rate in tokens a second.
    pub per_s: u64,
    /// Gateways in the fleet.
    pub members: usize,
    /// Place among them, from zero; another for each team.
    pub place: usize,
    /// Tokens that the leader leaves to be spent at once; `None` when the terms change without a leader's word, and what
    /// was saved or overdrawn stays.
    pub allowance: Option<u64>,
}

/// One gateway's part of one team's rate.
#[derive(Clone, Debug, PartialEq)]
pub struct StandaloneShare {
    rate_milli: u64,
    cap_milli: i64,
    /// Place among the gateways in thousandths: the part of a request by which a spend may run ahead at most.
    place_milli: u64,
    /// Level in thousandths of a token; below zero after a spend ahead of the part.
    level_milli: i64,
    refilled_at: ClockTime,
}

impl StandaloneShare {
    /// Nothing to spend.
    pub fn none(now: ClockTime) -> Self {
        Self { rate_milli: 0, cap_milli: 0, place_milli: 0, level_milli: 0, refilled_at: now }
    }

    /// The part that follows from `terms`, after this one. What was spent ahead of the part is forgotten only on a
    /// leader's word, who has counted it; with each change of the configuration it would be spent again.
    #[must_use]
    pub fn renewed(mut self, terms: ShareTerms, now: ClockTime) -> Self {
        self.refill(now);
        let allowance = terms.allowance.unwrap_or_default();
        let members = terms.members.max(1) as u64;
        let rate_milli = terms.per_s * MILLI * UNKNOWN_PERCENT / 100 / members;
        let place = (terms.place as u64).min(members - 1);
        Self {
            rate_milli,
            cap_milli: signed((allowance * MILLI).max(rate_milli.saturating_mul(CAP_S))),
            place_milli: (2 * place + 1) * MILLI / (2 * members),
            level_milli: terms.allowance.map_or(self.level_milli, |allowance| signed(allowance * MILLI)),
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: ClockTime) {
        let come = signed(now.since_ms(self.refilled_at).saturating_mul(self.rate_milli) / MILLI);
        self.level_milli = self.level_milli.saturating_add(come).min(self.cap_milli);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Thousandths of a request of `amount` that may be spent ahead of the part. A part that comes up to the request
    /// within a second needs no turns; in a small fleet they would only add to what is spent at once.
    fn ahead_milli(&self, amount: u64) -> u64 {
        let soon = (self.rate_milli / amount.max(1)).min(MILLI);
        self.place_milli * (2 * (MILLI - soon)).min(MILLI) / MILLI
    }

    /// Takes `amount` tokens if it is this gateway's turn.
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
