//! Distributed token buckets: one member's shares for all teams.

use cowslip_config::TeamRow;
use cowslip_messages::{PeerReport, TokenGrant, TokenHint, TokenRequest, TokenSettlement};
use cowslip_units::{ClockTime, IncarnationId, TeamId, TokenCount, ViewVersion};

use crate::share_queue::GateQueue;
use crate::team_share::{HeldGrant, TeamShare};
use crate::{
    BucketOwners, FleetView, LEND_HELD_MS, LEND_USABLE_MS, MemberSeeds, TokenShare, VersionTracker,
    sorted_vec,
};

/// Age in ms at which the remainder of a grant moves into the own bucket, up to its cap, before the grant
/// expires.
const GRANT_RETENTION_MS: u64 = 800;

/// Limit on settlements queued for a lender that cannot be reached; its loans expire by themselves.
const MAX_SETTLED: usize = 1_024;

/// Outcome of [`TeamShares::reserve`].
#[derive(Clone, Debug, PartialEq)]
pub enum ReserveStep {
    /// The tokens were taken.
    Reserved,
    /// Send these calls, pass each result to [`TeamShares::borrow_answered`], then reserve again.
    Borrow(Vec<TokenCall>),
    /// By the estimates, the fleet will not have the tokens for this many ms.
    Wait(u64),
    /// The request exceeds the team's burst and can never be admitted.
    TooLarge,
    /// The sheet does not declare the team.
    UnknownTeam,
}

/// A borrow call to send.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenCall {
    /// The member to call.
    pub lender: IncarnationId,
    /// Body of the call.
    pub request: TokenRequest,
}

#[derive(Clone, Debug, PartialEq)]
struct TokenBorrow {
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

/// One member's buckets, loans and borrowed tokens.
///
/// The caller may use and lend tokens only while its view is confirmed.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamShares {
    own: IncarnationId,
    version: ViewVersion,
    share_changes: u64,
    gates: GateQueue,
    teams: Vec<TeamShare>,
    sequence: u64,
    borrow_calls: Vec<TokenBorrow>,
    loans: Vec<TokenLoan>,
    settled: Vec<(IncarnationId, Vec<TokenSettlement>)>,
}

impl TeamShares {
    /// A member without teams.
    pub fn new(own: IncarnationId) -> Self {
        Self {
            own,
            version: ViewVersion::ZERO,
            share_changes: 0,
            gates: GateQueue::default(),
            teams: Vec::new(),
            sequence: 0,
            borrow_calls: Vec::new(),
            loans: Vec::new(),
            settled: Vec::new(),
        }
    }

