//! The placement planner: which model to load where, what to unload, and what to keep.
//!
//! The planner owns the ledger and all other state that decisions depend on. Events are passed in as they
//! arrive, and [`PlacementPlanner::step`] makes the decisions. No step iterates over every model or every
//! upstream: waiting models come from the demand tracker, places from the indexes of the engine table, and
//! idle replicas from the idle index.

use cowslip_config::FleetSheet;
use cowslip_messages::{DemandReply, DemandReport, MemberEntry, ReplicaState, TableVersion};
use cowslip_units::{ClockTime, DomainId, MemorySize, ModelId, OrderId, UpstreamId};

use crate::drain_plan::DrainPlan;
use crate::drain_reason::DrainReason;
use crate::engine_table::EngineTable;
use crate::idle_index::IdleIndex;
use crate::load_intent::LoadIntent;
use crate::team_starts::TeamStarts;
use crate::{
    DecisionLog, DemandTracker, LedgerRow, ListAbsence, LoadQueue, ModelUsage, OrderAnswer, OrderIssuer,
    PlacementPolicy, ReplicaCost, ReplicaLedger, RowKey, RowKind, UpstreamReport,
};

/// Time in ms for which an idle adapter stays loaded. Adapters take little memory and no accelerator of their
/// own.
const ADAPTER_IDLE_MS: u64 = 600_000;

/// Decides about replicas for the leader of one epoch.
#[derive(Clone, Debug)]
pub struct PlacementPlanner<P> {
    pub(crate) policy: P,
    pub(crate) ledger: ReplicaLedger,
    pub(crate) queue: LoadQueue,
    pub(crate) demand: DemandTracker,
    pub(crate) engines: EngineTable,
    pub(crate) sheet: FleetSheet,
    pub(crate) members: Vec<MemberEntry>,
    /// Usage by model or adapter, sorted by name.
    pub(crate) usage: Vec<ModelUsage>,
    /// Pairs of a model and a name that its replicas serve (its own or an adapter's) with waiting requests,
    /// sorted.
    pub(crate) waiting: Vec<(ModelId, ModelId)>,
    pub(crate) idle: IdleIndex,
    pub(crate) drains: Vec<DrainPlan>,
    pub(crate) intents: Vec<LoadIntent>,
    pub(crate) team_starts: TeamStarts,
    /// Rows whose load the engine refused, with the time of the next attempt.
    pub(crate) refused_rows: Vec<(RowKey, ClockTime)>,
    /// Models for which no place was found, with the time of the next search.
    pub(crate) blocked: Vec<(ModelId, ClockTime)>,
    /// Rows that are marked as fresh, with the end of the slow start.
    pub(crate) ramps: Vec<(ClockTime, RowKey)>,
    pub(crate) store_up: bool,
    pub(crate) acting: bool,
    pub(crate) version: TableVersion,
    /// Models and adapters that cannot be loaded at present, with the retry delay in ms, sorted.
    pub(crate) refused: Vec<(ModelId, u64)>,
    pub(crate) log: DecisionLog,
}

impl<P: PlacementPolicy> PlacementPlanner<P> {
    /// Creates the planner of the leader `own_issuer`, without rows.
    pub fn new(policy: P, own_issuer: OrderIssuer) -> Self {
        let version = TableVersion { epoch: own_issuer.epoch, count: 1 };
        Self {
            policy,
            ledger: ReplicaLedger::new(own_issuer),
            queue: LoadQueue::default(),
            demand: DemandTracker::new(),
            engines: EngineTable::default(),
            sheet: FleetSheet::default(),
            members: Vec::new(),
            usage: Vec::new(),
            waiting: Vec::new(),
            idle: IdleIndex::default(),
            drains: Vec::new(),
            intents: Vec::new(),
            team_starts: TeamStarts::default(),
            refused_rows: Vec::new(),
            blocked: Vec::new(),
            ramps: Vec::new(),
            store_up: true,
            acting: true,
            version,
            refused: Vec::new(),
            log: DecisionLog::default(),
        }
    }

