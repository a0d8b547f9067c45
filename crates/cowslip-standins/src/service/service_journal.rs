//! The plain service's journal.

use serde::{Deserialize, Serialize};

use crate::RequestRecord;

/// Response of `GET /journal`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceJournal {
    /// Requests, oldest first; the latest 50,000 are kept.
    pub requests: Vec<RequestRecord>,
    /// Peak number of concurrent requests.
    pub peak_running: u64,
    /// Non-idempotent calls that took effect.
    pub effects: u64,
}
