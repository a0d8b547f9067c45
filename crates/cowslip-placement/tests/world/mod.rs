//! A simulated fleet in virtual time: engines whose messages are lost, delayed, repeated and reordered,
//! leaders that pause, die and are replaced, a table service that loses answers, and routers whose callers
//! arrive and leave.
//!
//! The checker compares what the engines actually hold with the rows in the table service.

#![allow(clippy::unwrap_used)]

mod fake_engine;

use std::collections::BTreeMap;

use cowslip_config::{AdapterRow, DomainRow, EngineKind, FleetSheet, LimitRow, ModelRow, UpstreamRow};
use cowslip_messages::{
    DemandReport, MemberEntry, ModelDemand, PlacementTable, ReplicaState, TableVersion, TeamDemand,
};
use cowslip_placement::{
    EngineOrder, KeepWarmPolicy, LedgerBatch, LedgerRow, OrderAction, OrderAnswer, OrderIssuer,
    PlacementPlanner, RowKey, UpstreamReport,
};
use cowslip_units::{
    ClockTime, DomainId, FencingToken, IncarnationId, MemorySize, ModelId, OrderId, TeamId, UpstreamId, VmId,
    drain_violations,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use fake_engine::FakeEngine;

const TICK_MS: u64 = 20;
/// A load may start up to this long after its last caller left: time-out of a lost router plus the delay of
/// its last report.
const MAX_CALLER_ABSENCE_MS: u64 = 2_600;

/// How the simulated leader differs from the real one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Variant {
    /// The real leader.
    Unmodified,
    /// Frees memory as soon as the unload is ordered.
    FreesOnOrder,
    /// Drops orders in doubt when it takes over.
    DropsOrdersOnTakeover,
    /// Treats every report as newer than all orders.
    IgnoresReportSequence,
}

#[derive(Clone, Debug)]
enum Message {
    Order { leader: usize, call: u64, order: EngineOrder, boot: Option<u64> },
    Answer { leader: usize, call: u64, answer: OrderAnswer },
    Report { leader: usize, upstream: UpstreamId, report: UpstreamReport, requested_at: u64 },
    Commit { leader: usize, batch: LedgerBatch },
    Committed { leader: usize, number: u64, ok: bool },
}

struct Leader {
    issuer: OrderIssuer,
    planner: PlacementPlanner<KeepWarmPolicy>,
    paused: bool,
    dead: bool,
    /// Calls in flight with row, order and time-out.
    calls: BTreeMap<u64, (RowKey, OrderId, u64)>,
    /// Orders that were about to be sent when the process was paused.
    stuck: Vec<EngineOrder>,
}

#[derive(Clone, Debug)]
struct Caller {
    name: ModelId,
    arrived: u64,
    leaves: u64,
    /// Upstream and end of the request, once dispatched.
    run: Option<(UpstreamId, u64)>,
}

struct Router {
    member: MemberEntry,
    callers: Vec<Caller>,
    table: PlacementTable,
    sequence: u64,
    arrived: BTreeMap<ModelId, u32>,
}

pub(crate) struct World {
    random: ChaCha8Rng,
    variant: Variant,
    pub(crate) now: u64,
    pub(crate) faults_enabled: bool,
    sheet: FleetSheet,
    pub(crate) engines: Vec<FakeEngine>,
    rows: BTreeMap<RowKey, LedgerRow>,
    head: (FencingToken, u64),
    leaders: Vec<Leader>,
    takeover_at: Option<u64>,
    finished: Vec<OrderIssuer>,
    routers: Vec<Router>,
    store_down: bool,
    domains_out: Vec<DomainId>,
    messages: Vec<(u64, u64, Message)>,
    counter: u64,
    waited: BTreeMap<ModelId, u64>,
    seen_orders: Vec<OrderId>,
    /// Load orders that were decided, and whether a caller was waiting at that time.
    decided: BTreeMap<OrderId, bool>,
    pub(crate) faults: Vec<String>,
    pub(crate) loads: u64,
}

