//! The replica ledger: which replicas and adapters are decided, and which memory they reserve.
//!
//! The table service stores the rows; the ledger determines what to write ([`ReplicaLedger::next_batch`]) and
//! which orders may be sent ([`ReplicaLedger::orders`]). These rules maintain the invariants on replicas and
//! memory:
//!
//! - A row is committed before its order is sent, and counts as loaded until its deletion is committed.
//! - A row is deleted only on evidence that its model is not loaded and that no load order can take effect
//!   any more. The evidence is the engine's answer to an unload, its refusal of the load, a newer report
//!   after a confirmed load, another boot after a confirmed load, or the upstream's absence from the VM list.
//! - `issuers` holds the leaders whose load order may still arrive. An engine that checks fencing tokens
//!   invalidates all older orders by answering an order of this leader. With other engines, each issuer must
//!   have released the order or be gone, and a report requested after that must come from the boot that
//!   answered the order: an order that is still in flight can then only reach a boot that has already carried
//!   out its id. If the engine restarted in the meantime, the same order is sent once more, so that the new
//!   boot has seen its id.
//!
//! Assumptions about engines: an order id is carried out at most once in a boot, and a refused one never; an
//! order sent to one boot does not reach the next one, because the connection breaks; an engine that checks
//! fencing tokens keeps the highest one across restarts.

use cowslip_messages::ReplicaState;
use cowslip_units::{
    ClockTime, InvariantName, MemorySize, ModelId, OrderId, UnitError, UpstreamId, assert_invariant,
};

use crate::ledger_entry::{LedgerEntry, MIN_RESEND_MS};
use crate::upstream_record::UpstreamRecord;
use crate::{
    EngineOrder, LedgerBatch, LedgerEvent, LedgerRefusal, LedgerRow, LoadDecision, OrderIssuer, RowKey,
    RowKind,
};

/// All decided replicas and adapters, as known to the leader of one epoch.
#[derive(Clone, Debug)]
pub struct ReplicaLedger {
    pub(crate) own_issuer: OrderIssuer,
    /// Prefix of order ids; unique to this ledger.
    pub(crate) prefix: String,
    pub(crate) records: Vec<UpstreamRecord>,
    /// Rows to write, sorted.
    pub(crate) dirty: Vec<RowKey>,
    /// Rows whose order may have to be sent, sorted.
    pub(crate) open_orders: Vec<RowKey>,
    /// Rows with issuers other than this leader, sorted.
    pub(crate) foreign_issued: Vec<RowKey>,
    /// Pairs of a model or adapter and an upstream that has a row for it, sorted.
    pub(crate) places: Vec<(ModelId, UpstreamId)>,
    pub(crate) pending_batch: Option<(LedgerBatch, Vec<(RowKey, u64)>)>,
    pub(crate) batch_in_flight: bool,
    pub(crate) batches: u64,
    pub(crate) orders: u64,
    pub(crate) superseded: bool,
    pub(crate) events: Vec<LedgerEvent>,
}

impl ReplicaLedger {
    /// Creates the empty ledger of the leader `own_issuer`.
    pub fn new(own_issuer: OrderIssuer) -> Self {
        Self {
            prefix: format!("{}:{}", own_issuer.incarnation, own_issuer.epoch),
            own_issuer,
            records: Vec::new(),
            dirty: Vec::new(),
            open_orders: Vec::new(),
            foreign_issued: Vec::new(),
            places: Vec::new(),
            pending_batch: None,
            batch_in_flight: false,
            batches: 0,
            orders: 0,
            superseded: false,
            events: Vec::new(),
        }
    }

    /// Sets the prefix of order ids, which no other ledger may use.
    #[must_use]
    pub fn with_order_prefix(mut self, prefix: String) -> Self {
        self.prefix = prefix;
        self
    }

    /// The leader that owns this ledger.
    pub const fn issuer(&self) -> &OrderIssuer {
        &self.own_issuer
    }

