//! Ownership of an upstream's permits.

use cowslip_units::{IncarnationId, UpstreamId};

use crate::MemberSeeds;
use crate::rendezvous_hash::{mix, name_seed};

/// Owners of the permits `0..slots` of an upstream: for each permit the member with the highest rendezvous
/// hash of (upstream, permit number, member).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PermitMap {
    owners: Vec<IncarnationId>,
}

impl PermitMap {
    /// Computes the owners under this member list.
    pub fn new(upstream: &UpstreamId, slots: u32, members: &MemberSeeds) -> Self {
        let base = name_seed("upstream", upstream.as_str());
        let seed = |permit: u32| mix(base.wrapping_add(u64::from(permit)));
        Self { owners: (0..slots).filter_map(|permit| members.owner(seed(permit)).cloned()).collect() }
    }

    /// Owner of a permit; `None` for numbers beyond the slots, or without members.
    pub fn owner(&self, permit: u32) -> Option<&IncarnationId> {
        self.owners.get(permit as usize)
    }

    /// Numbers of the permits that `member` owns, ascending.
    pub fn owned_by(&self, member: &IncarnationId) -> Vec<u32> {
        let numbered = (0..).zip(&self.owners);
        numbered.filter(|(_, owner)| *owner == member).map(|(permit, _)| permit).collect()
    }

    /// Number of permits below `budget` by owner.
    pub(crate) fn counts(&self, budget: u32) -> Vec<(IncarnationId, u32)> {
        let mut owners: Vec<&IncarnationId> = self.owners.iter().take(budget as usize).collect();
        owners.sort();
        let runs = owners.chunk_by(|one, other| one == other);
        runs.map(|run| (run[0].clone(), u32::try_from(run.len()).unwrap_or(u32::MAX))).collect()
    }
}