    /// Continues after an earlier planner of the same epoch, so that order ids and table versions do not
    /// repeat.
    #[must_use]
    pub fn with_restart(mut self, restarts: u64, last_count: u64) -> Self {
        let issuer = self.ledger.issuer().clone();
        let prefix = format!("{}:{}:{restarts}", issuer.incarnation, issuer.epoch);
        self.ledger = ReplicaLedger::new(issuer).with_order_prefix(prefix);
        self.version.count = last_count + 1;
        self
    }

    /// The ledger.
    pub const fn ledger(&self) -> &ReplicaLedger {
        &self.ledger
    }

    /// The queue of loads.
    pub const fn queue(&self) -> &LoadQueue {
        &self.queue
    }

    /// The demand of all routers.
    pub const fn demand(&self) -> &DemandTracker {
        &self.demand
    }

    /// The decision log.
    pub const fn log(&mut self) -> &mut DecisionLog {
        &mut self.log
    }

    /// The version of the current placement table.
    pub const fn version(&self) -> TableVersion {
        self.version
    }

    /// Adopts the ledger rows that earlier leaders wrote. Must be called once, after the sheet is set.
    pub fn adopt(&mut self, rows: Vec<LedgerRow>, now: ClockTime) {
        let fresh: Vec<RowKey> = rows.iter().filter(|row| row.fresh).map(|row| row.key.clone()).collect();
        self.ledger.adopt(rows, now);
        let rows: Vec<LedgerRow> = self.ledger.rows().cloned().collect();
        for row in rows {
            if row.state == ReplicaState::Ordered {
                match row.key.kind {
                    RowKind::Replica => self.queue.adopt(&row.key, row.load_ms, true, now),
                    RowKind::Adapter => self.queue.start_adapter(&row.key),
                }
                self.log.append(&row.key.name, format!("adopted {} whose order is in doubt", row.key), now);
            }
            self.refresh_idle(&row.key, now);
        }
        for key in fresh {
            // It is not known when the slow start began; restarting it sends the upstream fewer requests,
            // never more.
            self.start_ramp(&key.upstream, now);
            self.schedule_ramp_end(&key, now);
        }
        self.refresh_upstreams();
        self.drain_undeclared(now);
        self.bump_version();
    }

    /// Applies the sheet in force.
    pub fn set_sheet(&mut self, sheet: FleetSheet, now: ClockTime) {
        self.queue.set_limits(sheet.limits);
        self.engines.set_sheet(&sheet);
        self.sheet = sheet;
        let names = self.demand.waiting().iter();
        self.waiting = names.map(|name| (self.base_of(name), name.clone())).collect();
        self.waiting.sort();
        self.refresh_upstreams();
        self.drain_undeclared(now);
        self.bump_version();
    }

    /// Applies the failure domains and upstreams that are out of service (both sorted).
    pub fn set_out_of_service(&mut self, domains: &[DomainId], upstreams: &[UpstreamId], now: ClockTime) {
        self.engines.set_out_of_service(domains, upstreams, now);
        self.refresh_upstreams();
        self.bump_version();
    }

    /// Records that an upstream returned to service at `at`, before this leader took over.
    pub fn record_return_to_service(&mut self, upstream: &UpstreamId, at: ClockTime) {
        let engine = self.engines.get_or_insert(upstream);
        engine.ramp_started_at = engine.ramp_started_at.max(Some(at));
    }

    /// Applies the member list of the fleet, sorted by incarnation.
    pub fn set_members(&mut self, members: &[MemberEntry], now: ClockTime) {
        for left in std::mem::replace(&mut self.members, members.to_vec()) {
            if self.members.binary_search(&left).is_err() {
                for model in self.demand.remove_router(&left.incarnation) {
                    self.refresh_demand(&model, now);
                }
            }
        }
    }

