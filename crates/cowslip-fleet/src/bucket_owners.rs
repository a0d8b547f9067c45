//! The members that hold a team's token buckets.

use cowslip_units::{IncarnationId, TeamId, TokenCount, TokenRate};

use crate::rendezvous_hash::name_seed;
use crate::{MemberSeeds, TokenShare};

/// Upper bound on bucket owners per team; a large request borrows from each of them.
pub const MAX_BUCKET_OWNERS: usize = 8;

/// The members with the highest rendezvous hash of (team, member), the highest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BucketOwners {
    owners: Vec<IncarnationId>,
}

impl BucketOwners {
    /// Selects the bucket owners of `team`.
    pub fn new(team: &TeamId, members: &MemberSeeds) -> Self {
        let mut weights: Vec<_> = members.weights(name_seed("team", team.as_str())).collect();
        weights.sort_by(|one, other| other.cmp(one));
        weights.truncate(MAX_BUCKET_OWNERS);
        Self { owners: weights.into_iter().map(|(_, incarnation)| incarnation.clone()).collect() }
    }

    /// The owners in descending order of hash.
    pub fn owners(&self) -> &[IncarnationId] {
        &self.owners
    }

    /// True when `member` holds one of the team's buckets.
    pub fn contains(&self, member: &IncarnationId) -> bool {
        self.owners.contains(member)
    }

    /// The member's share of a rate and burst; zero for members that are not owners. The burst is divided
    /// into whole tokens, so that a request of the whole burst can be served; the remainder goes to the first
    /// owners.
    pub fn share(&self, member: &IncarnationId, rate: TokenRate, burst: TokenCount) -> TokenShare {
        let Some(rank) = self.owners.iter().position(|owner| owner == member) else {
            return TokenShare::default();
        };
        let (rank, count) = (rank as u64, self.owners.len() as u64);
        let tokens = burst.get() / count + u64::from(rank < burst.get() % count);
        TokenShare {
            rate_milli: rate.per_second().saturating_mul(1_000) / count,
            cap_milli: tokens.saturating_mul(1_000),
        }
    }
}
