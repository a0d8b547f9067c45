//! The engine's journal.

use serde::{Deserialize, Serialize};

use crate::RequestRecord;

/// An order as received; each repetition has its own record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Order id.
    pub order: String,
    /// Kind: `load`, `adapter`, `unload` or `role`.
    pub kind: String,
    /// Name of the model, adapter or role.
    pub name: String,
    /// Fencing token.
    pub fence: u64,
    /// Time of arrival in ms since the stand-in started.
    pub started_ms: u64,
    /// True when an order with this id had arrived before, so that this one was not executed.
    pub repeated: bool,
}

/// Response of `GET /journal`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineJournal {
    /// Requests, oldest first; the latest 50,000 are kept.
    pub requests: Vec<RequestRecord>,
    /// Orders, oldest first.
    pub orders: Vec<OrderRecord>,
    /// Peak number of requests running concurrently.
    pub peak_running: u64,
    /// Peak number of requests running or queued while the engine was warming up.
    pub peak_running_fresh: u64,
    /// Peak memory reserved, in MiB.
    pub peak_memory_mib: u64,
    /// Loaded models and adapters.
    pub loaded: Vec<String>,
    /// Number of crashes caused by too many requests during warm-up.
    pub fell_over: u64,
}