    /// Applies the members of the view and the rates of the sheet in force. Call it in the same step as each
    /// change of members or sheet: shares that shrink do so at once, others grow after the handoff delay.
    pub fn configure(&mut self, view: &FleetView, rows: &[TeamRow], now: ClockTime) {
        let seeds = MemberSeeds::new(view.members());
        // A skipped version may have given this member's share to others, who use it until they receive this
        // version.
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
            share.owners = BucketOwners::new(&share.team, &seeds);
            let own_share = share.owners.share(&self.own, share.rate, share.burst);
            if skipped {
                share.shares.push(view.version(), TokenShare::default());
            }
            share.shares.push(view.version(), own_share);
            share.update_bucket(now);
            share.prune_hints();
        }
        if view.version() > self.version {
            self.version = view.version();
            self.gates.enqueue(self.version, now);
        }
        self.settled.retain(|(lender, _)| seeds.contains(lender));
        self.teams.retain(|share| !share.is_empty());
    }

    /// Applies grown shares whose handoff delay is over, and expires loans and grants.
    pub fn tick(&mut self, tracker: &VersionTracker, now: ClockTime) {
        if let Some(version) = self.gates.pop_open(tracker, now) {
            for share in &mut self.teams {
                share.shares.promote(version);
                share.update_bucket(now);
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

    /// Takes `amount` for a request of `team`, or returns the borrow calls to make.
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
        // Borrowed tokens expire and own ones do not, so borrowed ones are used first.
        let borrowed = share.held().min(amount);
        let wanted = amount.minus(borrowed);
        if share.bucket.take(wanted, now) {
            self.use_grants(at, borrowed);
            return ReserveStep::Reserved;
        }
        let missing = wanted.minus(share.bucket.level(now));
        let rate = share.rate;
        match share.plan(&self.own, missing, now) {
            Ok(borrow_calls) => ReserveStep::Borrow(
                borrow_calls
                    .into_iter()
                    .map(|(lender, amount)| self.call(team, lender, amount, now))
                    .collect(),
            ),
            Err(deficit) => ReserveStep::Wait(rate.millis_for(deficit).unwrap_or(u64::MAX).max(1)),
        }
    }

    /// Estimated time in ms until the fleet has `amount` for the team; `None` when it never will.
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
        let borrow =
            TokenBorrow { sequence: self.sequence, lender: lender.clone(), team: team.clone(), sent_at: now };
        self.borrow_calls.push(borrow);
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

    /// Handles the result of a borrow call; `None` if it failed. A failed call is not retried: the lender's
    /// tokens return to it when the loan expires.
    pub fn borrow_answered(
        &mut self,
        lender: &IncarnationId,
        sequence: u64,
        grant: Option<&TokenGrant>,
        now: ClockTime,
    ) {
        let Some(at) = self
            .borrow_calls
            .iter()
            .position(|borrow| borrow.sequence == sequence && borrow.lender == *lender)
        else {
            return;
        };
        let borrow = self.borrow_calls.swap_remove(at);
        let usable_until = borrow.sent_at.plus_ms(LEND_USABLE_MS);
        let granted = grant.map(|grant| grant.granted).unwrap_or_default();
        let Some(share) = sorted_vec::find_mut(&mut self.teams, &borrow.team, |share| &share.team) else {
            return self.settle_later(borrow.lender, sequence);
        };
        share.hint(lender, grant.map(|grant| grant.left).unwrap_or_default(), now);
        if granted > TokenCount::ZERO && now < usable_until {
            share.grants.push(HeldGrant { lender: borrow.lender, sequence, left: granted, usable_until });
        } else {
            self.settle_later(borrow.lender, sequence);
        }
    }

    fn expire_grants(&mut self, at: usize, now: ClockTime) {
        let share = &mut self.teams[at];
        let kept_until = |grant: &HeldGrant| grant.usable_until.minus_ms(LEND_USABLE_MS - GRANT_RETENTION_MS);
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

    /// Removes and returns the settlements to send to `lender` with the next message.
    pub fn take_settled(&mut self, lender: &IncarnationId) -> Vec<TokenSettlement> {
        match sorted_vec::find_mut(&mut self.settled, lender, |(name, _)| name) {
            Some((_, settled)) => std::mem::take(settled),
            None => Vec::new(),
        }
    }

    /// Returns unused tokens of a request, up to the own share; what exceeds it is dropped.
    pub fn return_unused(&mut self, team: &TeamId, unused: TokenCount, now: ClockTime) {
        if let Some(share) = sorted_vec::find_mut(&mut self.teams, team, |share| &share.team) {
            share.bucket.put_back(unused, now);
        }
    }

    /// Answers a borrow call. The tokens are deducted before the answer is sent. Nothing is lent while the
    /// own view is not confirmed (`can_admit`) or is older than the borrower's.
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

    /// Applies token levels and settlements from a peer's report.
    pub fn on_report(&mut self, report: &PeerReport, now: ClockTime) {
        for hint in &report.tokens {
            if let Some(share) = sorted_vec::find_mut(&mut self.teams, &hint.team, |share| &share.team) {
                share.hint(&report.incarnation, hint.level, now);
            }
        }
        self.settle(&report.incarnation, &report.settled, now);
    }

    /// Levels of the teams for which this member is a bucket owner.
    pub fn hints(&mut self, now: ClockTime) -> Vec<TokenHint> {
        let own = &self.own;
        let owners = self.teams.iter_mut().filter(|share| share.owners.contains(own));
        owners.map(|share| TokenHint { team: share.team.clone(), level: share.bucket.level(now) }).collect()
    }
}
