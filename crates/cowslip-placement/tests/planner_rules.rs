//! Which models the planner loads, on which upstream, and which it unloads.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use cowslip_config::{EngineKind, FleetSheet, LimitRow, ModelRow, UpstreamRow};
use cowslip_messages::{DemandReport, ModelDemand, ReplicaState, TeamDemand};
use cowslip_placement::{
    FirstFitPolicy, KeepWarmPolicy, LoadQueue, OrderAction, OrderAnswer, OrderIssuer, PlacementPlanner,
    PlacementPolicy, PlannerStep, RowKey, UpstreamReport, WeightTier,
};
use cowslip_units::{
    ClockTime, DomainId, FencingToken, IncarnationId, MemorySize, ModelId, TeamId, UpstreamId, VmId,
};
use rstest::rstest;

fn name(text: &str) -> ModelId {
    ModelId::new(text).unwrap()
}

/// A planner whose commits succeed and whose engines answer at once, unless a test answers itself.
struct Bench<P> {
    planner: PlacementPlanner<P>,
    upstreams: Vec<UpstreamId>,
    checkpoints: Vec<(UpstreamId, ModelId, WeightTier)>,
    now: u64,
    sequence: u64,
    engine_sequence: u64,
}

impl<P: PlacementPolicy> Bench<P> {
    /// Upstreams of 100 MiB in two failure domains, and models `a` to `h` of 60 MiB that load in 1 s.
    fn new(policy: P, upstreams: usize, limits: LimitRow) -> Self {
        let vm = VmId::new("vm").unwrap();
        let incarnation = IncarnationId::new("vm:1").unwrap();
        let own_issuer = OrderIssuer { vm, incarnation, epoch: FencingToken::new(1) };
        let names: Vec<UpstreamId> =
            (0..upstreams).map(|at| UpstreamId::new(&format!("u{at:04}")).unwrap()).collect();
        let row = |(at, upstream): (usize, &UpstreamId)| UpstreamRow {
            upstream: upstream.clone(),
            domain: DomainId::new(if at % 2 == 0 { "even" } else { "odd" }).unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            engine: EngineKind::Model { checks_fencing: true },
            memory: MemorySize::new(100),
            slots: 4,
            fresh_slots: 1,
            ramp_ms: 1_000,
        };
        let model = |text: &str| ModelRow {
            model: name(text),
            weights: MemorySize::new(50),
            kv_per_slot: MemorySize::new(5),
            kv_slots: 2,
            max_replicas: 2,
            load_ms: 1_000,
        };
        let sheet = FleetSheet {
            upstreams: names.iter().enumerate().map(row).collect(),
            models: ["a", "b", "c", "d", "e", "f", "g", "h"].map(model).to_vec(),
            limits,
            ..FleetSheet::default()
        };
        let mut planner = PlacementPlanner::new(policy, own_issuer);
        planner.set_sheet(sheet, ClockTime::ZERO);
        let listed: Vec<(UpstreamId, bool)> = names.iter().map(|upstream| (upstream.clone(), true)).collect();
        planner.set_listed(&listed, ClockTime::ZERO);
        let (sequence, engine_sequence) = (0, 0);
        Self { planner, upstreams: names, checkpoints: Vec::new(), now: 1_000, sequence, engine_sequence }
    }

    fn time(&self) -> ClockTime {
        ClockTime::new(self.now)
    }

    fn report_engines(&mut self) {
        for upstream in self.upstreams.clone() {
            let rows = self.planner.ledger().rows_at(&upstream);
            let held = rows.filter(|row| row.state != ReplicaState::Ordered);
            let mut checkpoints: Vec<(ModelId, WeightTier)> = Vec::new();
            for (place, model, tier) in &self.checkpoints {
                if *place == upstream {
                    checkpoints.push((model.clone(), *tier));
                }
            }
            let report = UpstreamReport {
                boot: "b".into(),
                sequence: self.engine_sequence,
                loaded: held.map(|row| (row.key.name.clone(), row.memory)).collect(),
                memory: MemorySize::new(100),
                checkpoints,
                ..UpstreamReport::default()
            };
            self.planner.upstream_report(&upstream, report, self.time(), self.time());
        }
    }

    /// Reports waiting requests: model, team, number of urgent and batch requests, age in ms.
    fn demand(&mut self, waiting: &[(&str, &str, u32, u32, u64)]) {
        self.demand_running(waiting, &[]);
    }

