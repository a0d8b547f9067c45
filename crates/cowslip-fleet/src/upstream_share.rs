//! One upstream's permits at one member.

use cowslip_units::{ClockTime, IncarnationId, UpstreamId};

use crate::share_queue::PendingValues;
use crate::{MemberSeeds, PermitMap, RampBudget, sorted_vec};

/// A permit lent to another member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LentPermit {
    pub(crate) borrower: IncarnationId,
    pub(crate) sequence: u64,
}

#[derive(Clone, Debug, PartialEq)]
struct FreeHint {
    peer: IncarnationId,
    free: u32,
}

/// Permits of an upstream as derived from the member lists.
#[derive(Clone, Debug, PartialEq)]
struct OwnedPermits {
    /// Numbers of the permits that this member owns under every list that may be in use, ascending.
    owned: Vec<u32>,
    map: PermitMap,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UpstreamShare {
    pub(crate) upstream: UpstreamId,
    pub(crate) ramp: RampBudget,
    /// Own permits acquired and not finished.
    pub(crate) used: u32,
    pub(crate) lent: Vec<LentPermit>,
    hints: Vec<FreeHint>,
    /// Computed on first use after a change.
    cached: Option<OwnedPermits>,
}

impl UpstreamShare {
    pub(crate) fn new(upstream: UpstreamId, ramp: RampBudget) -> Self {
        Self { upstream, ramp, used: 0, lent: Vec::new(), hints: Vec::new(), cached: None }
    }

    pub(crate) fn member_lists_changed(&mut self) {
        self.cached = None;
    }

    /// True when this member has used the upstream since the last change.
    pub(crate) fn is_in_use(&self) -> bool {
        self.cached.is_some()
    }

    /// Recomputes the owned permits if a list or the slots have changed.
    fn refresh(&mut self, own: &IncarnationId, member_lists: &PendingValues<MemberSeeds>) -> &OwnedPermits {
        let (upstream, slots) = (&self.upstream, self.ramp.slots());
        self.cached.get_or_insert_with(|| {
            let mut map = PermitMap::default();
            let mut owned: Vec<u32> = (0..slots).collect();
            for list in member_lists.iter() {
                map = PermitMap::new(upstream, slots, list);
                owned.retain(|permit| map.owner(*permit) == Some(own));
            }
            OwnedPermits { owned, map }
        })
    }

    /// Number of own permits within the budget.
    pub(crate) fn owned(
        &mut self,
        own: &IncarnationId,
        member_lists: &PendingValues<MemberSeeds>,
        now: ClockTime,
    ) -> u32 {
        let budget = self.ramp.budget(now);
        let owned = self.refresh(own, member_lists).owned.partition_point(|permit| *permit < budget);
        u32::try_from(owned).unwrap_or(u32::MAX)
    }

    /// Own permits in use by this member or by borrowers.
    pub(crate) fn taken(&self) -> u32 {
        self.used.saturating_add(u32::try_from(self.lent.len()).unwrap_or(u32::MAX))
    }

    pub(crate) fn free(
        &mut self,
        own: &IncarnationId,
        member_lists: &PendingValues<MemberSeeds>,
        now: ClockTime,
    ) -> u32 {
        self.owned(own, member_lists, now).saturating_sub(self.taken())
    }

    pub(crate) fn hint(&mut self, peer: &IncarnationId, free: u32) {
        sorted_vec::put(&mut self.hints, FreeHint { peer: peer.clone(), free }, |hint| &hint.peer);
    }

    /// The peer with the most free permits according to its last report; its estimate is reduced by one. A
    /// peer that has not reported counts with all the permits that it owns.
    pub(crate) fn choose_lender(
        &mut self,
        own: &IncarnationId,
        member_lists: &PendingValues<MemberSeeds>,
        now: ClockTime,
    ) -> Option<IncarnationId> {
        let budget = self.ramp.budget(now);
        let counts = self.refresh(own, member_lists).map.counts(budget);
        let estimates = counts.into_iter().filter(|(peer, _)| peer != own).map(|(peer, count)| {
            let hint = sorted_vec::find(&self.hints, &peer, |hint| &hint.peer);
            (hint.map_or(count, |hint| hint.free.min(count)), peer)
        });
        let (free, peer) = estimates.max()?;
        if free == 0 {
            return None;
        }
        self.hint(&peer, free - 1);
        Some(peer)
    }
}