    /// Applies the upstreams on the VM list, each with false if it is leaving, sorted.
    pub fn set_listed(&mut self, listed: &[(UpstreamId, bool)], now: ClockTime) {
        let mut known: Vec<UpstreamId> =
            self.engines.all().iter().map(|engine| engine.upstream.clone()).collect();
        known.extend(self.ledger.upstreams().cloned());
        known.sort();
        known.dedup();
        let mut changed = false;
        let mut gone = Vec::new();
        for upstream in known {
            let found = listed.binary_search_by(|(name, _)| name.cmp(&upstream)).ok();
            let live = found.is_some_and(|at| listed[at].1);
            let engine = self.engines.get_or_insert(&upstream);
            changed |= engine.live != live;
            engine.live = live;
            let Some(absence) = engine.absence.as_mut().filter(|_| found.is_none()) else {
                engine.absence = found.is_none().then(|| ListAbsence::new(now));
                continue;
            };
            absence.record_miss(now);
            if engine.last_contact_at > absence.since() {
                // It has answered since, so the list is wrong.
                engine.absence = Some(ListAbsence::new(now));
            } else if absence.is_gone() {
                gone.push(upstream);
            }
        }
        for upstream in gone {
            self.ledger.upstream_gone(&upstream);
        }
        if changed {
            self.refresh_upstreams();
            self.bump_version();
        }
    }

    /// Sets whether the store accepts writes. Nothing new is decided while it does not.
    pub fn set_store_up(&mut self, up: bool) {
        self.store_up = up;
    }

    /// Sets whether this leader may act. While it may not, steps return neither writes nor orders.
    pub fn set_acting(&mut self, acting: bool) {
        self.acting = acting;
    }

    /// Processes the demand report of a router.
    pub fn demand_report(&mut self, report: DemandReport, now: ClockTime) -> DemandReply {
        for demand in &report.models {
            let active = demand.running > 0 || demand.arrived > 0 || !demand.waiting.is_empty();
            if active {
                self.record_use(&demand.model, demand.arrived, now);
            }
        }
        for model in self.demand.report(report, now) {
            self.refresh_demand(&model, now);
        }
        DemandReply { table: self.version }
    }

    /// Processes a load report that was requested at `requested_at`.
    pub fn upstream_report(
        &mut self,
        upstream: &UpstreamId,
        report: UpstreamReport,
        requested_at: ClockTime,
        now: ClockTime,
    ) {
        let engine = self.engines.get_or_insert(upstream);
        engine.last_contact_at = engine.last_contact_at.max(requested_at);
        let before = self.ledger.boot(upstream).map(str::to_owned);
        let sheet = &self.sheet;
        let accepted = self.ledger.report(upstream, &report, requested_at, |name| kind_of(sheet, name));
        if !accepted {
            return;
        }
        if before.is_some_and(|before| before != report.boot) {
            self.start_ramp(upstream, now);
        }
        let was_silent = self.engines.get(upstream).is_none_or(|engine| engine.reported_at.is_none());
        self.engines.set_report(upstream, report, now);
        if was_silent {
            self.bump_version();
        }
        self.refresh_upstream(upstream);
    }

    /// Processes the outcome of an order that a step returned.
    pub fn order_answered(&mut self, key: &RowKey, order: &OrderId, answer: &OrderAnswer, now: ClockTime) {
        self.ledger.order_answered(key, order, answer, now);
    }

    /// Processes a committed batch.
    pub fn batch_committed(&mut self, number: u64) {
        if self.ledger.batch_committed(number) {
            self.bump_version();
        }
    }

    /// Processes a batch whose commit failed or is in doubt.
    pub fn batch_failed(&mut self, number: u64) {
        self.ledger.batch_failed(number);
    }

    /// Records the issuers that have released their orders or are gone, as given by `finished`.
    pub fn release_issuers(&mut self, now: ClockTime, finished: impl Fn(&OrderIssuer) -> bool) {
        self.ledger.release_issuers(now, finished);
    }

