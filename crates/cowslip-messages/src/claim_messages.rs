//! Asking the owner of a claim how its attempt stands.

use cowslip_units::{AttemptId, IncarnationId};
use serde::{Deserialize, Serialize};

/// Asks a router about an attempt that it owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStatusRequest {
    /// The incarnation that the claim row names as owner.
    pub owner: IncarnationId,
    /// The attempt that the claim row names.
    pub attempt: AttemptId,
}

/// How an attempt stands at its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptStatus {
    /// The request is running or its answer is being stored.
    Running,
    /// The owner gave the attempt up before it sent a byte, and never will send one.
    GivenUp,
    /// The attempt ended and its outcome could not be stored.
    OutcomeUnknown,
    /// The owner does not know the attempt, or is another incarnation.
    NotKnown,
}
