//! Versioned rows of the table service.

use cowslip_platform::{RowValue, TableTransaction, TransactionOutcome};
use smol_str::SmolStr;

use crate::history_map::HistoryMap;

/// In-memory table whose rows can be read as of an earlier time.
#[derive(Clone, Debug)]
pub(crate) struct TableStore {
    rows: HistoryMap<RowValue>,
    last_version: u64,
}

impl TableStore {
    pub(crate) fn new() -> Self {
        Self { rows: HistoryMap::new(), last_version: 0 }
    }

    /// Returns the row at `at_ms`.
    pub(crate) fn read(&self, key: &str, at_ms: u64) -> Option<RowValue> {
        self.rows.get(key, at_ms).cloned()
    }

    /// Returns up to `limit` rows at `at_ms`, in key order.
    pub(crate) fn scan(&self, prefix: &str, after: &str, limit: usize, at_ms: u64) -> Vec<RowValue> {
        self.rows.range(prefix, after, at_ms).take(limit).cloned().collect()
    }

    /// Commits a transaction if its conditions hold on the current rows, else returns the conflicting rows.
    pub(crate) fn commit(&mut self, now_ms: u64, transaction: &TableTransaction) -> TransactionOutcome {
        let version_of = |key: &SmolStr| self.rows.get(key, u64::MAX).map(|row| row.version);
        let holds = transaction.conditions.iter().all(|row| version_of(&row.key) == row.version);
        if !holds {
            let conditions = transaction.conditions.iter();
            let rows = conditions.filter_map(|row| self.rows.get(&row.key, u64::MAX).cloned()).collect();
            return TransactionOutcome { committed: false, versions: Vec::new(), rows };
        }
        let mut versions = Vec::new();
        for (key, value) in &transaction.puts {
            // Versions come from one counter for all rows, so that a row that is deleted and recreated gets a
            // new one.
            self.last_version += 1;
            let row = RowValue { key: key.clone(), version: self.last_version, value: value.clone() };
            self.rows.put(now_ms, key, Some(row));
            versions.push(self.last_version);
        }
        for key in &transaction.deletes {
            self.rows.put(now_ms, key, None);
        }
        TransactionOutcome { committed: true, versions, rows: Vec::new() }
    }
}