    /// Whether an engine has seen a higher fencing token; no order is sent after that.
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Adopts the rows that an earlier leader wrote. Orders in doubt are kept and sent again.
    pub fn adopt(&mut self, rows: Vec<LedgerRow>, now: ClockTime) {
        for row in rows {
            let key = row.key.clone();
            let mut entry = LedgerEntry::new(row, now);
            entry.committed_revision = entry.revision;
            entry.attempted = true;
            entry.verified = entry.row.boot.is_some();
            match entry.row.state {
                ReplicaState::Ordered => {
                    entry.row.epoch = self.own_issuer.epoch;
                    entry.row.issuers.push(self.own_issuer.clone());
                    entry.row.issuers.sort();
                    entry.row.issuers.dedup();
                    entry.revision += 1;
                }
                ReplicaState::Draining => entry.row.state = ReplicaState::Loaded,
                ReplicaState::Unloading if entry.row.unload.is_none() => {
                    entry.row.unload = self.next_order().ok();
                    entry.revision += 1;
                }
                ReplicaState::Loaded | ReplicaState::Unloading => {}
            }
            self.insert(entry);
            self.refresh(&key);
        }
    }

    /// Sets memory and fencing of an upstream as declared in the sheet.
    pub fn set_upstream(&mut self, upstream: &UpstreamId, memory: MemorySize, checks_fencing: bool) {
        let record = self.record_or_insert(upstream);
        record.memory = memory;
        record.checks_fencing = checks_fencing;
    }

    /// Decides to load: reserves the memory and schedules the write of the row. The order is sent after the
    /// commit.
    pub fn decide(&mut self, decision: LoadDecision, now: ClockTime) -> Result<(), LedgerRefusal> {
        let order = self.next_order().map_err(|_| LedgerRefusal::WrongState)?;
        let own_issuer = self.own_issuer.clone();
        let Some(at) = self.record_index(&decision.key.upstream) else {
            return Err(LedgerRefusal::UnknownUpstream);
        };
        let Some(record) = self.records.get_mut(at) else {
            return Err(LedgerRefusal::UnknownUpstream);
        };
        if record.boot.is_none() {
            return Err(LedgerRefusal::NotReported);
        }
        if record.has_name(&decision.key.name) {
            return Err(LedgerRefusal::RowExists);
        }
        if decision.memory > record.free() {
            return Err(LedgerRefusal::InsufficientMemory { needed: decision.memory, free: record.free() });
        }
        if decision.key.kind == RowKind::Adapter {
            let base = RowKey::replica(decision.key.upstream.clone(), decision.base.clone());
            let loaded = record.entry(&base).is_some_and(|entry| entry.row.state == ReplicaState::Loaded);
            if !loaded {
                return Err(LedgerRefusal::BaseMissing);
            }
        }
        let key = decision.key.clone();
        let row = LedgerRow {
            key: decision.key,
            base: decision.base,
            state: ReplicaState::Ordered,
            memory: decision.memory,
            load_ms: decision.load_ms,
            order,
            unload: None,
            epoch: own_issuer.epoch,
            issuers: vec![own_issuer],
            boot: None,
            sequence: 0,
            fresh: false,
        };
        self.insert(LedgerEntry::new(row, now));
        self.refresh(&key);
        if let Some(record) = self.record(&key.upstream) {
            let (used, memory) = (record.used, record.memory);
            assert_invariant(used <= memory, InvariantName::MemoryBounded, || {
                format!("{key}: {used} reserved of {memory}")
            });
        }
        Ok(())
    }

    /// Cancels a decision whose order was never sent.
    pub fn cancel(&mut self, key: &RowKey) -> Result<(), LedgerRefusal> {
        let own_issuer = self.own_issuer.clone();
        self.change(key, |entry| {
            let unsent =
                !entry.attempted && entry.in_flight.is_none() && entry.row.state == ReplicaState::Ordered;
            if !unsent || entry.row.issuers.iter().any(|issuer| *issuer != own_issuer) {
                return Err(LedgerRefusal::WrongState);
            }
            entry.pending_delete = true;
            entry.revision += 1;
            Ok(())
        })
    }

    /// Records that the slow start after the row's load has ended.
    pub fn ramp_finished(&mut self, key: &RowKey) {
        let _ = self.change(key, |entry| {
            if entry.row.fresh {
                entry.row.fresh = false;
                entry.revision += 1;
            }
            Ok(())
        });
    }

    /// Stops sending new requests to a loaded replica or adapter.
    pub fn drain(&mut self, key: &RowKey) -> Result<(), LedgerRefusal> {
        self.change(key, |entry| match entry.row.state {
            ReplicaState::Loaded if !entry.pending_delete => {
                entry.row.state = ReplicaState::Draining;
                Ok(())
            }
            _ => Err(LedgerRefusal::WrongState),
        })
    }

