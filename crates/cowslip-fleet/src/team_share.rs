//! One team's tokens at one member.

use cowslip_units::{ClockTime, IncarnationId, TeamId, TokenCount, TokenRate};

use crate::share_queue::PendingValues;
use crate::{BucketOwners, TokenBucket, TokenShare, sorted_vec};

/// Borrowed tokens that are not used up.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HeldGrant {
    pub(crate) lender: IncarnationId,
    pub(crate) sequence: u64,
    pub(crate) left: TokenCount,
    /// From this time on the lender may use the tokens itself.
    pub(crate) usable_until: ClockTime,
}

/// Last reported token level of a peer.
#[derive(Clone, Debug, PartialEq)]
struct LevelHint {
    peer: IncarnationId,
    level: u64,
    at: ClockTime,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TeamShare {
    pub(crate) team: TeamId,
    pub(crate) rate: TokenRate,
    pub(crate) burst: TokenCount,
    pub(crate) owners: BucketOwners,
    pub(crate) bucket: TokenBucket,
    pub(crate) shares: PendingValues<TokenShare>,
    pub(crate) grants: Vec<HeldGrant>,
    hints: Vec<LevelHint>,
}

impl TeamShare {
    pub(crate) fn new(team: TeamId, now: ClockTime) -> Self {
        Self {
            team,
            rate: TokenRate::default(),
            burst: TokenCount::ZERO,
            owners: BucketOwners::default(),
            bucket: TokenBucket::new(TokenShare::default(), now),
            shares: PendingValues::new(TokenShare::default()),
            grants: Vec::new(),
            hints: Vec::new(),
        }
    }

    /// Sets the bucket to the smallest share of all view versions that may be in use.
    pub(crate) fn update_bucket(&mut self, now: ClockTime) {
        let share = self.shares.iter().copied().reduce(TokenShare::min).unwrap_or_default();
        if share != self.bucket.share() {
            self.bucket.set_share(share, now);
        }
    }

    /// True for a team that is no longer in the sheet and has no tokens, loans or grants left.
    pub(crate) fn is_empty(&self) -> bool {
        let nothing = TokenShare::default();
        self.burst == TokenCount::ZERO
            && self.grants.is_empty()
            && self.bucket.lent_milli() == 0
            && self.shares.iter().all(|share| *share == nothing)
    }

    pub(crate) fn held(&self) -> TokenCount {
        self.grants.iter().map(|grant| grant.left).sum()
    }

    pub(crate) fn hint(&mut self, peer: &IncarnationId, level: TokenCount, now: ClockTime) {
        if self.owners.contains(peer) {
            let hint = LevelHint { peer: peer.clone(), level: level.get(), at: now };
            sorted_vec::put(&mut self.hints, hint, |hint| &hint.peer);
        }
    }

    pub(crate) fn prune_hints(&mut self) {
        let owners = &self.owners;
        self.hints.retain(|hint| owners.contains(&hint.peer));
    }

    /// Estimated tokens of `peer` now; its whole burst if it has not reported a level.
    fn estimate(&self, peer: &IncarnationId, now: ClockTime) -> u64 {
        let share = self.owners.share(peer, self.rate, self.burst);
        let cap = share.cap_milli / 1_000;
        match sorted_vec::find(&self.hints, peer, |hint| &hint.peer) {
            Some(hint) => {
                let accrued = now.since_ms(hint.at).saturating_mul(share.rate_milli) / 1_000_000;
                hint.level.saturating_add(accrued).min(cap)
            }
            None => cap,
        }
    }

    /// Estimated levels of the other bucket owners, the highest first.
    fn levels(&self, own: &IncarnationId, now: ClockTime) -> Vec<(u64, IncarnationId)> {
        let peers = self.owners.owners().iter().filter(|owner| *owner != own);
        let mut levels: Vec<_> = peers.map(|peer| (self.estimate(peer, now), peer.clone())).collect();
        levels.sort_by(|one, other| other.cmp(one));
        levels
    }

    /// The part of `missing` that exceeds the estimated tokens of all other bucket owners.
    pub(crate) fn deficit(&self, own: &IncarnationId, missing: TokenCount, now: ClockTime) -> TokenCount {
        let available = self.levels(own, now).iter().map(|(level, _)| TokenCount::new(*level)).sum();
        missing.minus(available)
    }

    /// Which lenders to ask for how many tokens, or the deficit when the estimates do not cover `missing`.
    pub(crate) fn plan(
        &mut self,
        own: &IncarnationId,
        missing: TokenCount,
        now: ClockTime,
    ) -> Result<Vec<(IncarnationId, TokenCount)>, TokenCount> {
        let deficit = self.deficit(own, missing, now);
        if deficit > TokenCount::ZERO {
            return Err(deficit);
        }
        let mut left = missing.get();
        let mut borrow_calls = Vec::new();
        for (level, peer) in self.levels(own, now) {
            let amount = level.min(left);
            if amount > 0 {
                left -= amount;
                self.hint(&peer, TokenCount::new(level - amount), now);
                borrow_calls.push((peer, TokenCount::new(amount)));
            }
        }
        Ok(borrow_calls)
    }
}
