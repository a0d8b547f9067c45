//! The ledger as last committed.

use smol_str::SmolStr;

use crate::rows_digest::RowsDigest;

/// State of the ledger in the table service after the last commit.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct StoredLedger {
    /// Version of the row `ledger/head`.
    pub(crate) head_version: u64,
    /// Count and digest of all rows.
    pub(crate) rows: RowsDigest,
    /// Digest of each row, sorted by key.
    pub(crate) digests: Vec<(SmolStr, u64)>,
}
