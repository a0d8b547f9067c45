//! Stored counts of windows that are still open.

use cowslip_units::{FencingToken, IncarnationId, TeamId, WindowId};
use serde::{Deserialize, Serialize};

/// Counts of one process in an open window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenSource {
    /// The window.
    pub window: WindowId,
    /// The process that counted.
    pub incarnation: IncarnationId,
    /// Requests by team, sorted by team.
    pub counts: Vec<(TeamId, u64)>,
}

impl OpenSource {
    /// Upper estimate of its size in a row, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        const FIXED_BYTES: usize = 80;
        const COUNT_BYTES: usize = 28;
        let teams: usize = self.counts.iter().map(|(team, _)| team.as_str().len() + COUNT_BYTES).sum();
        FIXED_BYTES + self.incarnation.as_str().len() + teams
    }
}

/// A part of the counts of a leader, which fits into a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenUsage {
    /// Fencing token of the leader.
    pub fence: FencingToken,
    /// Counts by window and process.
    pub sources: Vec<OpenSource>,
}

/// All counts of a leader, to be stored in place of those before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageCheckpoint {
    /// Rows to write, from number 0.
    pub rows: Vec<OpenUsage>,
    /// Number of rows that may be there; those beyond the written ones are removed.
    pub present: usize,
    /// Revision of the counts.
    pub revision: u64,
}