fn model(at: usize) -> ModelId {
    ModelId::new(&format!("m{at:02}")).unwrap()
}

fn test_sheet(engines: &[FakeEngine]) -> FleetSheet {
    let domain = |at: usize| DomainRow { domain: DomainId::new(&format!("d{at}")).unwrap() };
    let upstreams = engines.iter().map(|engine| UpstreamRow {
        upstream: engine.upstream.clone(),
        domain: DomainId::new(&engine.domain).unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        engine: EngineKind::Model { checks_fencing: engine.checks_fencing },
        memory: MemorySize::new(engine.size),
        slots: 4,
        fresh_slots: 1,
        ramp_ms: 1_000,
    });
    let models = (0..10).map(|at| ModelRow {
        model: model(at),
        weights: MemorySize::new(25 + 5 * (at as u64 % 5)),
        kv_per_slot: MemorySize::new(2),
        kv_slots: 5,
        max_replicas: 2,
        load_ms: 600 + 200 * (at as u64 % 4),
    });
    let adapters = (0..6).map(|at| AdapterRow {
        adapter: ModelId::new(&format!("a{at}")).unwrap(),
        model: model(at % 3),
        memory: MemorySize::new(6),
        load_ms: 40,
    });
    FleetSheet {
        domains: (0..3).map(domain).collect(),
        upstreams: upstreams.collect(),
        models: models.collect(),
        adapters: adapters.collect(),
        limits: LimitRow { loads_per_10s: 25, loads_at_once: 4, adapters_in_transit: 4 },
        ..FleetSheet::default()
    }
}

