//! The periodic report between routers.

use cowslip_units::{IncarnationId, TeamId, TokenCount, UpstreamId, ViewVersion};
use serde::{Deserialize, Serialize};

use crate::TokenSettlement;

/// Tokens that a bucket owner has available for a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenHint {
    /// Team of the bucket.
    pub team: TeamId,
    /// Tokens in the bucket.
    pub level: TokenCount,
}

/// Free permits that a router has for an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitHint {
    /// Upstream of the permits.
    pub upstream: UpstreamId,
    /// Number of free permits.
    pub free: u32,
}

/// Report that routers exchange every 500 ms; contains only hints, on which no guarantee depends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The sender.
    pub incarnation: IncarnationId,
    /// Version of the sender's view.
    pub version: ViewVersion,
    /// Levels of the sender's buckets, for the teams for which it is a bucket owner.
    pub tokens: Vec<TokenHint>,
    /// The sender's free permits.
    pub permits: Vec<PermitHint>,
    /// Loans from the receiver that are settled.
    pub settled: Vec<TokenSettlement>,
    /// Sequence numbers of permits borrowed from the receiver that are still held.
    pub permits_held: Vec<u64>,
    /// All borrow calls up to this sequence number were answered or timed out at the sender.
    pub permits_done_before: u64,
}
