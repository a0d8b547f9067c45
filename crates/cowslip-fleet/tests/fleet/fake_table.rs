//! In-memory table service.

use std::collections::BTreeMap;

use cowslip_platform::{RowValue, TableTransaction, TransactionOutcome};
use serde::de::DeserializeOwned;

#[derive(Clone, Default)]
pub(crate) struct FakeTable {
    rows: BTreeMap<String, (u64, String)>,
    writes: u64,
}

impl FakeTable {
    pub(crate) fn read(&self, key: &str) -> Option<RowValue> {
        let (version, value) = self.rows.get(key)?;
        Some(RowValue { key: key.into(), version: *version, value: value.clone() })
    }

    pub(crate) fn parsed<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.read(key).map(|row| serde_json::from_str(&row.value).unwrap())
    }

    pub(crate) fn commit(&mut self, transaction: &TableTransaction) -> TransactionOutcome {
        let holds = transaction.conditions.iter().all(|condition| {
            self.rows.get(condition.key.as_str()).map(|(version, _)| *version) == condition.version
        });
        if !holds {
            let rows =
                transaction.conditions.iter().filter_map(|condition| self.read(&condition.key)).collect();
            return TransactionOutcome { committed: false, versions: Vec::new(), rows };
        }
        let mut versions = Vec::new();
        for (key, value) in &transaction.puts {
            self.writes += 1;
            self.rows.insert(key.to_string(), (self.writes, value.clone()));
            versions.push(self.writes);
        }
        for key in &transaction.deletes {
            self.rows.remove(key.as_str());
        }
        TransactionOutcome { committed: true, versions, rows: Vec::new() }
    }
}
