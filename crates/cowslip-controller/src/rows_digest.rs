//! Count and digest of the ledger rows.

use cowslip_runtime::sha256_hex;
use serde::{Deserialize, Serialize};

/// Number of rows, and wrapping sum of the first eight bytes of each row's SHA-256, which does not depend on
/// their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RowsDigest {
    pub(crate) count: u64,
    pub(crate) sum: u64,
}

impl RowsDigest {
    pub(crate) const fn add(&mut self, digest: u64) {
        self.count += 1;
        self.sum = self.sum.wrapping_add(digest);
    }

    pub(crate) const fn remove(&mut self, digest: u64) {
        self.count = self.count.saturating_sub(1);
        self.sum = self.sum.wrapping_sub(digest);
    }
}

/// First eight bytes of the SHA-256 of a row's key and value.
pub(crate) fn row_digest(key: &str, text: &str) -> u64 {
    let hex = sha256_hex(format!("{key}\n{text}").as_bytes());
    hex.get(..16).and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or(0)
}
