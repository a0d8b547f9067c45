//! Query to the owner of a claim for the status of its attempt.

use cowslip_units::{AttemptId, IncarnationId};
use serde::{Deserialize, Serialize};

/// Asks a router for the status of an attempt that it owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStatusRequest {
    /// Owner by the claim's row.
    pub owner: IncarnationId,
    /// Attempt by the claim's row.
    pub attempt: AttemptId,
}

/// Status of an attempt as reported by its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptStatus {
    /// The request is running or its answer is being stored.
    Running,
    /// The owner abandoned the attempt before it sent a byte, and will never send one.
    GivenUp,
    /// The attempt ended and its outcome could not be stored.
    OutcomeUnknown,
    /// The owner has no record of the attempt, or is another incarnation.
    NotKnown,
}