    fn demand_running(&mut self, waiting: &[(&str, &str, u32, u32, u64)], running: &[(&str, &UpstreamId)]) {
        self.sequence += 1;
        let blank = |model: &str| ModelDemand {
            model: name(model),
            waiting: vec![],
            running: 0,
            arrived: 0,
            running_on: vec![],
        };
        let mut models: Vec<ModelDemand> = Vec::new();
        for (model, team, urgent, batch, oldest_ms) in waiting {
            let team = TeamDemand {
                team: Some(TeamId::new(team).unwrap()),
                urgent: *urgent,
                batch: *batch,
                slack_ms: Some(60_000),
                oldest_ms: *oldest_ms,
            };
            models.push(ModelDemand { waiting: vec![team], arrived: 1, ..blank(model) });
        }
        for (model, upstream) in running {
            models.push(ModelDemand { running: 1, running_on: vec![(*upstream).clone()], ..blank(model) });
        }
        let report = DemandReport {
            incarnation: IncarnationId::new("router:1").unwrap(),
            sequence: self.sequence,
            table: self.planner.version(),
            models,
        };
        self.planner.demand_report(report, self.time());
    }

    /// Runs a step and commits its batch.
    fn step(&mut self, millis: u64) -> PlannerStep {
        self.now += millis;
        self.report_engines();
        let step = self.planner.step(self.time());
        if let Some(batch) = &step.batch {
            self.planner.batch_committed(batch.number);
        }
        step
    }

    /// Steps until there are orders, and returns them as "load a" or "unload a".
    fn orders(&mut self) -> Vec<String> {
        let mut texts = Vec::new();
        for _ in 0..3 {
            for order in self.step(10).orders {
                let kind = if order.action == OrderAction::Unload { "unload" } else { "load" };
                texts.push(format!("{kind} {}", order.key.name));
            }
        }
        texts
    }

    /// Steps for `millis` and answers every order with success.
    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            for order in self.step(50).orders {
                self.engine_sequence += 1;
                let answer = OrderAnswer::Done { sequence: self.engine_sequence };
                self.planner.order_answered(&order.key, &order.order, &answer, ClockTime::new(self.now));
            }
        }
    }

    fn places(&self, model: &str) -> Vec<UpstreamId> {
        self.planner.ledger().places(&name(model)).cloned().collect()
    }

    fn state(&self, model: &str) -> Option<ReplicaState> {
        let upstream = self.places(model).first()?.clone();
        self.planner.ledger().state(&RowKey::replica(upstream, name(model)))
    }
}

fn one_at_a_time() -> LimitRow {
    LimitRow { loads_at_once: 1, ..LimitRow::default() }
}

/// Guards against urgent requests that wait behind batch requests, against one team that takes every load
/// start, and against a baseline policy that reorders loads.
#[rstest]
#[case::urgent_first(&[("a", "t1", 0, 1, 900), ("b", "t1", 1, 0, 10)], "load b")]
#[case::old_batch_request(&[("a", "t1", 0, 1, 61_000), ("b", "t1", 1, 0, 10)], "load a")]
#[case::fair_between_teams(&[("a", "t1", 1, 0, 900), ("b", "t1", 1, 0, 800), ("c", "t2", 1, 0, 10)], "load a, load c")]
fn load_order(#[case] waiting: &[(&str, &str, u32, u32, u64)], #[case] expected: &str) {
    let mut bench = Bench::new(KeepWarmPolicy::new(), 4, one_at_a_time());
    bench.now = 70_000;
    bench.demand(waiting);
    let mut orders = Vec::new();
    for _ in 0..expected.split(", ").count() {
        for order in [bench.step(10).orders, bench.step(10).orders].concat() {
            orders.push(format!("load {}", order.key.name));
            bench.engine_sequence += 1;
            let answer = OrderAnswer::Done { sequence: bench.engine_sequence };
            bench.planner.order_answered(&order.key, &order.order, &answer, ClockTime::new(bench.now));
        }
    }
    assert_eq!(orders.join(", "), expected);
    let mut baseline = Bench::new(FirstFitPolicy::new(), 4, one_at_a_time());
    baseline.now = 70_000;
    baseline.demand(waiting);
    assert_eq!(baseline.orders(), ["load a"], "first come, first served");
}

