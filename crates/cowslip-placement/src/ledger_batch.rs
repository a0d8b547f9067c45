//! Ledger writes that are committed together.

use crate::{LedgerRow, RowKey};

/// One transaction of the ledger.
///
/// The writer compares and replaces the row `ledger/head` (epoch and batch number) in the same transaction. A
/// batch in doubt therefore takes effect at most once and never after a later batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerBatch {
    /// Number of the batch within the epoch, counted from 1.
    pub number: u64,
    /// Rows to insert or replace.
    pub puts: Vec<LedgerRow>,
    /// Rows to delete.
    pub deletes: Vec<RowKey>,
}
