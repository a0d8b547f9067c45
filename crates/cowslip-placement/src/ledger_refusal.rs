//! Why the ledger refuses a step.

use cowslip_units::MemorySize;
use thiserror::Error;

/// A step that the ledger refuses.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerRefusal {
    /// The upstream is not known.
    #[error("the upstream is not known")]
    UnknownUpstream,
    /// No report of this upstream has come yet.
    #[error("no load report of the upstream has come yet")]
    NotReported,
    /// A row for the same model or adapter exists there.
    #[error("a row exists")]
    RowExists,
    /// There is no such row.
    #[error("no such row")]
    NoRow,
    /// The memory is reserved for others.
    #[error("{needed} needed, {free} free")]
    InsufficientMemory {
        /// Memory needed.
        needed: MemorySize,
        /// Memory not reserved.
        free: MemorySize,
    },
    /// The adapter's model is not loaded there.
    #[error("the model of the adapter is not loaded there")]
    BaseMissing,
    /// The row's state does not allow the step.
    #[error("the row's state does not allow it")]
    WrongState,
}