    /// Decisions on a model with their reasons, newest last, and its present demand.
    pub fn explain(&self, model: &ModelId, now: ClockTime) -> Vec<String> {
        let base = self.base_of(model);
        let mut lines: Vec<(ClockTime, String)> =
            self.log.lines(model).map(|line| (line.at, line.text.clone())).collect();
        if &base != model {
            lines.extend(self.log.lines(&base).map(|line| (line.at, format!("{base}: {}", line.text))));
        }
        lines.sort_by_key(|(at, _)| *at);
        let ago = |at: ClockTime| now.since_ms(at) as f64 / 1_000.0;
        let mut text: Vec<String> =
            lines.into_iter().map(|(at, line)| format!("{:.1} s ago: {line}", ago(at))).collect();
        let sum = self.demand.sum(model);
        text.push(format!("now: {} waiting, {} running", sum.waiting(), sum.running));
        text
    }

    /// The model whose replicas serve `name`.
    pub(crate) fn base_of(&self, name: &ModelId) -> ModelId {
        self.sheet.adapter(name).map_or_else(|| name.clone(), |adapter| adapter.model.clone())
    }

    /// Names with waiting requests that replicas of `base` serve.
    pub(crate) fn waiting_names(&self, base: &ModelId) -> Vec<ModelId> {
        let from = self.waiting.partition_point(|(known, _)| known < base);
        let tail = self.waiting.get(from..).unwrap_or_default();
        tail.iter().take_while(|(known, _)| known == base).map(|(_, name)| name.clone()).collect()
    }

    /// Whether requests are waiting that replicas of `base` serve.
    pub(crate) fn has_waiting_requests(&self, base: &ModelId) -> bool {
        let from = self.waiting.partition_point(|(known, _)| known < base);
        self.waiting.get(from).is_some_and(|(known, _)| known == base)
    }

    /// Whether a router has requests in flight on the replica or adapter.
    pub(crate) fn has_running_requests(&self, key: &RowKey) -> bool {
        if self.demand.is_running_on(&key.name, &key.upstream) {
            return true;
        }
        let adapters = self.ledger.rows_at(&key.upstream).filter(|row| row.key.kind == RowKind::Adapter);
        key.kind == RowKind::Replica
            && adapters
                .filter(|row| row.base == key.name)
                .any(|row| self.demand.is_running_on(&row.key.name, &key.upstream))
    }

    /// Updates the state that depends on the demand for a name.
    pub(crate) fn refresh_demand(&mut self, name: &ModelId, now: ClockTime) {
        let base = self.base_of(name);
        let pair = (base.clone(), name.clone());
        match (self.waiting.binary_search(&pair), self.demand.is_waiting(name)) {
            (Err(at), true) => self.waiting.insert(at, pair),
            (Ok(at), false) => {
                self.waiting.remove(at);
            }
            _ => {}
        }
        let mut keys: Vec<RowKey> = Vec::new();
        keys.extend(self.ledger.places(&base).map(|place| RowKey::replica(place.clone(), base.clone())));
        if &base != name {
            keys.extend(self.ledger.places(name).map(|place| RowKey::adapter(place.clone(), name.clone())));
        }
        for key in keys {
            self.refresh_idle(&key, now);
        }
    }

    /// Adds a row to the idle index, or removes it.
    pub(crate) fn refresh_idle(&mut self, key: &RowKey, now: ClockTime) {
        let loaded = self.ledger.state(key) == Some(ReplicaState::Loaded);
        let waits = match key.kind {
            RowKind::Replica => self.has_waiting_requests(&key.name),
            RowKind::Adapter => self.demand.is_waiting(&key.name),
        };
        if !loaded || waits || self.has_running_requests(key) {
            self.idle.clear(key);
            return;
        }
        let until = self.keep_until(key, now);
        if self.idle.until(key).is_none() {
            // Its memory may suffice for a model for which no place was found.
            self.blocked.clear();
        }
        self.idle.set(key, until);
    }

