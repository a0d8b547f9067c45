//! Distributed token buckets: one node's part for all teams.

use cowslip_config::TeamRow;
use cowslip_messages::{PeerReport, TokenGrant, TokenHint, TokenRequest, TokenSettlement};
use cowslip_units::{ClockTime, IncarnationId, TeamId, TokenCount, ViewVersion};

use crate::share_queue::GateQueue;
use crate::team_share::{HeldGrant, TeamShare};
use crate::{
    BucketOwners, FleetView, LEND_HELD_MS, LEND_USABLE_MS, MemberSeeds, TokenShare, VersionTracker,
    sorted_vec,
};

/// Age of a grant at which what is left of it goes into the own bucket, up to its cap, before it lapses.
const GRANT_KEPT_MS: u64 = 800;

/// Settlements kept for a lender that does not take them; its loans expire by themselves.
const MAX_SETTLED: usize = 1_024;

/// What to do about a request's tokens.
#[derive(Clone, Debug, PartialEq)]
pub enum ReserveStep {
    /// The tokens are taken.
    Reserved,
    /// Send these calls, pass each result to [`TeamShares::borrow_answered`], then reserve again.
    Borrow(Vec<TokenCall>),
    /// The fleet is believed not to have the tokens before this time in ms.
    Wait(u64),
    /// The request needs more than the team's burst and can never be admitted.
    TooLarge,
    /// The sheet does not declare the team.
    UnknownTeam,
}

/// A borrow call to send.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenCall {
    /// Whom to ask.
    pub lender: IncarnationId,
    /// The call.
    pub request: TokenRequest,
}

#[derive(Clone, Debug, PartialEq)]
struct TokenAsk {
    sequence: u64,
    lender: IncarnationId,
    team: TeamId,
    sent_at: ClockTime,
}

#[derive(Clone, Debug, PartialEq)]
struct TokenLoan {
    id: (IncarnationId, u64),
    team: TeamId,
    granted: TokenCount,
    lent_at: ClockTime,
    settled: bool,
}

/// One node's buckets, loans and borrowed tokens.
///
/// The caller uses and lends tokens only while its view is confirmed.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamShares {
    own: IncarnationId,
    version: ViewVersion,
    share_changes: u64,
    gates: GateQueue,
    teams: Vec<TeamShare>,
    sequence: u64,
    asks: Vec<TokenAsk>,
    loans: Vec<TokenLoan>,
    settled: Vec<(IncarnationId, Vec<TokenSettlement>)>,
}

impl TeamShares {
    /// No teams yet.
    pub fn new(own: IncarnationId) -> Self {
        Self {
            own,
            version: ViewVersion::ZERO,
            share_changes: 0,
            gates: GateQueue::default(),
            teams: Vec::new(),
            sequence: 0,
            asks: Vec::new(),
            loans: Vec::new(),
            settled: Vec::new(),
        }
    }

    /// Takes members from the view and rates from the sheet in force in it. Call it in the same step as each
    /// change of members or sheet: shares that shrink do so now, others grow after the gain wait.
    pub fn configure(&mut self, view: &FleetView, rows: &[TeamRow], now: ClockTime) {
        let seeds = MemberSeeds::new(view.members());
        // In a skipped version the node may have lost a share that it has again in this one, and others may be
        // using it until they learn of this version.
        let skipped = view.share_changes() > self.share_changes + 1;
        self.share_changes = view.share_changes();
        for row in rows {
            if sorted_vec::find(&self.teams, &row.team, |share| &share.team).is_none() {
                let share = TeamShare::new(row.team.clone(), now);
                sorted_vec::put(&mut self.teams, share, |share| &share.team);
            }
        }
        for share in &mut self.teams {
            let row = sorted_vec::find(rows, &share.team, |row| &row.team);
            share.rate = row.map(|row| row.rate).unwrap_or_default();
            share.burst = row.map(|row| row.burst).unwrap_or_default();
            share.homes = BucketOwners::new(&share.team, &seeds);
            let part = share.homes.share(&self.own, share.rate, share.burst);
            if skipped {
                share.shares.push(view.version(), TokenShare::default());
            }
            share.shares.push(view.version(), part);
            share.fit_bucket(now);
            share.forget_hints();
        }
        if view.version() > self.version {
            self.version = view.version();
            self.gates.learned(self.version, now);
        }
        self.settled.retain(|(lender, _)| seeds.contains(lender));
        self.teams.retain(|share| !share.is_empty());
    }

