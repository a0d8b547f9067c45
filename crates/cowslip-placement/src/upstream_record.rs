//! The ledger's rows and memory of one upstream.

use cowslip_units::{ClockTime, MemorySize, ModelId, UpstreamId};
use smol_str::SmolStr;

use crate::ledger_entry::LedgerEntry;
use crate::{RowKey, RowKind};

/// Rows of one upstream, with what is known about its engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UpstreamRecord {
    /// The upstream.
    pub(crate) upstream: UpstreamId,
    /// Its memory as declared, or less if its engine reports less.
    pub(crate) memory: MemorySize,
    /// Whether its engine refuses old fencing numbers.
    pub(crate) checks_fencing: bool,
    /// Sum of the reserved memory of all rows.
    pub(crate) used: MemorySize,
    /// The engine's present start, once it has reported.
    pub(crate) boot: Option<SmolStr>,
    /// When the last report that was taken was asked for.
    pub(crate) requested_at: ClockTime,
    /// Reports of this boot with a lower sequence are stale.
    pub(crate) min_sequence: u64,
    /// True once an order of this leader was answered in this boot: from then on, a current report that lists
    /// a model without a row shows an undecided replica.
    pub(crate) order_confirmed: bool,
    /// Models listed without a row, and when that was first seen.
    pub(crate) unknown: Vec<(ModelId, ClockTime)>,
    /// Rows, sorted by key.
    pub(crate) entries: Vec<LedgerEntry>,
}

impl UpstreamRecord {
    /// An empty book without memory.
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

    /// The row's place, or where it would be.
    pub(crate) fn find(&self, key: &RowKey) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.row.key.cmp(key))
    }

    /// The row.
    pub(crate) fn entry(&self, key: &RowKey) -> Option<&LedgerEntry> {
        self.entries.get(self.find(key).ok()?)
    }

    /// The row, to change.
    pub(crate) fn entry_mut(&mut self, key: &RowKey) -> Option<&mut LedgerEntry> {
        let at = self.find(key).ok()?;
        self.entries.get_mut(at)
    }

    /// Adds a row and reserves its memory.
    pub(crate) fn insert(&mut self, entry: LedgerEntry) {
        if let Err(at) = self.find(&entry.row.key) {
            self.used = self.used.plus(entry.row.memory);
            self.entries.insert(at, entry);
        }
    }

    /// Removes a row and frees its memory.
    pub(crate) fn remove(&mut self, key: &RowKey) {
        if let Ok(at) = self.find(key) {
            let entry = self.entries.remove(at);
            self.used = self.used.minus(entry.row.memory);
        }
    }

    /// Memory that no row reserves.
    pub(crate) const fn free(&self) -> MemorySize {
        self.memory.minus(self.used)
    }

    /// Adapters of `base` here.
    pub(crate) fn adapters_of(&self, base: &ModelId) -> impl Iterator<Item = &LedgerEntry> {
        let adapters = self.entries.iter().filter(|entry| entry.row.key.kind == RowKind::Adapter);
        adapters.filter(move |entry| &entry.row.base == base)
    }

    /// Whether a row of either kind has this name.
    pub(crate) fn has_name(&self, name: &ModelId) -> bool {
        self.entries.iter().any(|entry| &entry.row.key.name == name)
    }
}
