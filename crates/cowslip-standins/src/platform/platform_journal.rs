//! The platform's journal.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Operations executed by the table service and the object store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationCount {
    /// Reads: one per row or object returned, and at least one per scan.
    pub reads: u64,
    /// Writes: one per row or object written or deleted.
    pub writes: u64,
}

/// Transfers from the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsJournal {
    /// Transfers started, by checkpoint.
    pub checkpoints: BTreeMap<String, u64>,
    /// Transfers started, by adapter.
    pub adapters: BTreeMap<String, u64>,
    /// Peak number of concurrent checkpoint transfers.
    pub peak_checkpoints: u64,
    /// Peak number of concurrent adapter transfers.
    pub peak_adapters: u64,
}

/// Response of `GET /journal`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformJournal {
    /// Calls received, by kind.
    pub calls: BTreeMap<String, u64>,
    /// Operations executed.
    pub operations: OperationCount,
    /// Transfers from the weight store.
    pub weights: WeightsJournal,
}
