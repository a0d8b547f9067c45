//! An in-memory store that can be restored from an older backup, which assigns version numbers a second time.

use std::collections::{BTreeMap, VecDeque};

use cowslip_platform::{RowValue, TableTransaction, TransactionOutcome};
use cowslip_units::StoreEra;
use smol_str::SmolStr;

/// Interval in ms between two backups.
const BACKUP_MS: u64 = 50;

/// Backups kept; the oldest is some seconds old.
const MAX_BACKUPS: usize = 150;

/// Time in ms after a restore in which others write again what was lost.
const RECOVERY_MS: u64 = 1_000;

/// Rows with their numbers, and the last number assigned.
#[derive(Clone, Debug, Default)]
struct StoreContent {
    rows: BTreeMap<SmolStr, (u64, String)>,
    last_number: u64,
}

/// The store with its backups.
#[derive(Debug, Default)]
pub(crate) struct RestoredStore {
    content: StoreContent,
    backups: VecDeque<(u64, StoreContent)>,
    era: StoreEra,
    away_until: u64,
    restored_at: Option<u64>,
}

impl RestoredStore {
    /// The era of all answers.
    pub(crate) fn era(&self) -> StoreEra {
        self.era
    }

    /// True while it does not answer.
    pub(crate) fn is_away(&self, now: u64) -> bool {
        now < self.away_until
    }

    /// True shortly after a restore.
    pub(crate) fn is_recovering(&self, now: u64) -> bool {
        self.restored_at.is_some_and(|at| now < at + RECOVERY_MS)
    }

    /// A write of others, which uses up a number.
    pub(crate) fn write_other_row(&mut self) {
        self.content.last_number += 1;
    }

    /// Makes a backup when one is due.
    pub(crate) fn tick(&mut self, now: u64) {
        if self.backups.back().is_none_or(|(at, _)| now >= at + BACKUP_MS) {
            self.backups.push_back((now, self.content.clone()));
        }
        if self.backups.len() > MAX_BACKUPS {
            self.backups.pop_front();
        }
    }

    /// Restores the backup of `age_ms` ago; the store is away for `away_ms`.
    pub(crate) fn restore(&mut self, now: u64, age_ms: u64, away_ms: u64) {
        let from = now.saturating_sub(age_ms);
        self.backups.retain(|(at, _)| *at <= from);
        self.content = self.backups.back().map(|(_, content)| content.clone()).unwrap_or_default();
        self.era = self.era.next();
        self.away_until = now + away_ms;
        self.restored_at = Some(self.away_until);
    }

    /// The row of a key.
    pub(crate) fn read(&self, key: &str) -> Option<RowValue> {
        let (number, value) = self.content.rows.get(key)?;
        Some(RowValue { key: key.into(), version: self.version(*number), value: value.clone() })
    }

    /// Current rows of the keys in the conditions of a transaction.
    pub(crate) fn condition_rows(&self, transaction: &TableTransaction) -> Vec<RowValue> {
        transaction.conditions.iter().filter_map(|condition| self.read(&condition.key)).collect()
    }

    /// Carries out a transaction. Like the platform's store, it compares numbers, whatever era they are from.
    pub(crate) fn commit(&mut self, transaction: &TableTransaction) -> TransactionOutcome {
        let number_of = |key: &SmolStr| self.content.rows.get(key).map(|(number, _)| *number);
        let holds = transaction
            .conditions
            .iter()
            .all(|condition| number_of(&condition.key) == condition.version.map(StoreEra::raw_version));
        if !holds {
            let rows = self.condition_rows(transaction);
            return TransactionOutcome { committed: false, versions: Vec::new(), rows };
        }
        self.content.last_number += 1;
        let number = self.content.last_number;
        for (key, value) in &transaction.puts {
            self.content.rows.insert(key.clone(), (number, value.clone()));
        }
        let versions = transaction.puts.iter().map(|_| self.version(number)).collect();
        TransactionOutcome { committed: true, versions, rows: Vec::new() }
    }

    fn version(&self, number: u64) -> u64 {
        self.era.version(number).expect("a version")
    }
}
