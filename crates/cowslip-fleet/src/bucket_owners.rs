//! The members over which a team's rate is divided.

use cowslip_units::{IncarnationId, TeamId, TokenCount, TokenRate};

use crate::rendezvous_hash::name_seed;
use crate::{MemberSeeds, TokenShare};

/// Most members of a home set. A large request borrows from each of them.
pub const MAX_BUCKET_OWNERS: usize = 8;

/// The members with the highest rendezvous hash of (team, member), the highest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BucketOwners {
    homes: Vec<IncarnationId>,
}

impl BucketOwners {
    /// The home set of `team`.
    pub fn new(team: &TeamId, members: &MemberSeeds) -> Self {
        let mut weights: Vec<_> = members.weights(name_seed("team", team.as_str())).collect();
        weights.sort_by(|one, other| other.cmp(one));
        weights.truncate(MAX_BUCKET_OWNERS);
        Self { homes: weights.into_iter().map(|(_, incarnation)| incarnation.clone()).collect() }
    }

    /// Its members, the highest first.
    pub fn homes(&self) -> &[IncarnationId] {
        &self.homes
    }

    /// True when the member is one of them.
    pub fn contains(&self, member: &IncarnationId) -> bool {
        self.homes.contains(member)
    }

    /// The member's share of a rate and burst; nothing for other members. The burst is divided into whole tokens,
    /// so that a request of the whole burst can be gathered; the first members get what is left over.
    pub fn share(&self, member: &IncarnationId, rate: TokenRate, burst: TokenCount) -> TokenShare {
        let Some(rank) = self.homes.iter().position(|home| home == member) else {
            return TokenShare::default();
        };
        let (rank, count) = (rank as u64, self.homes.len() as u64);
        let tokens = burst.get() / count + u64::from(rank < burst.get() % count);
        TokenShare {
            rate_milli: rate.per_second().saturating_mul(1_000) / count,
            cap_milli: tokens.saturating_mul(1_000),
        }
    }
}