    /// Cancels the drain of a replica or adapter.
    pub fn undrain(&mut self, key: &RowKey) -> Result<(), LedgerRefusal> {
        self.change(key, |entry| match entry.row.state {
            ReplicaState::Draining if !entry.pending_delete => {
                entry.row.state = ReplicaState::Loaded;
                Ok(())
            }
            _ => Err(LedgerRefusal::WrongState),
        })
    }

    /// Decides to unload a drained replica or adapter. A replica must have no adapter that is being loaded.
    pub fn unload(&mut self, key: &RowKey) -> Result<(), LedgerRefusal> {
        let order = self.next_order().map_err(|_| LedgerRefusal::WrongState)?;
        if key.kind == RowKind::Replica
            && let Some(record) = self.record(&key.upstream)
            && record.adapters_of(&key.name).any(|adapter| adapter.row.state == ReplicaState::Ordered)
        {
            return Err(LedgerRefusal::WrongState);
        }
        let epoch = self.own_issuer.epoch;
        self.change(key, |entry| {
            if entry.row.state != ReplicaState::Draining || entry.pending_delete {
                return Err(LedgerRefusal::WrongState);
            }
            entry.row.state = ReplicaState::Unloading;
            entry.row.unload = Some(order);
            entry.row.epoch = epoch;
            entry.resend_ms = MIN_RESEND_MS;
            entry.revision += 1;
            Ok(())
        })
    }

    /// Orders to send now. `is_needed` returns whether a load that was never sent still has waiting callers;
    /// a load that has none is cancelled.
    pub fn orders(&mut self, now: ClockTime, is_needed: impl Fn(&RowKey) -> bool) -> Vec<EngineOrder> {
        let mut orders = Vec::new();
        if self.superseded {
            return orders;
        }
        for key in self.open_orders.clone() {
            let due = self.entry(&key).is_some_and(|entry| entry.is_order_due(now));
            let boot = self.record(&key.upstream).and_then(|record| record.boot.clone());
            let Some(boot) = boot.filter(|_| due) else {
                continue;
            };
            let unsent = self
                .entry(&key)
                .is_some_and(|entry| !entry.attempted && entry.row.state == ReplicaState::Ordered);
            if unsent && !is_needed(&key) && self.cancel(&key).is_ok() {
                self.events.push(LedgerEvent::Freed { key, reason: "callers left before the order" });
                continue;
            }
            let fence = self.own_issuer.epoch;
            let Some(entry) = self.entry_mut(&key) else {
                continue;
            };
            let order = entry.order(fence);
            entry.in_flight = Some(order.order.clone());
            entry.sent_boot = Some(boot);
            let (committed_revision, revision, epoch) =
                (entry.committed_revision, entry.revision, entry.row.epoch);
            let decided = committed_revision == revision
                && (entry.row.state != ReplicaState::Ordered || epoch == fence);
            orders.push(order);
            assert_invariant(decided, InvariantName::ReplicasDecided, || {
                format!(
                    "{key}: order before its row was committed ({committed_revision} of {revision}, epoch {epoch})"
                )
            });
        }
        orders
    }

    /// Records that the upstream is permanently gone, and deletes all its rows.
    pub fn upstream_gone(&mut self, upstream: &UpstreamId) {
        let Some(record) = self.record_mut(upstream) else {
            return;
        };
        record.boot = None;
        record.order_confirmed = false;
        let keys: Vec<RowKey> = record.entries.iter().map(|entry| entry.row.key.clone()).collect();
        for key in keys {
            if let Some(entry) = self.entry_mut(&key) {
                entry.row.issuers.clear();
                entry.in_flight = None;
            }
            self.free(&key, "the upstream is gone");
            self.refresh(&key);
        }
    }

    /// Records when all other issuers of a row were first seen to have `finished`: to have released their
    /// orders or to be gone. Only a report requested after that may remove them from the row.
    pub fn release_issuers(&mut self, now: ClockTime, finished: impl Fn(&OrderIssuer) -> bool) {
        let own_issuer = self.own_issuer.clone();
        for key in self.foreign_issued.clone() {
            if let Some(entry) = self.entry_mut(&key) {
                let all = entry.row.issuers.iter().all(|issuer| *issuer == own_issuer || finished(issuer));
                if all && entry.issuers_finished_at.is_none() {
                    entry.issuers_finished_at = Some(now);
                }
            }
        }
    }