    /// Lets shares grow whose gain wait is over, and handles tokens whose time has passed.
    pub fn tick(&mut self, spread: &VersionTracker, now: ClockTime) {
        if let Some(version) = self.gates.opened(spread, now) {
            for share in &mut self.teams {
                share.shares.promote(version);
                share.fit_bucket(now);
            }
            self.teams.retain(|share| !share.is_empty());
        }
        self.expire_loans(now);
        for at in 0..self.teams.len() {
            self.expire_grants(at, now);
        }
    }

    fn position(&self, team: &TeamId) -> Option<usize> {
        self.teams.binary_search_by(|share| share.team.cmp(team)).ok()
    }

    /// Takes `amount` for a request of `team`, or says whom to ask.
    pub fn reserve(&mut self, team: &TeamId, amount: TokenCount, now: ClockTime) -> ReserveStep {
        let Some(at) = self.position(team) else {
            return ReserveStep::UnknownTeam;
        };
        self.expire_grants(at, now);
        let share = &mut self.teams[at];
        if amount > share.burst {
            return if share.burst == TokenCount::ZERO {
                ReserveStep::UnknownTeam
            } else {
                ReserveStep::TooLarge
            };
        }
        // Borrowed tokens lapse, own ones do not, so borrowed ones go first.
        let borrowed = share.held().min(amount);
        let wanted = amount.minus(borrowed);
        if share.bucket.take(wanted, now) {
            self.use_grants(at, borrowed);
            return ReserveStep::Reserved;
        }
        let missing = wanted.minus(share.bucket.level(now));
        let rate = share.rate;
        match share.plan(&self.own, missing, now) {
            Ok(asks) => ReserveStep::Borrow(
                asks.into_iter().map(|(lender, amount)| self.call(team, lender, amount, now)).collect(),
            ),
            Err(deficit) => ReserveStep::Wait(rate.millis_for(deficit).unwrap_or(u64::MAX).max(1)),
        }
    }

    /// Time in ms until the fleet is believed to have `amount` for the team; `None` when that is never.
    pub fn wait_ms(&mut self, team: &TeamId, amount: TokenCount, now: ClockTime) -> Option<u64> {
        let share = sorted_vec::find_mut(&mut self.teams, team, |share| &share.team)?;
        if amount > share.burst {
            return None;
        }
        let missing = amount.minus(share.held()).minus(share.bucket.level(now));
        let deficit = share.deficit(&self.own, missing, now);
        share.rate.millis_for(deficit)
    }

    fn call(
        &mut self,
        team: &TeamId,
        lender: IncarnationId,
        amount: TokenCount,
        now: ClockTime,
    ) -> TokenCall {
        self.sequence += 1;
        let ask =
            TokenAsk { sequence: self.sequence, lender: lender.clone(), team: team.clone(), sent_at: now };
        self.asks.push(ask);
        let request = TokenRequest {
            borrower: self.own.clone(),
            team: team.clone(),
            sequence: self.sequence,
            amount,
            settled: self.take_settled(&lender),
            version: self.version,
        };
        TokenCall { lender, request }
    }

    fn use_grants(&mut self, at: usize, amount: TokenCount) {
        let mut left = amount;
        let grants = &mut self.teams[at].grants;
        for grant in grants.iter_mut() {
            let used = grant.left.min(left);
            grant.left = grant.left.minus(used);
            left = left.minus(used);
        }
        let spent: Vec<HeldGrant> = grants.extract_if(.., |grant| grant.left == TokenCount::ZERO).collect();
        spent.into_iter().for_each(|grant| self.settle_later(grant.lender, grant.sequence));
    }

    /// A borrow call was answered, or failed (`None`). A failed call is not repeated: the lender's tokens come back
    /// to it when the loan expires.
    pub fn borrow_answered(
        &mut self,
        lender: &IncarnationId,
        sequence: u64,
        grant: Option<&TokenGrant>,
        now: ClockTime,
    ) {
        let Some(at) = self.asks.iter().position(|ask| ask.sequence == sequence && ask.lender == *lender)
        else {
            return;
        };
        let ask = self.asks.swap_remove(at);
        let usable_until = ask.sent_at.plus_ms(LEND_USABLE_MS);
        let granted = grant.map(|grant| grant.granted).unwrap_or_default();
        let Some(share) = sorted_vec::find_mut(&mut self.teams, &ask.team, |share| &share.team) else {
            return self.settle_later(ask.lender, sequence);
        };
        share.hint(lender, grant.map(|grant| grant.left).unwrap_or_default(), now);
        if granted > TokenCount::ZERO && now < usable_until {
            share.grants.push(HeldGrant { lender: ask.lender, sequence, left: granted, usable_until });
        } else {
            self.settle_later(ask.lender, sequence);
        }
    }

