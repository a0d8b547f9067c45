//! What the ledger tells.

use cowslip_messages::ReplicaState;
use cowslip_units::{ClockTime, MemorySize, ModelId, UpstreamId};

use crate::upstream_record::UpstreamRecord;
use crate::{LedgerRow, OrderIssuer, ReplicaLedger, RowKey};

impl ReplicaLedger {
    /// The state that routers may rely on: `None` when there is no row or it is being deleted.
    pub fn state(&self, key: &RowKey) -> Option<ReplicaState> {
        let entry = self.entry(key).filter(|entry| !entry.pending_delete)?;
        Some(entry.row.state)
    }

    /// Whether the row has been written: a decision counts from then on.
    pub fn is_written(&self, key: &RowKey) -> bool {
        self.entry(key).is_some_and(|entry| entry.committed_revision > 0)
    }

    /// The row.
    pub fn row(&self, key: &RowKey) -> Option<&LedgerRow> {
        self.entry(key).map(|entry| &entry.row)
    }

    /// When the row's load was confirmed or adopted.
    pub fn confirmed_at(&self, key: &RowKey) -> Option<ClockTime> {
        self.entry(key).map(|entry| entry.confirmed_at)
    }

    /// Whether a report listed the model of a row whose order is in doubt.
    pub fn is_reported_loaded(&self, key: &RowKey) -> bool {
        self.entry(key).is_some_and(|entry| entry.reported_loaded)
    }

    /// Other leaders whose load orders may still arrive.
    pub fn foreign_issuers(&self) -> impl Iterator<Item = &OrderIssuer> {
        let rows = self.foreign_issued.iter().filter_map(|key| self.row(key));
        rows.flat_map(|row| row.issuers.iter()).filter(|issuer| **issuer != self.own_issuer)
    }

    /// Whether a load order of another leader may still arrive for any row.
    pub fn has_foreign_issuers(&self) -> bool {
        !self.foreign_issued.is_empty()
    }

    /// Whether an order call for the row is under way.
    pub fn is_in_flight(&self, key: &RowKey) -> bool {
        self.entry(key).is_some_and(|entry| entry.in_flight.is_some())
    }

    /// Whether an order for the row may already have reached the engine.
    pub fn was_attempted(&self, key: &RowKey) -> bool {
        self.entry(key).is_some_and(|entry| entry.attempted || entry.in_flight.is_some())
    }

    /// Whether a refused unload may be tried again.
    pub fn is_unload_due(&self, key: &RowKey, now: ClockTime) -> bool {
        self.entry(key).is_some_and(|entry| entry.resend_at <= now)
    }

    /// Upstreams that have a row for the model or adapter.
    pub fn places<'a>(&'a self, name: &'a ModelId) -> impl Iterator<Item = &'a UpstreamId> {
        let from = self.places.partition_point(|(placed, _)| placed < name);
        let tail = self.places.get(from..).unwrap_or_default();
        tail.iter().take_while(move |(placed, _)| placed == name).map(|(_, upstream)| upstream)
    }

    /// Rows of an upstream, sorted by key.
    pub fn rows_at(&self, upstream: &UpstreamId) -> impl Iterator<Item = &LedgerRow> {
        let entries = self.record(upstream).map(|record| record.entries.as_slice()).unwrap_or_default();
        entries.iter().map(|entry| &entry.row)
    }

    /// All rows, sorted by key.
    pub fn rows(&self) -> impl Iterator<Item = &LedgerRow> {
        self.records.iter().flat_map(|record| record.entries.iter().map(|entry| &entry.row))
    }

    /// Upstreams with a book, sorted.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.records.iter().map(|record| &record.upstream)
    }

    /// Memory of an upstream and the part that is reserved.
    pub fn memory(&self, upstream: &UpstreamId) -> (MemorySize, MemorySize) {
        self.record(upstream)
            .map_or((MemorySize::ZERO, MemorySize::ZERO), |record| (record.memory, record.used))
    }

    /// Memory of an upstream that no row reserves.
    pub fn free_memory(&self, upstream: &UpstreamId) -> MemorySize {
        self.record(upstream).map_or(MemorySize::ZERO, UpstreamRecord::free)
    }

    /// The engine's present start, once it has reported.
    pub fn boot(&self, upstream: &UpstreamId) -> Option<&str> {
        self.record(upstream)?.boot.as_deref()
    }
}