/// Guards against loads without waiting callers.
#[test]
fn no_load_after_the_callers_left() {
    let mut bench = Bench::new(KeepWarmPolicy::new(), 1, LimitRow::default());
    bench.demand(&[("a", "t", 1, 0, 10)]);
    let step = bench.step(10);
    assert!(step.batch.is_some() && step.orders.is_empty());
    bench.demand(&[]);
    assert_eq!(bench.orders(), [""; 0]);
    assert_eq!(bench.state("a"), None);
}

/// Guards against a load on an upstream out of service, and against a place that is ready later than another
/// one.
#[rstest]
#[case::near_checkpoint(&[], &[(2, WeightTier::Disk)], 2)]
#[case::nearer_checkpoint(&[], &[(2, WeightTier::Disk), (1, WeightTier::Memory)], 1)]
#[case::near_but_out(&[2], &[(2, WeightTier::Memory), (1, WeightTier::Disk)], 1)]
fn earliest_place_in_service_is_chosen(
    #[case] out: &[usize],
    #[case] checkpoints: &[(usize, WeightTier)],
    #[case] expected: usize,
) {
    let mut bench = Bench::new(KeepWarmPolicy::new(), 4, LimitRow::default());
    for (at, tier) in checkpoints {
        bench.checkpoints.push((bench.upstreams[*at].clone(), name("a"), *tier));
    }
    let out: Vec<UpstreamId> = out.iter().map(|at| bench.upstreams[*at].clone()).collect();
    bench.planner.set_out_of_service(&[], &out, bench.time());
    bench.demand(&[("a", "t", 1, 0, 10)]);
    bench.run(100);
    assert_eq!(bench.places("a"), [bench.upstreams[expected].clone()]);
}

/// Guards against loads in a failure domain that is out of service, or on an upstream that is leaving.
#[test]
fn models_without_upstream_in_service_are_refused() {
    let mut bench = Bench::new(KeepWarmPolicy::new(), 2, LimitRow::default());
    bench.planner.set_out_of_service(&[DomainId::new("even").unwrap()], &[], bench.time());
    bench
        .planner
        .set_listed(&[(bench.upstreams[0].clone(), true), (bench.upstreams[1].clone(), false)], bench.time());
    bench.demand(&[("a", "t", 1, 0, 10)]);
    assert_eq!(bench.orders(), [""; 0]);
    assert_eq!(bench.planner.table(bench.time()).refused[0].0, name("a"));
}

/// Guards against a second replica for a queue that one replica clears sooner, and against two replicas in
/// one failure domain.
#[rstest]
#[case::short_queue(1, 5_000, 1)]
#[case::recent_queue(8, 100, 1)]
#[case::long_queue(8, 5_000, 2)]
fn second_replica_needs_a_queue(#[case] waiting: u32, #[case] oldest_ms: u64, #[case] replicas: usize) {
    let mut bench = Bench::new(KeepWarmPolicy::new(), 4, LimitRow::default());
    bench.now = 10_000;
    bench.demand(&[("a", "t", 1, 0, 10)]);
    bench.run(200);
    bench.demand(&[("a", "t", waiting, 0, oldest_ms)]);
    bench.run(200);
    let places = bench.places("a");
    assert_eq!(places.len(), replicas);
    let domain =
        |upstream: &UpstreamId| bench.upstreams.iter().position(|known| known == upstream).unwrap() % 2;
    assert!(replicas == 1 || domain(&places[0]) != domain(&places[1]), "{places:?}");
}

/// Guards against an unload while requests are running or before every router has the table, and against a
/// model that is unloaded again before its callers were served.
#[test]
fn memory_is_freed_by_draining_idle_replicas() {
    let mut bench = Bench::new(KeepWarmPolicy::new(), 1, LimitRow::default());
    bench.demand(&[("a", "t", 1, 0, 10)]);
    bench.run(100);
    assert_eq!(bench.state("a"), Some(ReplicaState::Loaded));
    bench.demand(&[("a", "t", 1, 0, 10), ("b", "t", 1, 0, 10)]);
    bench.run(1_500);
    assert_eq!(bench.state("a"), Some(ReplicaState::Loaded), "its callers still wait");
    let place = bench.upstreams[0].clone();
    for _ in 0..6 {
        bench.demand_running(&[("b", "t", 1, 0, 10)], &[("a", &place)]);
        bench.run(1_000);
    }
    assert_eq!(bench.state("a"), Some(ReplicaState::Loaded), "a request runs");
    bench.demand(&[("b", "t", 1, 0, 10)]);
    bench.step(10);
    assert_eq!(bench.state("a"), Some(ReplicaState::Draining));
    assert_eq!(bench.orders(), [""; 0], "the router's table does not show the drain");
    bench.demand(&[("b", "t", 1, 0, 10)]);
    bench.run(500);
    assert_eq!((bench.state("a"), bench.state("b")), (None, Some(ReplicaState::Loaded)));
}

