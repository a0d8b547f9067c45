//! The tokens of a team that a gateway may spend.
//!
//! The leader grants tokens for a short time; what is not spent by then goes back to it. A gateway that has not heard
//! from a leader spends its part of the team's rate without burst, and the leader leaves that part ungranted.

use cowslip_units::ClockTime;

use crate::{ShareTerms, StandaloneShare};

/// Time in ms for which a grant may be spent. The window of the limit is longer by this much at worst.
pub const GRANT_MS: u64 = 600;

/// Time in ms over which the need of the next moments is estimated.
const AHEAD_MS: u64 = 400;

/// What a reservation came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are taken.
    Taken,
    /// So many tokens are missing.
    Short(u64),
    /// What the team has left is kept for its urgent and its small requests.
    HeldBack,
}

/// What a request needs of its team's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenNeed {
    /// Its tokens.
    pub charge: u64,
    /// True for a large request of low rank.
    pub bulk: bool,
    /// True once the leader was asked for its tokens.
    pub asked: bool,
    /// True when no leader has answered for long.
    pub alone: bool,
    /// True while few tokens are left.
    pub tight: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct GrantLeft {
    amount: u64,
    until: ClockTime,
    term: u64,
}

/// One team's tokens at a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenQuota {
    grants: Vec<GrantLeft>,
    returned: u64,
    spent_alone: u64,
    /// The leader that was last heard: only its own grants are given back to it.
    term: u64,
    spent_recently: f64,
    decayed_at: ClockTime,
    own: StandaloneShare,
}

impl TokenQuota {
    /// An empty purse.
    pub fn new(now: ClockTime) -> Self {
        Self {
            grants: Vec::new(),
            returned: 0,
            spent_alone: 0,
            term: 0,
            spent_recently: 0.0,
            decayed_at: now,
            own: StandaloneShare::none(now),
        }
    }

    /// Sets what may be spent without a leader.
    pub fn set_own_part(&mut self, terms: ShareTerms, now: ClockTime) {
        self.own = self.own.clone().renewed(terms, now);
    }

    fn expire(&mut self, now: ClockTime) {
        let lapsed = |grant: &GrantLeft| grant.until <= now;
        let own = |grant: &&GrantLeft| lapsed(grant) && grant.term == self.term;
        self.returned += self.grants.iter().filter(own).map(|grant| grant.amount).sum::<u64>();
        self.grants.retain(|grant| !lapsed(grant));
    }

    /// Granted tokens that are left.
    pub fn left(&mut self, now: ClockTime) -> u64 {
        self.expire(now);
        self.level()
    }

    fn level(&self) -> u64 {
        self.grants.iter().map(|grant| grant.amount).sum()
    }

    fn decay(&mut self, now: ClockTime) {
        let elapsed = now.since_ms(self.decayed_at) as f64;
        self.spent_recently *= (-elapsed / 1_000.0).exp();
        self.decayed_at = now;
    }

    /// Takes the tokens of a request, if they are there and it may have them. A bulk request gets none while they are
    /// tight, unless they were asked for and granted for it: it may be that grant which made them tight.
    pub fn take(&mut self, need: &TokenNeed, now: ClockTime) -> ReserveOutcome {
        let kept = need.bulk && need.tight && !need.alone;
        if kept && !need.asked {
            return ReserveOutcome::HeldBack;
        }
        match self.reserve(need.charge, need.alone, now) {
            ReserveOutcome::Short(_) if kept => ReserveOutcome::HeldBack,
            step => step,
        }
    }

    /// Takes `amount` for a request; `alone` when no leader has answered for long.
    pub fn reserve(&mut self, amount: u64, alone: bool, now: ClockTime) -> ReserveOutcome {
        self.expire(now);
        let level = self.level();
        if level < amount {
            if alone && self.own.take(amount, now) {
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
        self.spent_recently += amount as f64;
        ReserveOutcome::Taken
    }

    /// The leader of `term` answered a report.
    pub fn heard(&mut self, term: u64) {
        if term != self.term {
            self.term = term;
            self.returned = 0;
        }
    }

    /// The leader granted `amount` in answer to a report that was sent at `sent_at`.
    pub fn granted(&mut self, amount: u64, sent_at: ClockTime, now: ClockTime) {
        if amount == 0 {
            return;
        }
        self.grants.push(GrantLeft { amount, until: sent_at.plus_ms(GRANT_MS), term: self.term });
        self.expire(now);
    }

    /// Tokens of a request that did not run.
    pub fn give_back(&mut self, amount: u64) {
        self.returned += amount;
    }

    /// Tokens wanted for the next moments, beyond what is there.
    pub fn ahead(&mut self, now: ClockTime) -> u64 {
        self.decay(now);
        self.expire(now);
        let wanted = self.spent_recently * AHEAD_MS as f64 / 1_000.0;
        (wanted as u64).saturating_sub(self.level())
    }

    /// Tokens spent without a leader since the last report that was answered.
    pub fn spent_alone(&self) -> u64 {
        self.spent_alone
    }

    /// A leader has counted tokens that were spent without one.
    pub fn counted(&mut self, amount: u64) {
        self.spent_alone = self.spent_alone.saturating_sub(amount);
    }

    /// Tokens to give back with the next report.
    pub fn take_returned(&mut self) -> u64 {
        std::mem::take(&mut self.returned)
    }
}
