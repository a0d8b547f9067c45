//! The platform's transactional table service.

use std::future::Future;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::PlatformError;

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowValue {
    /// Key of the row.
    pub key: SmolStr,
    /// Changes with every write of the row; never repeats for a key.
    pub version: u64,
    /// Value of the row, as JSON text.
    pub value: String,
}

/// A condition on a row, which must hold for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// The row's key.
    pub key: SmolStr,
    /// Required version; `None` if the row must be absent.
    pub version: Option<u64>,
}

/// Writes and deletions that are committed together if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Conditions that must hold.
    pub conditions: Vec<RowCondition>,
    /// Rows to write, as pairs of key and value.
    pub puts: Vec<(SmolStr, String)>,
    /// Rows to delete; deleting an absent row succeeds.
    pub deletes: Vec<SmolStr>,
}

impl TableTransaction {
    /// An empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that the row has this version.
    #[must_use]
    pub fn with_version(mut self, key: &str, version: u64) -> Self {
        self.conditions.push(RowCondition { key: SmolStr::new(key), version: Some(version) });
        self
    }

    /// Adds the condition that the row is absent.
    #[must_use]
    pub fn with_absent(mut self, key: &str) -> Self {
        self.conditions.push(RowCondition { key: SmolStr::new(key), version: None });
        self
    }

    /// Adds the write of a row.
    #[must_use]
    pub fn with_put(mut self, key: &str, value: String) -> Self {
        self.puts.push((SmolStr::new(key), value));
        self
    }

    /// Adds the deletion of a row.
    #[must_use]
    pub fn with_delete(mut self, key: &str) -> Self {
        self.deletes.push(SmolStr::new(key));
        self
    }
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionOutcome {
    /// True if every condition held and all writes took effect.
    pub committed: bool,
    /// If committed, the new versions of the written rows, in order.
    pub versions: Vec<u64>,
    /// If not committed, the present rows that the conditions refer to; absent rows are left out.
    pub rows: Vec<RowValue>,
}

/// The transactional table service.
pub trait TableService: Clone + Send + Sync + 'static {
    /// Reads a row; `None` if it is absent.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<RowValue>, PlatformError>> + Send;

    /// Reads up to `limit` rows with keys that start with `prefix` and are greater than `after`, in order of
    /// key.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<RowValue>, PlatformError>> + Send;

    /// Commits a transaction if its conditions hold.
    fn commit(
        &self,
        transaction: &TableTransaction,
    ) -> impl Future<Output = Result<TransactionOutcome, PlatformError>> + Send;
}
