//! Changes of ledger rows, reported to the planner and the log.

use crate::RowKey;

/// A change of a ledger row, or of the ledger itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEvent {
    /// The engine confirmed the load.
    Loaded {
        /// The replica or adapter.
        key: RowKey,
    },
    /// The row will be deleted; its memory is free once the deletion is committed.
    Freed {
        /// The replica or adapter.
        key: RowKey,
        /// The evidence that it is not loaded.
        reason: &'static str,
    },
    /// The deletion of the row was committed.
    Deleted {
        /// The replica or adapter.
        key: RowKey,
    },
    /// The engine refused the order.
    Refused {
        /// The replica or adapter.
        key: RowKey,
        /// The engine's reason.
        reason: String,
    },
    /// The load is in doubt again, and its order is sent again.
    Reissued {
        /// The replica or adapter.
        key: RowKey,
    },
    /// A report listed a model or adapter without a row, and a row was added.
    Found {
        /// The replica or adapter.
        key: RowKey,
    },
    /// An engine has seen a higher fencing token: another leader exists.
    Superseded,
}