/// Guards against starvation: constant traffic for one model must not exclude another one for ever.
#[test]
fn busy_replica_is_preempted() {
    let mut bench = Bench::new(KeepWarmPolicy::new(), 1, LimitRow::default());
    bench.demand(&[("a", "t", 1, 0, 10)]);
    bench.run(100);
    let place = bench.upstreams[0].clone();
    let mut waited = 0;
    while bench.state("b") != Some(ReplicaState::Loaded) {
        waited += 500;
        assert!(waited <= 45_000, "{:#?}", bench.planner.explain(&name("b"), bench.time()));
        let running = [("a", &place)];
        let busy = bench.state("a") == Some(ReplicaState::Loaded);
        bench.demand_running(&[("b", "t", 1, 0, waited)], if busy { &running } else { &[] });
        bench.run(500);
    }
}

/// Guards against idle replicas that are kept for ever, or unloaded although they are used often.
#[test]
fn keep_warm_follows_reuse() {
    let mut idle_ms = Vec::new();
    for uses in [1, 20] {
        let mut bench = Bench::new(KeepWarmPolicy::new(), 1, LimitRow::default());
        for _ in 0..uses {
            bench.demand(&[("a", "t", 1, 0, 10)]);
            bench.run(100);
        }
        let since = bench.now;
        while bench.state("a").is_some() {
            bench.demand(&[]);
            bench.run(1_000);
            assert!(bench.now - since < 3_700_000, "never unloaded");
        }
        idle_ms.push(bench.now - since);
    }
    assert!(idle_ms[1] > 2 * idle_ms[0], "{idle_ms:?}");
}

/// Guards against load starts beyond the limits of the weight store, and against waits that are estimated too
/// short.
#[rstest]
#[case::first(0, 0)]
#[case::all_slots_taken(4, 1_000)]
#[case::second_round(8, 2_000)]
fn load_queue_estimates(#[case] ahead: usize, #[case] expected_ms: u64) {
    let mut queue = LoadQueue::new(LimitRow { loads_per_10s: 25, loads_at_once: 4, adapters_in_transit: 2 });
    assert_eq!(queue.wait_ms(ahead, 1_000, ClockTime::new(1)), expected_ms);
    let key = |at: usize| RowKey::replica(UpstreamId::new("u").unwrap(), name(&format!("m{at}")));
    for at in 0..4 {
        assert!(queue.can_start(ClockTime::new(1)));
        queue.start(&key(at), 1_000, true, ClockTime::new(1));
    }
    assert!(!queue.can_start(ClockTime::new(1)), "four at once");
    for at in 0..4 {
        queue.loaded(&key(at), ClockTime::new(4_001));
    }
    assert!(queue.store_load_ms(1_000) > 2_000, "the store is slow");
    for at in 4..25 {
        queue.start(&key(at), 1, true, ClockTime::new(5_000));
        queue.finish(&key(at));
    }
    assert!(!queue.can_start(ClockTime::new(9_000)), "25 starts in 10 s");
    assert!(queue.can_start(ClockTime::new(10_001)));
}

/// Guards against a step whose cost grows with the number of upstreams; the target fleet has 6,300.
#[test]
fn step_cost_is_bounded() {
    let mut bench =
        Bench::new(KeepWarmPolicy::new(), 6_300, LimitRow { loads_at_once: 50, ..LimitRow::default() });
    bench.report_engines();
    bench.demand(&["a", "b", "c", "d", "e", "f", "g", "h"].map(|model| (model, "t", 1, 0, 10)));
    let started = std::time::Instant::now();
    let step = bench.planner.step(bench.time());
    let took_ms = started.elapsed().as_millis();
    assert_eq!(step.batch.unwrap().puts.len(), 8);
    // Takes 0.8 to 1.9 ms in a debug build; the limit allows for a busy machine.
    assert!(took_ms < 100, "one step took {took_ms} ms");
}