    fn expire_grants(&mut self, at: usize, now: ClockTime) {
        let share = &mut self.teams[at];
        let kept_until = |grant: &HeldGrant| grant.usable_until.minus_ms(LEND_USABLE_MS - GRANT_KEPT_MS);
        let old: Vec<HeldGrant> = share.grants.extract_if(.., |grant| now >= kept_until(grant)).collect();
        for grant in old {
            if now < grant.usable_until {
                self.teams[at].bucket.put_back(grant.left, now);
            }
            self.settle_later(grant.lender, grant.sequence);
        }
    }

    fn settle_later(&mut self, lender: IncarnationId, sequence: u64) {
        if sorted_vec::find(&self.settled, &lender, |(name, _)| name).is_none() {
            sorted_vec::put(&mut self.settled, (lender.clone(), Vec::new()), |(name, _)| name);
        }
        if let Some((_, settled)) = sorted_vec::find_mut(&mut self.settled, &lender, |(name, _)| name) {
            if settled.len() >= MAX_SETTLED {
                settled.clear();
            }
            settled.push(TokenSettlement { sequence });
        }
    }

    /// Settlements to send to `lender` with the next message.
    pub fn take_settled(&mut self, lender: &IncarnationId) -> Vec<TokenSettlement> {
        match sorted_vec::find_mut(&mut self.settled, lender, |(name, _)| name) {
            Some((_, settled)) => std::mem::take(settled),
            None => Vec::new(),
        }
    }

    /// Puts the unused tokens of a request back, up to the own share; what exceeds it is dropped.
    pub fn give_back(&mut self, team: &TeamId, unused: TokenCount, now: ClockTime) {
        if let Some(share) = sorted_vec::find_mut(&mut self.teams, team, |share| &share.team) {
            share.bucket.put_back(unused, now);
        }
    }

    /// Answers a borrower. The tokens are deducted before the answer is sent. Nothing is lent while the own view is
    /// not confirmed (`admits`) or older than the borrower's.
    pub fn lend(&mut self, request: &TokenRequest, can_admit: bool, now: ClockTime) -> TokenGrant {
        self.settle(&request.borrower, &request.settled, now);
        self.expire_loans(now);
        let id = (request.borrower.clone(), request.sequence);
        let known = sorted_vec::find(&self.loans, &id, |loan| &loan.id).map(|loan| loan.granted);
        let Some(share) = sorted_vec::find_mut(&mut self.teams, &request.team, |share| &share.team) else {
            return TokenGrant { granted: TokenCount::ZERO, left: TokenCount::ZERO };
        };
        let granted = match known {
            Some(granted) => granted,
            None if can_admit && request.version <= self.version => share.bucket.lend(request.amount, now),
            None => TokenCount::ZERO,
        };
        let left = share.bucket.level(now);
        if known.is_none() {
            let loan = TokenLoan { id, team: request.team.clone(), granted, lent_at: now, settled: false };
            sorted_vec::put(&mut self.loans, loan, |loan| &loan.id);
        }
        TokenGrant { granted, left }
    }

    fn settle(&mut self, borrower: &IncarnationId, settled: &[TokenSettlement], now: ClockTime) {
        for settlement in settled {
            let id = (borrower.clone(), settlement.sequence);
            let Some(loan) = sorted_vec::find_mut(&mut self.loans, &id, |loan| &loan.id) else {
                continue;
            };
            if !std::mem::replace(&mut loan.settled, true)
                && let Some(share) = sorted_vec::find_mut(&mut self.teams, &loan.team, |share| &share.team)
            {
                share.bucket.settle(loan.granted, now);
            }
        }
    }

    fn expire_loans(&mut self, now: ClockTime) {
        let teams = &mut self.teams;
        self.loans.retain(|loan| {
            let held = now.since_ms(loan.lent_at) < LEND_HELD_MS;
            if !held
                && !loan.settled
                && let Some(share) = sorted_vec::find_mut(teams, &loan.team, |share| &share.team)
            {
                share.bucket.settle(loan.granted, now);
            }
            held
        });
    }

    /// Takes hints and settlements from a peer's report.
    pub fn on_report(&mut self, report: &PeerReport, now: ClockTime) {
        for hint in &report.tokens {
            if let Some(share) = sorted_vec::find_mut(&mut self.teams, &hint.team, |share| &share.team) {
                share.hint(&report.incarnation, hint.level, now);
            }
        }
        self.settle(&report.incarnation, &report.settled, now);
    }

    /// Levels of the teams whose home set the own node belongs to.
    pub fn hints(&mut self, now: ClockTime) -> Vec<TokenHint> {
        let own = &self.own;
        let homes = self.teams.iter_mut().filter(|share| share.homes.contains(own));
        homes.map(|share| TokenHint { team: share.team.clone(), level: share.bucket.level(now) }).collect()
    }
}