    /// Marks a row for deletion, or as absent while the order of an issuer may still load it.
    pub(crate) fn free(&mut self, key: &RowKey, reason: &'static str) {
        let Some(entry) = self.entry_mut(key) else {
            return;
        };
        if entry.pending_delete {
            return;
        }
        entry.revision += 1;
        if entry.row.issuers.is_empty() {
            entry.pending_delete = true;
            self.events.push(LedgerEvent::Freed { key: key.clone(), reason });
        } else {
            entry.row.state = ReplicaState::Unloading;
            entry.absent = true;
        }
    }

    pub(crate) fn mark_superseded(&mut self) {
        self.superseded = true;
        self.events.push(LedgerEvent::Superseded);
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<LedgerEvent> {
        std::mem::take(&mut self.events)
    }

    fn change(
        &mut self,
        key: &RowKey,
        step: impl FnOnce(&mut LedgerEntry) -> Result<(), LedgerRefusal>,
    ) -> Result<(), LedgerRefusal> {
        let entry = self.entry_mut(key).ok_or(LedgerRefusal::NoRow)?;
        step(entry)?;
        self.refresh(key);
        Ok(())
    }

    pub(crate) fn insert(&mut self, entry: LedgerEntry) {
        let key = entry.row.key.clone();
        self.record_or_insert(&key.upstream).insert(entry);
        let place = (key.name, key.upstream);
        if let Err(at) = self.places.binary_search(&place) {
            self.places.insert(at, place);
        }
    }

    pub(crate) fn remove(&mut self, key: &RowKey) {
        if let Some(record) = self.record_mut(&key.upstream) {
            record.remove(key);
        }
        if let Ok(at) = self.places.binary_search(&(key.name.clone(), key.upstream.clone())) {
            self.places.remove(at);
        }
        self.refresh(key);
    }

    /// Updates the indexes of rows to write, to order and to watch after a change of the row.
    pub(crate) fn refresh(&mut self, key: &RowKey) {
        let own_issuer = self.own_issuer.clone();
        let (dirty, open_orders, foreign_issued) = match self.entry(key) {
            Some(entry) => (
                entry.committed_revision != entry.revision,
                matches!(entry.row.state, ReplicaState::Ordered | ReplicaState::Unloading),
                entry.has_foreign_issuer(&own_issuer),
            ),
            None => (false, false, false),
        };
        set_member(&mut self.dirty, key, dirty);
        set_member(&mut self.open_orders, key, open_orders);
        set_member(&mut self.foreign_issued, key, foreign_issued);
    }

    pub(crate) fn next_order(&mut self) -> Result<OrderId, UnitError> {
        self.orders += 1;
        OrderId::new(&format!("{}-{}", self.prefix, self.orders))
    }

    fn record_index(&self, upstream: &UpstreamId) -> Option<usize> {
        self.records.binary_search_by(|record| record.upstream.cmp(upstream)).ok()
    }

    pub(crate) fn record(&self, upstream: &UpstreamId) -> Option<&UpstreamRecord> {
        self.records.get(self.record_index(upstream)?)
    }

    pub(crate) fn record_mut(&mut self, upstream: &UpstreamId) -> Option<&mut UpstreamRecord> {
        let at = self.record_index(upstream)?;
        self.records.get_mut(at)
    }

    pub(crate) fn record_or_insert(&mut self, upstream: &UpstreamId) -> &mut UpstreamRecord {
        let at = match self.records.binary_search_by(|record| record.upstream.cmp(upstream)) {
            Ok(at) => at,
            Err(at) => {
                self.records.insert(at, UpstreamRecord::new(upstream.clone()));
                at
            }
        };
        &mut self.records[at]
    }

    pub(crate) fn entry(&self, key: &RowKey) -> Option<&LedgerEntry> {
        self.record(&key.upstream)?.entry(key)
    }

    pub(crate) fn entry_mut(&mut self, key: &RowKey) -> Option<&mut LedgerEntry> {
        self.record_mut(&key.upstream)?.entry_mut(key)
    }
}

fn set_member(keys: &mut Vec<RowKey>, key: &RowKey, member: bool) {
    match (keys.binary_search(key), member) {
        (Err(at), true) => keys.insert(at, key.clone()),
        (Ok(at), false) => {
            keys.remove(at);
        }
        _ => {}
    }
}
