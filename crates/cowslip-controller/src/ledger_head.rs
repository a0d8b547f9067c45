//! The row that chains the ledger's transactions.

use cowslip_units::FencingToken;
use serde::{Deserialize, Serialize};

use crate::rows_digest::RowsDigest;

/// Key of the row.
pub(crate) const LEDGER_HEAD_KEY: &str = "ledger/head";

/// Value of the row `ledger/head`, compared and replaced by every ledger transaction.
///
/// A transaction in doubt therefore takes effect at most once and never after a later one. Number and digest of
/// the rows let a new leader notice a scan that shows an old state. Without them, any scan is taken: to repair the
/// ledger by hand, delete this row together with the change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LedgerHead {
    /// Epoch of the leader.
    pub(crate) epoch: FencingToken,
    /// Its last batch; 0 after the takeover.
    pub(crate) number: u64,
    /// Rows and the sum of their digests.
    pub(crate) rows: Option<RowsDigest>,
}
