//! Read access to the ledger.

use cowslip_messages::ReplicaState;
use cowslip_units::{ClockTime, MemorySize, ModelId, UpstreamId};

use crate::upstream_record::UpstreamRecord;
use crate::{LedgerRow, OrderIssuer, ReplicaLedger, RowKey};

impl ReplicaLedger {
    /// The state to publish to routers; `None` when there is no row or it is being deleted.
    pub fn state(&self, key: &RowKey) -> Option<ReplicaState> {
        let entry = self.entry(key).filter(|entry| !entry.pending_delete)?;
        Some(entry.row.state)
    }

    /// Whether the row has been committed at least once; a decision takes effect with that commit.
    pub fn is_written(&self, key: &RowKey) -> bool {
        self.entry(key).is_some_and(|entry| entry.committed_revision > 0)
    }

    /// The row with this key.
    pub fn row(&self, key: &RowKey) -> Option<&LedgerRow> {
        self.entry(key).map(|entry| &entry.row)
    }

    /// When the load of the row was confirmed, or the row was adopted.
    pub fn confirmed_at(&self, key: &RowKey) -> Option<ClockTime> {
        self.entry(key).map(|entry| entry.confirmed_at)
    }

    /// Whether the last report lists the model of a row whose order is in doubt.
    pub fn is_reported_loaded(&self, key: &RowKey) -> bool {
        self.entry(key).is_some_and(|entry| entry.reported_loaded)
    }

    /// Other leaders whose load orders may still reach an engine.
    pub fn foreign_issuers(&self) -> impl Iterator<Item = &OrderIssuer> {
        let rows = self.foreign_issued.iter().filter_map(|key| self.row(key));
        rows.flat_map(|row| row.issuers.iter()).filter(|issuer| **issuer != self.own_issuer)
    }

    /// Whether a load order of another leader may still reach an engine.
    pub fn has_foreign_issuers(&self) -> bool {
        !self.foreign_issued.is_empty()
    }

    /// Whether the call of an order for the row is in flight.
    pub fn is_in_flight(&self, key: &RowKey) -> bool {
        self.entry(key).is_some_and(|entry| entry.in_flight.is_some())
    }

    /// Whether an order for the row may have reached the engine.
    pub fn was_attempted(&self, key: &RowKey) -> bool {
        self.entry(key).is_some_and(|entry| entry.attempted || entry.in_flight.is_some())
    }

    /// Whether an unload that was refused may be retried.
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

    /// Upstreams with a ledger record, sorted.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.records.iter().map(|record| &record.upstream)
    }

    /// The memory of an upstream, and the part of it that rows reserve.
    pub fn memory(&self, upstream: &UpstreamId) -> (MemorySize, MemorySize) {
        self.record(upstream)
            .map_or((MemorySize::ZERO, MemorySize::ZERO), |record| (record.memory, record.used))
    }

    /// Memory of an upstream that is not reserved.
    pub fn free_memory(&self, upstream: &UpstreamId) -> MemorySize {
        self.record(upstream).map_or(MemorySize::ZERO, UpstreamRecord::free)
    }

    /// Boot id of the engine; `None` before its first report.
    pub fn boot(&self, upstream: &UpstreamId) -> Option<&str> {
        self.record(upstream)?.boot.as_deref()
    }
}
