//! One team's tokens at one node.

use cowslip_units::{ClockTime, IncarnationId, TeamId, TokenCount, TokenRate};

use crate::share_queue::PendingValues;
use crate::{BucketOwners, TokenBucket, TokenShare, sorted_vec};

/// Tokens borrowed and not yet used.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HeldGrant {
    pub(crate) lender: IncarnationId,
    pub(crate) sequence: u64,
    pub(crate) left: TokenCount,
    /// The lender may use the tokens itself from then on.
    pub(crate) usable_until: ClockTime,
}

/// What a peer is believed to have.
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
    pub(crate) homes: BucketOwners,
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
            homes: BucketOwners::default(),
            bucket: TokenBucket::new(TokenShare::default(), now),
            shares: PendingValues::new(TokenShare::default()),
            grants: Vec::new(),
            hints: Vec::new(),
        }
    }

    /// Brings the bucket to the smallest share of all versions that may be in use.
    pub(crate) fn fit_bucket(&mut self, now: ClockTime) {
        let share = self.shares.iter().copied().reduce(TokenShare::min).unwrap_or_default();
        if share != self.bucket.share() {
            self.bucket.set_share(share, now);
        }
    }

    /// True when nothing of a team that was removed from the sheet is left.
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
        if self.homes.contains(peer) {
            let hint = LevelHint { peer: peer.clone(), level: level.get(), at: now };
            sorted_vec::put(&mut self.hints, hint, |hint| &hint.peer);
        }
    }

    pub(crate) fn forget_hints(&mut self) {
        let homes = &self.homes;
        self.hints.retain(|hint| homes.contains(&hint.peer));
    }

    /// Tokens that `peer` is believed to have now; its whole burst if nothing was heard of it.
    fn estimate(&self, peer: &IncarnationId, now: ClockTime) -> u64 {
        let share = self.homes.share(peer, self.rate, self.burst);
        let cap = share.cap_milli / 1_000;
        match sorted_vec::find(&self.hints, peer, |hint| &hint.peer) {
            Some(hint) => {
                let come = now.since_ms(hint.at).saturating_mul(share.rate_milli) / 1_000_000;
                hint.level.saturating_add(come).min(cap)
            }
            None => cap,
        }
    }

    /// Levels of the home nodes but `own`, the highest first.
    fn levels(&self, own: &IncarnationId, now: ClockTime) -> Vec<(u64, IncarnationId)> {
        let peers = self.homes.homes().iter().filter(|home| *home != own);
        let mut levels: Vec<_> = peers.map(|peer| (self.estimate(peer, now), peer.clone())).collect();
        levels.sort_by(|one, other| other.cmp(one));
        levels
    }

    /// What is `missing` beyond all that the home nodes are believed to have.
    pub(crate) fn deficit(&self, own: &IncarnationId, missing: TokenCount, now: ClockTime) -> TokenCount {
        let there = self.levels(own, now).iter().map(|(level, _)| TokenCount::new(*level)).sum();
        missing.minus(there)
    }

    /// Whom to ask for how much, or the deficit.
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
        let mut asks = Vec::new();
        for (level, peer) in self.levels(own, now) {
            let amount = level.min(left);
            if amount > 0 {
                left -= amount;
                self.hint(&peer, TokenCount::new(level - amount), now);
                asks.push((peer, TokenCount::new(amount)));
            }
        }
        Ok(asks)
    }
}
