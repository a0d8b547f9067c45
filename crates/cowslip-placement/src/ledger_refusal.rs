//! Reasons for which the ledger refuses an operation.

use cowslip_units::MemorySize;
use thiserror::Error;

/// Why the ledger refuses an operation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerRefusal {
    /// The ledger has no record of the upstream.
    #[error("unknown upstream")]
    UnknownUpstream,
    /// The engine of the upstream has not reported yet.
    #[error("the upstream has not sent a load report yet")]
    NotReported,
    /// The upstream has a row of this name already.
    #[error("the upstream already has a row of this name")]
    RowExists,
    /// No row has this key.
    #[error("no row has this key")]
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
    #[error("the model of the adapter is not loaded on the upstream")]
    BaseMissing,
    /// The state of the row does not permit the operation.
    #[error("the state of the row does not permit this operation")]
    WrongState,
}
