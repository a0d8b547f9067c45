//! A gateway's quota of one team's tokens.
//!
//! The leader grants tokens for a short time; what is unspent by then is returned to it. A gateway that has
//! received no answer from a leader for some time spends its standalone share of the team's rate, without
//! burst, and the leader does not grant that share to others.

use cowslip_units::ClockTime;

use crate::{ShareTerms, StandaloneShare};

/// Time in ms for which a grant may be spent. At worst, the window of the limit is longer by this.
pub const GRANT_LIFETIME_MS: u64 = 600;

/// Time in ms for which quota is requested ahead of demand, at the recent rate of spending.
const AHEAD_MS: u64 = 400;

/// The outcome of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Taken,
    /// This many tokens are missing.
    Short(u64),
    /// The team's remaining tokens are reserved for its urgent and its small requests.
    HeldBack,
}

/// The tokens that one request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenNeed {
    /// Number of tokens.
    pub charge: u64,
    /// True for a large request of low priority.
    pub bulk: bool,
    /// True once the request's tokens were requested from the leader.
    pub asked: bool,
    /// True when no leader has answered for so long that the standalone share may be spent.
    pub is_standalone: bool,
    /// True while few tokens are left.
    pub tight: bool,
}

/// An unexpired grant of a leader.
#[derive(Clone, Debug, PartialEq)]
struct OpenGrant {
    amount: u64,
    until: ClockTime,
    term: u64,
}

/// One team's tokens at one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenQuota {
    grants: Vec<OpenGrant>,
    returned: u64,
    spent_alone: u64,
    /// Term of the leader that last answered: only its own grants are returned to it.
    term: u64,
    recent_spend: f64,
    decayed_at: ClockTime,
    share: StandaloneShare,
}

impl TokenQuota {
    /// A quota without tokens.
    pub fn new(now: ClockTime) -> Self {
        Self {
            grants: Vec::new(),
            returned: 0,
            spent_alone: 0,
            term: 0,
            recent_spend: 0.0,
            decayed_at: now,
            share: StandaloneShare::none(now),
        }
    }

    /// Sets the standalone share for the time without a leader.
    pub fn set_standalone_share(&mut self, terms: ShareTerms, now: ClockTime) {
        self.share = self.share.clone().with_terms(terms, now);
    }

    fn expire(&mut self, now: ClockTime) {
        let is_expired = |grant: &OpenGrant| grant.until <= now;
        let returnable = |grant: &&OpenGrant| is_expired(grant) && grant.term == self.term;
        self.returned += self.grants.iter().filter(returnable).map(|grant| grant.amount).sum::<u64>();
        self.grants.retain(|grant| !is_expired(grant));
    }

    /// Granted tokens that are unspent.
    pub fn remaining(&mut self, now: ClockTime) -> u64 {
        self.expire(now);
        self.level()
    }

    fn level(&self) -> u64 {
        self.grants.iter().map(|grant| grant.amount).sum()
    }

    fn decay(&mut self, now: ClockTime) {
        let elapsed_ms = now.since_ms(self.decayed_at) as f64;
        self.recent_spend *= (-elapsed_ms / 1_000.0).exp();
        self.decayed_at = now;
    }

    /// Reserves the tokens of a request. A bulk request gets none while few are left, unless the leader has
    /// granted them for it: that grant itself may be what left so few.
    pub fn take(&mut self, need: &TokenNeed, now: ClockTime) -> ReserveOutcome {
        let is_held_back = need.bulk && need.tight && !need.is_standalone;
        if is_held_back && !need.asked {
            return ReserveOutcome::HeldBack;
        }
        match self.reserve(need.charge, need.is_standalone, now) {
            ReserveOutcome::Short(_) if is_held_back => ReserveOutcome::HeldBack,
            outcome => outcome,
        }
    }

    /// Reserves `amount` tokens; `is_standalone` when no leader has answered for so long that the standalone
    /// share may be spent.
    pub fn reserve(&mut self, amount: u64, is_standalone: bool, now: ClockTime) -> ReserveOutcome {
        self.expire(now);
        let level = self.level();
        if level < amount {
            if is_standalone && self.share.take(amount, now) {
                self.spent_alone += amount;
                return ReserveOutcome::Taken;
            }
            return ReserveOutcome::Short(amount - level);
        }
        let mut rest = amount;
        for grant in &mut self.grants {
            let taken = grant.amount.min(rest);
            grant.amount -= taken;
            rest -= taken;
        }
        self.grants.retain(|grant| grant.amount > 0);
        self.decay(now);
        self.recent_spend += amount as f64;
        ReserveOutcome::Taken
    }

    /// Records that the leader of `term` answered a report. Tokens to return to an earlier leader are
    /// dropped.
    pub fn record_answer(&mut self, term: u64) {
        if term != self.term {
            self.term = term;
            self.returned = 0;
        }
    }

    /// Adds a grant of `amount` that answers a report sent at `sent_at`.
    pub fn add_grant(&mut self, amount: u64, sent_at: ClockTime, now: ClockTime) {
        if amount == 0 {
            return;
        }
        self.grants.push(OpenGrant { amount, until: sent_at.plus_ms(GRANT_LIFETIME_MS), term: self.term });
        self.expire(now);
    }

    /// Returns the tokens of a request that did not run.
    pub fn refund(&mut self, amount: u64) {
        self.returned += amount;
    }

    /// Tokens to request ahead of demand, beyond those that are left.
    pub fn ahead(&mut self, now: ClockTime) -> u64 {
        self.decay(now);
        self.expire(now);
        let wanted = self.recent_spend * AHEAD_MS as f64 / 1_000.0;
        (wanted as u64).saturating_sub(self.level())
    }

    /// Standalone tokens spent since the last report that was answered.
    pub fn spent_alone(&self) -> u64 {
        self.spent_alone
    }

    /// Records that a leader has charged `amount` of the tokens that were spent without one.
    pub fn settle(&mut self, amount: u64) {
        self.spent_alone = self.spent_alone.saturating_sub(amount);
    }

    /// Takes the tokens to return with the next report.
    pub fn take_returned(&mut self) -> u64 {
        std::mem::take(&mut self.returned)
    }
}