impl World {
    pub(crate) fn new(seed: u64, variant: Variant) -> Self {
        drain_violations();
        let engines: Vec<FakeEngine> = (0..5).map(|at| FakeEngine::new(at, 100, at % 2 == 0)).collect();
        let router = |at: usize| Router {
            member: MemberEntry {
                incarnation: IncarnationId::new(&format!("vm{at}:1")).unwrap(),
                vm: VmId::new(&format!("vm{at}")).unwrap(),
                domain: DomainId::new("d0").unwrap(),
                rpc_addr: "127.0.0.1:1".parse().unwrap(),
            },
            callers: Vec::new(),
            table: PlacementTable::default(),
            sequence: 0,
            arrived: BTreeMap::new(),
        };
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            variant,
            now: 1_000,
            faults_enabled: true,
            sheet: test_sheet(&engines),
            engines,
            rows: BTreeMap::new(),
            head: (FencingToken::ZERO, 0),
            leaders: Vec::new(),
            takeover_at: None,
            finished: Vec::new(),
            routers: (0..3).map(router).collect(),
            store_down: false,
            domains_out: Vec::new(),
            messages: Vec::new(),
            counter: 0,
            waited: BTreeMap::new(),
            seen_orders: Vec::new(),
            decided: BTreeMap::new(),
            faults: Vec::new(),
            loads: 0,
        };
        world.take_over();
        world
    }

    fn time(&self) -> ClockTime {
        ClockTime::new(self.now)
    }

    fn chance(&mut self, percent: f64) -> bool {
        self.faults_enabled && self.random.random_range(0.0..100.0) < percent
    }

    fn send(&mut self, delay: u64, message: Message) {
        self.counter += 1;
        self.messages.push((self.now + delay, self.counter, message));
    }

    /// A random delay: mostly short, sometimes long enough to be overtaken by later messages.
    fn delay(&mut self) -> u64 {
        if self.chance(8.0) { self.random.random_range(200..2_500) } else { self.random.random_range(1..20) }
    }

    fn take_over(&mut self) {
        let epoch = FencingToken::new(self.leaders.len() as u64 + 1);
        let vm = VmId::new(&format!("vm{}", self.leaders.len() % 3)).unwrap();
        let incarnation = IncarnationId::new(&format!("{vm}:{epoch}")).unwrap();
        let issuer = OrderIssuer { vm, incarnation, epoch };
        self.head = (epoch, 0);
        let mut rows: Vec<LedgerRow> = self.rows.values().cloned().collect();
        if self.variant == Variant::DropsOrdersOnTakeover {
            rows.retain(|row| row.state != ReplicaState::Ordered);
            self.rows.retain(|_, row| row.state != ReplicaState::Ordered);
        }
        let mut planner = PlacementPlanner::new(KeepWarmPolicy::new(), issuer.clone());
        planner.set_sheet(self.sheet.clone(), self.time());
        let members: Vec<MemberEntry> = self.routers.iter().map(|router| router.member.clone()).collect();
        planner.set_members(&members, self.time());
        planner.set_out_of_service(&self.domains_out, &[], self.time());
        planner.adopt(rows, self.time());
        let leader =
            Leader { issuer, planner, paused: false, dead: false, calls: BTreeMap::new(), stuck: Vec::new() };
        self.leaders.push(leader);
        self.takeover_at = None;
    }

    /// Adds a caller of a model or adapter at one router, which leaves after `wait_ms`.
    pub(crate) fn call(&mut self, router: usize, name: &ModelId, wait_ms: u64) {
        let caller = Caller { name: name.clone(), arrived: self.now, leaves: self.now + wait_ms, run: None };
        let router = &mut self.routers[router];
        *router.arrived.entry(name.clone()).or_default() += 1;
        router.callers.push(caller);
    }

    pub(crate) fn names(&self) -> Vec<ModelId> {
        let models = self.sheet.models.iter().map(|row| row.model.clone());
        models.chain(self.sheet.adapters.iter().map(|row| row.adapter.clone())).collect()
    }

    /// Whether an engine that is not gone holds the model or adapter.
    pub(crate) fn is_served(&self, name: &ModelId) -> bool {
        self.engines.iter().any(|engine| !engine.gone && engine.loaded.contains_key(name))
    }

    pub(crate) fn is_refused(&self, name: &ModelId) -> bool {
        self.routers.iter().any(|router| router.table.refused.iter().any(|(refused, _)| refused == name))
    }

    pub(crate) fn explain(&self, name: &ModelId) -> Vec<String> {
        self.leaders.last().map_or_else(Vec::new, |leader| leader.planner.explain(name, self.time()))
    }

    /// Ends all faults; paused processes resume and failed services recover.
    pub(crate) fn end_faults(&mut self) {
        self.faults_enabled = false;
        self.store_down = false;
        self.domains_out.clear();
        for engine in &mut self.engines {
            engine.lag_ms = engine.lag_ms.min(200);
        }
        for at in 0..self.leaders.len() {
            self.resume(at);
        }
        if self.takeover_at.is_some() {
            self.take_over();
        }
        let now = self.time();
        for leader in &mut self.leaders {
            leader.planner.set_out_of_service(&[], &[], now);
        }
    }

    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end && self.faults.is_empty() {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        if self.faults_enabled {
            self.inject_faults();
        }
        self.deliver();
        self.advance_engines();
        self.run_routers();
        self.step_leaders();
        self.check();
    }

    fn inject_faults(&mut self) {
        let at = self.random.random_range(0..self.engines.len());
        if self.chance(0.15) {
            self.restart_engine(at);
        }
        if self.chance(0.3) {
            let names: Vec<ModelId> = self.engines[at].loaded.keys().cloned().collect();
            if !names.is_empty() {
                let name = names[self.random.random_range(0..names.len())].clone();
                let now = self.now;
                self.engines[at].drop_name(&name, now);
            }
        }
        if self.chance(1.0) {
            self.engines[at].lag_ms = self.random.random_range(0..1_500);
        }
        if self.chance(0.03) && self.engines.iter().filter(|engine| !engine.gone).count() > 3 {
            let now = self.now;
            self.engines[at].restart(now);
            self.engines[at].gone = true;
        }
        let last = self.leaders.len() - 1;
        if self.takeover_at.is_none() && self.chance(0.3) {
            let dies = self.random.random_bool(0.3);
            self.leaders[last].paused = !dies;
            self.leaders[last].dead = dies;
            // A leader keeps its role after a pause that is shorter than the lease.
            let short = !dies && self.random.random_bool(0.3);
            self.takeover_at = Some(self.now + if short { u64::MAX / 2 } else { 3_600 });
        }
        for at in 0..self.leaders.len() {
            if self.leaders[at].paused && self.chance(0.7) {
                self.resume(at);
            }
        }
        if self.takeover_at.is_some_and(|at| at <= self.now) {
            self.take_over();
        }
        if self.chance(if self.store_down { 2.0 } else { 0.15 }) {
            self.store_down = !self.store_down;
        }
        if self.chance(0.2) {
            let domain = DomainId::new(&format!("d{}", self.random.random_range(0..3))).unwrap();
            self.domains_out = if self.domains_out.is_empty() { vec![domain] } else { Vec::new() };
        }
        if self.random.random_range(0..100) < 5 {
            let names = self.names();
            let name = names[self.random.random_range(0..names.len())].clone();
            let router = self.random.random_range(0..self.routers.len());
            let wait_ms = self.random.random_range(300..12_000);
            self.call(router, &name, wait_ms);
        }
    }

    fn restart_engine(&mut self, at: usize) {
        let (now, upstream) = (self.now, self.engines[at].upstream.clone());
        self.engines[at].restart(now);
        let mut broken = Vec::new();
        for (leader, process) in self.leaders.iter().enumerate() {
            let calls = process.calls.iter().filter(|(_, (key, _, _))| key.upstream == upstream);
            broken.extend(calls.map(|(call, _)| (leader, *call)));
        }
        for (leader, call) in broken {
            self.send(5, Message::Answer { leader, call, answer: OrderAnswer::InDoubt });
        }
    }

    /// Resumes a paused process: the orders it was about to send are sent, and it stops if it was replaced.
    fn resume(&mut self, at: usize) {
        if !self.leaders[at].paused {
            return;
        }
        self.leaders[at].paused = false;
        for order in std::mem::take(&mut self.leaders[at].stuck) {
            self.counter += 1;
            let call = self.counter;
            // The connection is made now, so the order reaches the engine's present boot.
            let boot = self.engines.iter().find(|engine| engine.upstream == order.key.upstream);
            let boot = boot.map(|engine| engine.boot);
            self.send(1, Message::Order { leader: at, call, order, boot });
        }
        if at + 1 == self.leaders.len() {
            if self.takeover_at.is_some_and(|takeover| takeover > self.now + 3_600) {
                self.takeover_at = None;
            } else {
                self.leaders[at].dead = true;
            }
        } else {
            self.leaders[at].dead = true;
        }
    }

    fn deliver(&mut self) {
        self.messages.sort_by_key(|(at, number, _)| (*at, *number));
        let due = self.messages.partition_point(|(at, _, _)| *at <= self.now);
        for (_, _, message) in self.messages.drain(..due).collect::<Vec<_>>() {
            self.receive(message);
        }
    }

    fn receive(&mut self, message: Message) {
        let now = self.time();
        match message {
            Message::Order { leader, call, order, boot } => self.order_arrives(leader, call, &order, boot),
            Message::Answer { leader, call, answer } => {
                let process = &mut self.leaders[leader];
                if process.paused {
                    self.send(100, Message::Answer { leader, call, answer });
                } else if let Some((key, order, _)) = process.calls.remove(&call) {
                    process.planner.order_answered(&key, &order, &answer, now);
                }
            }
            Message::Report { leader, upstream, mut report, requested_at } => {
                if self.variant == Variant::IgnoresReportSequence {
                    report.sequence = u64::MAX;
                }
                let process = &mut self.leaders[leader];
                if !process.paused && !process.dead {
                    process.planner.upstream_report(&upstream, report, ClockTime::new(requested_at), now);
                }
            }
            Message::Commit { leader, batch } => self.commit_arrives(leader, &batch),
            Message::Committed { leader, number, ok } => {
                let process = &mut self.leaders[leader];
                if process.paused {
                    self.send(100, Message::Committed { leader, number, ok });
                } else if ok {
                    process.planner.batch_committed(number);
                } else {
                    process.planner.batch_failed(number);
                }
            }
        }
    }

    fn order_arrives(&mut self, leader: usize, call: u64, order: &EngineOrder, boot: Option<u64>) {
        let refuses = self.chance(4.0);
        let Some(engine) = self.engines.iter_mut().find(|engine| engine.upstream == order.key.upstream)
        else {
            return;
        };
        if engine.gone || boot.is_some_and(|boot| boot != engine.boot) {
            return;
        }
        if let Some(answer) = engine.order(order, refuses, self.now) {
            self.answer(leader, call, answer);
        }
        self.check();
    }

    fn answer(&mut self, leader: usize, call: u64, answer: OrderAnswer) {
        if self.chance(12.0) {
            return;
        }
        let delay = self.delay();
        self.send(delay, Message::Answer { leader, call, answer });
    }

    fn commit_arrives(&mut self, leader: usize, batch: &LedgerBatch) {
        let epoch = self.leaders[leader].issuer.epoch;
        let repeated = self.head == (epoch, batch.number);
        let next = self.head == (epoch, batch.number - 1);
        let down = self.store_down;
        if !down && next {
            for row in &batch.puts {
                self.rows.insert(row.key.clone(), row.clone());
            }
            for key in &batch.deletes {
                self.rows.remove(key);
            }
            self.head = (epoch, batch.number);
        }
        // An answer lost after the write took effect looks like a failure; the retried batch then finds its
        // own head.
        let ok = !down && (next || repeated) && !self.chance(10.0);
        let delay = self.delay();
        self.send(delay, Message::Committed { leader, number: batch.number, ok });
        self.check();
    }

    fn advance_engines(&mut self) {
        for at in 0..self.engines.len() {
            let (now, upstream) = (self.now, self.engines[at].upstream.clone());
            let running = self.routers.iter().flat_map(|router| &router.callers);
            let here = |caller: &&Caller| caller.run.as_ref().is_some_and(|(place, _)| *place == upstream);
            self.engines[at].running = running.filter(here).count() as u32;
            for (order, answer) in self.engines[at].advance(now) {
                let mut calls = Vec::new();
                for (leader, process) in self.leaders.iter().enumerate() {
                    let waiting = process.calls.iter().filter(|(_, (_, sent, _))| *sent == order);
                    calls.extend(waiting.map(|(call, _)| (leader, *call)));
                }
                for (leader, call) in calls {
                    self.answer(leader, call, answer.clone());
                }
            }
        }
    }

    fn run_routers(&mut self) {
        let now = self.now;
        let acting = self.leaders.iter().rposition(|leader| !leader.paused && !leader.dead);
        for at in 0..self.routers.len() {
            let router = &mut self.routers[at];
            for caller in &mut router.callers {
                if caller.run.is_some() {
                    continue;
                }
                self.waited.insert(caller.name.clone(), now);
                let serves = |upstream: &UpstreamId, state: ReplicaState| {
                    let holds = |engine: &FakeEngine| {
                        engine.upstream == *upstream
                            && !engine.gone
                            && engine.loaded.contains_key(&caller.name)
                    };
                    state == ReplicaState::Loaded && self.engines.iter().any(holds)
                };
                let table = &router.table;
                let replicas =
                    table.replicas.iter().map(|place| (&place.model, &place.upstream, place.state));
                let adapters =
                    table.adapters.iter().map(|place| (&place.adapter, &place.upstream, place.state));
                let place = replicas
                    .chain(adapters)
                    .find(|(name, upstream, state)| **name == caller.name && serves(upstream, *state));
                if let Some((_, upstream, _)) = place {
                    caller.run = Some((upstream.clone(), now + 400));
                }
            }
            router.callers.retain(|caller| match &caller.run {
                Some((_, end)) => *end > now,
                None => caller.leaves > now,
            });
            if !now.is_multiple_of(100) {
                continue;
            }
            let Some(leader) = acting else {
                continue;
            };
            let planner = &mut self.leaders[leader].planner;
            if planner.version() > router.table.version {
                router.table = planner.table(ClockTime::new(now));
            }
            router.sequence += 1;
            planner.demand_report(router.report(now), ClockTime::new(now));
        }
    }

    fn step_leaders(&mut self) {
        let now = self.time();
        let listed: Vec<(UpstreamId, bool)> = self
            .engines
            .iter()
            .filter(|engine| !engine.gone)
            .map(|engine| (engine.upstream.clone(), true))
            .collect();
        for leader in 0..self.leaders.len() {
            if self.leaders[leader].dead || self.leaders[leader].paused {
                // The process has stopped and its orders have been sent, so they are released.
                if self.leaders[leader].dead && !self.finished.contains(&self.leaders[leader].issuer) {
                    self.finished.push(self.leaders[leader].issuer.clone());
                }
                continue;
            }
            let stale_list = self.chance(10.0);
            let process = &mut self.leaders[leader];
            if self.now.is_multiple_of(1_000) {
                let skip = usize::from(stale_list);
                process.planner.set_listed(listed.get(skip..).unwrap_or_default(), now);
                process.planner.set_out_of_service(&self.domains_out, &[], now);
            }
            process.planner.set_store_up(!self.store_down);
            let finished = &self.finished;
            process.planner.release_issuers(now, |issuer| finished.contains(issuer));
            let late: Vec<u64> = process
                .calls
                .iter()
                .filter(|(_, (_, _, timeout))| *timeout <= self.now)
                .map(|(call, _)| *call)
                .collect();
            for call in late {
                if let Some((key, order, _)) = process.calls.remove(&call) {
                    process.planner.order_answered(&key, &order, &OrderAnswer::InDoubt, now);
                }
            }
            let step = process.planner.step(now);
            if let Some(batch) = step.batch {
                self.record_decisions(&batch);
                let delay = self.delay();
                self.send(delay, Message::Commit { leader, batch });
            }
            for order in step.orders {
                self.send_order(leader, order);
            }
            if self.now.is_multiple_of(260) {
                self.request_reports(leader);
            }
        }
    }

    /// Whether a caller was waiting recently for this name or for another one that the same load serves.
    fn has_recent_caller(&self, name: &ModelId) -> bool {
        let base = self.sheet.base_model(name).map(|row| row.model.clone());
        let waits = |(waited, at): (&ModelId, &u64)| {
            let same = waited == name || self.sheet.base_model(waited).map(|row| &row.model) == base.as_ref();
            same && self.now - at <= MAX_CALLER_ABSENCE_MS
        };
        self.waited.iter().any(waits)
    }

    fn record_decisions(&mut self, batch: &LedgerBatch) {
        for row in &batch.puts {
            if !self.decided.contains_key(&row.order) {
                let waited = self.has_recent_caller(&row.key.name);
                self.decided.insert(row.order.clone(), waited);
            }
        }
    }

    fn send_order(&mut self, leader: usize, order: EngineOrder) {
        let is_load = !matches!(order.action, OrderAction::Unload);
        if is_load && !self.seen_orders.contains(&order.order) {
            self.seen_orders.push(order.order.clone());
            self.loads += 1;
            // An adopted row may have been ordered before, so its order is sent even without waiting callers;
            // a caller must have been waiting when it was decided.
            let own = order.order.as_str().starts_with(self.leaders[leader].issuer.incarnation.as_str());
            let justified = if own {
                self.has_recent_caller(&order.key.name)
            } else {
                self.decided.get(&order.order).copied().unwrap_or(false)
            };
            if !justified {
                self.faults.push(format!("load of {} for abandoned demand", order.key));
            }
        }
        self.counter += 1;
        let call = self.counter;
        let timeout = self.now + 6_000;
        let process = &mut self.leaders[leader];
        process.calls.insert(call, (order.key.clone(), order.order.clone(), timeout));
        if self.variant == Variant::FreesOnOrder && !is_load {
            let now = ClockTime::new(self.now);
            let answer = OrderAnswer::Done { sequence: 0 };
            process.planner.order_answered(&order.key, &order.order, &answer, now);
        }
        if self.chance(3.0) {
            self.send(1, Message::Answer { leader, call, answer: OrderAnswer::NotSent });
            return;
        }
        if self.takeover_at.is_none() && self.chance(3.0) {
            // The process is paused between its last check of the lease and the write to the socket.
            self.leaders[leader].paused = true;
            self.leaders[leader].stuck.push(order);
            self.takeover_at = Some(self.now + 3_600);
            return;
        }
        let Some(engine) = self.engines.iter().find(|engine| engine.upstream == order.key.upstream) else {
            return;
        };
        let boot = Some(engine.boot);
        let copies = if self.chance(10.0) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.chance(10.0) {
                let delay = self.delay();
                self.send(delay, Message::Order { leader, call, order: order.clone(), boot });
            }
        }
    }

    fn request_reports(&mut self, leader: usize) {
        for at in 0..self.engines.len() {
            if self.engines[at].gone || self.chance(15.0) {
                continue;
            }
            let (upstream, report) = (self.engines[at].upstream.clone(), self.engines[at].report(self.now));
            let requested_at = self.now;
            let copies = if self.chance(5.0) { 2 } else { 1 };
            for _ in 0..copies {
                let delay = self.delay();
                let (upstream, report) = (upstream.clone(), report.clone());
                self.send(delay, Message::Report { leader, upstream, report, requested_at });
            }
        }
    }

    /// Checks the invariants against what the engines actually hold.
    fn check(&mut self) {
        for engine in self.engines.iter().filter(|engine| !engine.gone) {
            if engine.used() > engine.size {
                self.faults.push(format!(
                    "{}: {} of {} MiB in use",
                    engine.upstream,
                    engine.used(),
                    engine.size
                ));
            }
            let loading = engine.loading.iter().map(|load| &load.name);
            for name in engine.loaded.keys().chain(loading) {
                if !self.rows.keys().any(|key| key.upstream == engine.upstream && key.name == *name) {
                    self.faults.push(format!("{} holds {name} without a row", engine.upstream));
                }
            }
        }
        let failed = drain_violations()
            .into_iter()
            .map(|violation| format!("assertion {}: {}", violation.invariant, violation.detail));
        self.faults.extend(failed);
    }
}

impl Router {
    fn report(&mut self, now: u64) -> DemandReport {
        let mut models: BTreeMap<ModelId, ModelDemand> = BTreeMap::new();
        for caller in &self.callers {
            let entry = models.entry(caller.name.clone()).or_insert_with(|| ModelDemand {
                model: caller.name.clone(),
                waiting: Vec::new(),
                running: 0,
                arrived: self.arrived.remove(&caller.name).unwrap_or(0),
                running_on: Vec::new(),
            });
            match &caller.run {
                Some((upstream, _)) => {
                    entry.running += 1;
                    entry.running_on.push(upstream.clone());
                }
                None => entry.waiting.push(TeamDemand {
                    team: Some(TeamId::new("team").unwrap()),
                    urgent: 1,
                    batch: 0,
                    slack_ms: Some(caller.leaves.saturating_sub(now)),
                    oldest_ms: now - caller.arrived,
                }),
            }
        }
        let table: TableVersion = self.table.version;
        DemandReport {
            incarnation: self.member.incarnation.clone(),
            sequence: self.sequence,
            table,
            models: models.into_values().collect(),
        }
    }
}