    fn keep_until(&self, key: &RowKey, now: ClockTime) -> ClockTime {
        let confirmed = self.ledger.confirmed_at(key).unwrap_or(now);
        let mut usage =
            self.usage_of(&key.name).cloned().unwrap_or_else(|| ModelUsage::new(key.name.clone()));
        // A replica counts as used when it is adopted or loaded.
        usage.active_at = usage.active_at.max(confirmed);
        if key.kind == RowKind::Adapter {
            return usage.active_at.plus_ms(ADAPTER_IDLE_MS);
        }
        let load_ms = self.sheet.model(&key.name).map_or(0, |row| row.load_ms);
        let memory = self.ledger.row(key).map_or(MemorySize::ZERO, |row| row.memory);
        let (upstream_memory, _) = self.ledger.memory(&key.upstream);
        self.policy.keep_until(&usage, ReplicaCost { load_ms, memory, upstream_memory })
    }

    fn usage_of(&self, name: &ModelId) -> Option<&ModelUsage> {
        let at = self.usage.binary_search_by(|usage| usage.model.cmp(name)).ok()?;
        self.usage.get(at)
    }

    fn record_use(&mut self, name: &ModelId, arrived: u32, now: ClockTime) {
        let base = self.base_of(name);
        let names = if &base == name { vec![base] } else { vec![base, name.clone()] };
        for name in names {
            let at = match self.usage.binary_search_by(|usage| usage.model.cmp(&name)) {
                Ok(at) => at,
                Err(at) => {
                    self.usage.insert(at, ModelUsage::new(name));
                    at
                }
            };
            self.usage[at].add_arrivals(arrived, now);
            self.usage[at].active_at = now;
        }
    }

    /// Drains rows that the sheet in force no longer declares.
    fn drain_undeclared(&mut self, now: ClockTime) {
        if self.sheet.upstreams.is_empty() {
            return;
        }
        let undeclared = |row: &&LedgerRow| match row.key.kind {
            RowKind::Replica => self.sheet.model(&row.key.name).is_none(),
            RowKind::Adapter => self.sheet.adapter(&row.key.name).is_none(),
        };
        let keys: Vec<RowKey> = self.ledger.rows().filter(undeclared).map(|row| row.key.clone()).collect();
        for key in keys {
            self.start_drain(&key, DrainReason::Undeclared, now);
        }
    }

    /// Starts the drain of a row and publishes it in the placement table.
    pub(crate) fn start_drain(&mut self, key: &RowKey, reason: DrainReason, now: ClockTime) -> bool {
        if self.ledger.drain(key).is_err() {
            return false;
        }
        self.idle.clear(key);
        self.bump_version();
        self.drains.push(DrainPlan { key: key.clone(), since: now, version: self.version, reason });
        true
    }

    /// Restarts the slow start of an upstream.
    pub(crate) fn start_ramp(&mut self, upstream: &UpstreamId, now: ClockTime) {
        self.engines.get_or_insert(upstream).ramp_started_at = Some(now);
        self.bump_version();
    }

    /// Schedules the end of the slow start, at which the row is no longer marked as fresh.
    pub(crate) fn schedule_ramp_end(&mut self, key: &RowKey, now: ClockTime) {
        let ramp_ms = self.engines.get(&key.upstream).map_or(0, |engine| engine.ramp_ms);
        self.ramps.push((now.plus_ms(ramp_ms), key.clone()));
    }

    /// Increments the version of the placement table.
    pub(crate) const fn bump_version(&mut self) {
        self.version.count += 1;
    }

    pub(crate) fn refresh_upstream(&mut self, upstream: &UpstreamId) {
        let Some(engine) = self.engines.get(upstream) else {
            return;
        };
        self.ledger.set_upstream(upstream, engine.memory(), engine.checks_fencing);
        let free = self.ledger.free_memory(upstream);
        self.engines.set_free(upstream, free);
    }

    fn refresh_upstreams(&mut self) {
        self.blocked.clear();
        let upstreams: Vec<UpstreamId> =
            self.engines.all().iter().map(|engine| engine.upstream.clone()).collect();
        for upstream in upstreams {
            self.refresh_upstream(&upstream);
        }
    }
}

/// Kind and model of a name in a load report.
fn kind_of(sheet: &FleetSheet, name: &ModelId) -> (RowKind, ModelId) {
    match sheet.adapter(name) {
        Some(adapter) => (RowKind::Adapter, adapter.model.clone()),
        None => (RowKind::Replica, name.clone()),
    }
}
