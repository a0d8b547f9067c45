//! The head row of the ledger, which orders its transactions.

use cowslip_units::FencingToken;
use serde::{Deserialize, Serialize};

use crate::rows_digest::RowsDigest;

/// Key of the head row.
pub(crate) const LEDGER_HEAD_KEY: &str = "ledger/head";

/// Value of the row `ledger/head`, compared and replaced by every ledger transaction.
///
/// A transaction in doubt therefore takes effect at most once and never after a later one. Count and digest
/// of the rows allow a new leader to detect a scan that returned old rows. If they are missing, every scan is
/// accepted: to repair the ledger by hand, delete this row together with the change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LedgerHead {
    /// Epoch of the leader.
    pub(crate) epoch: FencingToken,
    /// Number of its last batch; 0 after the takeover.
    pub(crate) number: u64,
    /// Count and digest of the ledger rows.
    pub(crate) rows: Option<RowsDigest>,
}
