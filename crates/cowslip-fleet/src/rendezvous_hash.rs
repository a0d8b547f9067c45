//! Rendezvous hashing: every process computes the same owner from the same member list.
//!
//! The seed of a name is the first 8 bytes (big endian) of the SHA-256 of its kind, a zero byte and the name.
//! Two seeds are combined by XOR and mixed by the finaliser of SplitMix64, which costs about a nanosecond; at
//! the target size, one change of members causes some ten thousand combinations for each upstream in use.

use cowslip_messages::MemberEntry;
use cowslip_units::IncarnationId;
use sha2::{Digest, Sha256};

/// The members of a view with their hash seeds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberSeeds {
    entries: Vec<(IncarnationId, u64)>,
}

impl MemberSeeds {
    /// Computes the seeds of `members`, in their order.
    pub fn new(members: &[MemberEntry]) -> Self {
        let entry = |member: &MemberEntry| {
            (member.incarnation.clone(), name_seed("member", member.incarnation.as_str()))
        };
        Self { entries: members.iter().map(entry).collect() }
    }

    /// True when the process is a member.
    pub fn contains(&self, incarnation: &IncarnationId) -> bool {
        self.entries.binary_search_by(|(name, _)| name.cmp(incarnation)).is_ok()
    }

    /// Members with their weight for `seed`, by incarnation.
    pub(crate) fn weights(&self, seed: u64) -> impl Iterator<Item = (u64, &IncarnationId)> {
        self.entries.iter().map(move |(incarnation, member)| (mix(seed ^ member), incarnation))
    }

    /// The member with the highest weight for `seed`; the greater incarnation on a tie.
    pub(crate) fn owner(&self, seed: u64) -> Option<&IncarnationId> {
        self.weights(seed).max().map(|(_, incarnation)| incarnation)
    }
}

/// Seed of a name of some kind.
pub(crate) fn name_seed(kind: &str, name: &str) -> u64 {
    let digest = Sha256::new().chain_update(kind).chain_update([0]).chain_update(name).finalize();
    digest.iter().take(8).fold(0, |seed, byte| (seed << 8) | u64::from(*byte))
}

/// Finaliser of SplitMix64.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
