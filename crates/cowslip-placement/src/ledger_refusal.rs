//! Reasons for which the ledger refuses an operation.

use cowslip_units::MemorySize;
use thiserror::Error;

/// Why the ledger refuses an operation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerRefusal {
    /// The ledger has no record of the upstream.
    #[error("the upstream is not known")]
    UnknownUpstream,
    /// The engine of the upstream has not reported yet.
    #[error("no load report of the upstream has come yet")]
    NotReported,
    /// The upstream has a row of this name already.
    #[error("a row exists")]
    RowExists,
    /// No row has this key.
    #[error("no such row")]
    NoRow,
    /// Not enough memory is free.
    #[error("{needed} needed, {free} free")]
    InsufficientMemory {
        /// Memory of the replica or adapter.
        needed: MemorySize,
        /// Memory of the upstream that is not reserved.
        free: MemorySize,
    },
    /// The adapter's model is not loaded there.
    #[error("the model of the adapter is not loaded there")]
    BaseMissing,
    /// The state of the row does not permit the operation.
    #[error("the row's state does not allow it")]
    WrongState,
}
