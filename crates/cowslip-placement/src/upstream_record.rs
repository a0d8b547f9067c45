//! The ledger's record of one upstream: rows and reserved memory.

use cowslip_units::{ClockTime, MemorySize, ModelId, UpstreamId};
use smol_str::SmolStr;

use crate::ledger_entry::LedgerEntry;
use crate::{RowKey, RowKind};

/// Ledger rows of one upstream, with the state of its engine that the ledger depends on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UpstreamRecord {
    pub(crate) upstream: UpstreamId,
    /// Memory as declared, or less if the engine reports less.
    pub(crate) memory: MemorySize,
    /// Whether the engine rejects orders with an old fencing token.
    pub(crate) checks_fencing: bool,
    /// Memory reserved by all rows.
    pub(crate) used: MemorySize,
    /// Boot id of the engine; `None` before its first report.
    pub(crate) boot: Option<SmolStr>,
    /// When the last accepted report was requested.
    pub(crate) requested_at: ClockTime,
    /// Lowest state sequence of a report that is not stale, within this boot.
    pub(crate) min_sequence: u64,
    /// True once the engine has answered an order of this leader in this boot: from then on, a current report
    /// that lists a model without a row shows an undecided replica.
    pub(crate) order_confirmed: bool,
    /// Models listed without a row, with the time of the first such report.
    pub(crate) unknown: Vec<(ModelId, ClockTime)>,
    /// Rows, sorted by key.
    pub(crate) entries: Vec<LedgerEntry>,
}

impl UpstreamRecord {
    /// A record without rows and memory.
    pub(crate) const fn new(upstream: UpstreamId) -> Self {
        Self {
            upstream,
            memory: MemorySize::ZERO,
            checks_fencing: false,
            used: MemorySize::ZERO,
            boot: None,
            requested_at: ClockTime::ZERO,
            min_sequence: 0,
            order_confirmed: false,
            unknown: Vec::new(),
            entries: Vec::new(),
        }
    }

    /// Index of the row, or the index at which to insert it.
    pub(crate) fn find(&self, key: &RowKey) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.row.key.cmp(key))
    }

    pub(crate) fn entry(&self, key: &RowKey) -> Option<&LedgerEntry> {
        self.entries.get(self.find(key).ok()?)
    }

    pub(crate) fn entry_mut(&mut self, key: &RowKey) -> Option<&mut LedgerEntry> {
        let at = self.find(key).ok()?;
        self.entries.get_mut(at)
    }

    /// Inserts a row and reserves its memory.
    pub(crate) fn insert(&mut self, entry: LedgerEntry) {
        if let Err(at) = self.find(&entry.row.key) {
            self.used = self.used.plus(entry.row.memory);
            self.entries.insert(at, entry);
        }
    }

    /// Removes a row and releases its memory.
    pub(crate) fn remove(&mut self, key: &RowKey) {
        if let Ok(at) = self.find(key) {
            let entry = self.entries.remove(at);
            self.used = self.used.minus(entry.row.memory);
        }
    }

    /// Memory that is not reserved.
    pub(crate) const fn free(&self) -> MemorySize {
        self.memory.minus(self.used)
    }

    /// Adapters of the model `base`.
    pub(crate) fn adapters_of(&self, base: &ModelId) -> impl Iterator<Item = &LedgerEntry> {
        let adapters = self.entries.iter().filter(|entry| entry.row.key.kind == RowKind::Adapter);
        adapters.filter(move |entry| &entry.row.base == base)
    }

    /// Whether a row of either kind has this name.
    pub(crate) fn has_name(&self, name: &ModelId) -> bool {
        self.entries.iter().any(|entry| &entry.row.key.name == name)
    }
}
