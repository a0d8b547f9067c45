//! Outcome of a request at a stand-in.

use serde::{Deserialize, Serialize};

/// How a request ended at a stand-in, as written in its journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Queued or running.
    Running,
    /// Completed.
    Ran,
    /// Rejected before anything ran.
    Refused,
    /// Cancelled by its caller, explicitly or by closing the connection.
    Cancelled,
    /// Failed while queued or running.
    Failed,
}
