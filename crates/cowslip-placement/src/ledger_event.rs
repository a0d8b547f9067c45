//! What happened to rows, for the planner and the log.

use crate::RowKey;

/// A change of a row's standing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEvent {
    /// The engine confirmed the load.
    Loaded {
        /// The row.
        key: RowKey,
    },
    /// The row is to be deleted; its memory is free once the deletion is committed.
    Freed {
        /// The row.
        key: RowKey,
        /// Evidence for it.
        reason: &'static str,
    },
    /// The deletion of the row is committed.
    Deleted {
        /// The row.
        key: RowKey,
    },
    /// The engine refused the order.
    Refused {
        /// The row.
        key: RowKey,
        /// The engine's reason.
        reason: String,
    },
    /// A load is in doubt again and is ordered again.
    Reissued {
        /// The row.
        key: RowKey,
    },
    /// A report listed a model or adapter without a row; it was entered.
    Found {
        /// The row.
        key: RowKey,
    },
    /// An engine has seen a higher fencing number: another leader exists.
    Superseded,
}
