//! Rare models at hundreds of VMs, in virtual time: requests for models that no engine holds, but whose weights lie on some
//! engines' disks, arrive at many gateways. The leader learns of them from reports, orders loads, and tells the gateways
//! where the models are. The check is what callers get: how soon a request begins to run.
//!
//! The proportions are those of 295 VMs before 320 engines of three places with 1,779 models, 121 such requests a second.

use cowslip_entry::{
    ArrivalLine, DemandLine, EngineAction, EngineOrder, EngineRule, EngineStatus, GatewayReport, LoadPlanner,
    OrderAnswer, PickContext, PlaceLine, PlanStep, RequestNeed, RunningLine, ServiceRule, SlowStartLimit,
    StoreLimit, UpstreamEntry, UpstreamPick, UpstreamRegistry, report_interval_ms, urgent_interval_ms,
};
use cowslip_units::{ClockTime, ModelId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::grant_runs::seeds;
use crate::names::{at, domain, engine_rule, entry, held, model, need, service};

const GATEWAYS: usize = 295;
const ENGINES: usize = 320;
const MODELS: usize = 1_779;
/// Requests in a second.
const PER_S: f64 = 121.0;
/// Time in which requests arrive; the run goes on until the last one is over.
const ARRIVALS_MS: u64 = 6_000;
const STEP_MS: u64 = 4;
/// Time in ms in which a request should begin, as its route says.
const AIM_MS: u64 = 3_000;
/// Time in ms on top of a load from the disk for everything else: from a request to its order in tens of milliseconds, the
/// unload before the load, and from the load's end to the request.
const AROUND_LOAD_MS: u64 = 300;
const PATIENCE_MS: u64 = 12_000;
/// Pause of the leader between two plans.
const PLAN_MS: u64 = 40;
/// Time in ms of a call one way.
const HOP_MS: u64 = 4;
/// Pause in ms between two entries of an engine in the store.
const HEARTBEAT_MS: u64 = 1_200;
/// Age in ms of what an engine says of itself.
const STATUS_AGE_MS: u64 = 200;
const LOAD_MS: u64 = 1_000;
const UNLOAD_MS: u64 = 40;
const RUN_MS: u64 = 400;

/// What the gateways are told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Telling {
    /// Entries, and in each answer what holds, or is going to hold, what the gateway waits for.
    Places,
    /// Entries only, with the usual reports.
    EntriesOnly,
}

struct Engine {
    entry: UpstreamEntry,
    models: Vec<ModelId>,
    orders: u64,
    busy: Option<(EngineAction, u64)>,
    /// Earlier states, for what it says of itself.
    past: Vec<(u64, EngineStatus)>,
    calls: Vec<(ModelId, u64)>,
    beat_at: u64,
}

impl Engine {
    fn new(number: usize, names: &[String], beat_at: u64) -> Self {
        let own = |copy: usize| (number + copy * ENGINES) % MODELS;
        let first: Vec<&str> = (0..3).map(|copy| names[own(copy)].as_str()).collect();
        let mut entry = entry(&format!("e{number:03}"), "s", &first);
        entry.slots = 12;
        // Each model lies on three disks or more.
        let lies = |at: &usize| (0..3).any(|copy| (at + copy * 107) % ENGINES == number);
        entry.on_disk = (0..MODELS).filter(lies).map(|at| model(&names[at])).collect();
        entry.on_disk.extend(first.iter().map(|name| model(name)));
        let models = entry.models.iter().map(|held| held.name.clone()).collect();
        Self { entry, models, orders: 0, busy: None, past: Vec::new(), calls: Vec::new(), beat_at }
    }

    fn step(&mut self, millis: u64) {
        self.calls.retain(|(_, until)| millis < *until);
        if let Some((action, until)) = &self.busy
            && millis >= *until
        {
            match action.clone() {
                EngineAction::Load(name) => {
                    self.models.push(name);
                    self.busy = None;
                }
                EngineAction::Unload(name) if !self.calls.iter().any(|(of, _)| *of == name) => {
                    self.models.retain(|held| *held != name);
                    self.busy = None;
                }
                // An unload waits for the runs of its model.
                _ => {}
            }
        }
        self.past.push((millis, self.status()));
        self.past.retain(|(when, _)| when + STATUS_AGE_MS + 2 * STEP_MS >= millis);
        if millis >= self.beat_at {
            self.beat_at = millis + HEARTBEAT_MS;
            self.entry.models = self.status().models;
            self.entry.version = millis + 2;
        }
    }

    fn status(&self) -> EngineStatus {
        let names: Vec<&str> = self.models.iter().map(|name| name.as_str()).collect();
        EngineStatus {
            models: held(&names),
            pending: Vec::new(),
            busy: self.busy.is_some(),
            orders: self.orders,
            born: self.entry.born,
        }
    }

    fn accept(&mut self, order: &EngineOrder, rule: &EngineRule, millis: u64) -> OrderAnswer {
        if self.busy.is_some() || order.expected_orders != self.orders {
            return OrderAnswer::Conflict;
        }
        let time = match &order.action {
            EngineAction::Load(name) => {
                let size = |name: &ModelId| rule.model(name).map_or(0.0, |rule| rule.size_mb);
                let sum: f64 = self.models.iter().map(size).sum();
                assert!(sum + size(name) <= rule.memory_mb, "{} is overloaded", self.entry.id);
                assert!(self.entry.on_disk.contains(name), "the weight store was asked for {name}");
                LOAD_MS
            }
            _ => UNLOAD_MS,
        };
        self.busy = Some((order.action.clone(), millis + time));
        self.orders += 1;
        OrderAnswer::Started
    }

    /// Begins a request; false when it is refused.
    fn begin(&mut self, name: &ModelId, millis: u64) -> bool {
        let taken = self.models.contains(name) && self.calls.len() < 12;
        if taken {
            self.calls.push((name.clone(), millis + RUN_MS));
        }
        taken
    }
}

/// A request that waits at a gateway, which knows the engines that may come to hold its model.
struct Waiting {
    gateway: usize,
    need: RequestNeed,
    since: u64,
    book: UpstreamRegistry,
    report_at: u64,
    told: Vec<(u64, Vec<PlaceLine>, Vec<ArrivalLine>)>,
    sent: Option<(u64, String)>,
    coming: bool,
}

#[derive(Debug, Default)]
struct RunOutcome {
    waits: Vec<u64>,
    lost: usize,
    refused_sends: usize,
}

impl RunOutcome {
    fn in_aim(&self) -> f64 {
        let in_aim = self.waits.iter().filter(|wait| **wait <= AIM_MS).count();
        in_aim as f64 / (self.waits.len() + self.lost) as f64
    }

    fn part(&self, part: f64) -> u64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        waits[(waits.len() as f64 * part) as usize]
    }
}

struct World {
    rule: EngineRule,
    services: Vec<ServiceRule>,
    engines: Vec<Engine>,
    planner: LoadPlanner,
    waiting: Vec<Waiting>,
    /// Orders and questions on their way, and their answers.
    orders: Vec<(u64, EngineOrder)>,
    answers: Vec<(u64, EngineOrder, OrderAnswer)>,
    asks: Vec<(u64, String)>,
    telling: Telling,
    outcome: RunOutcome,
}

impl World {
    fn new(telling: Telling, random: &mut ChaCha8Rng) -> Self {
        let names: Vec<String> = (0..MODELS).map(|number| format!("m{number:04}")).collect();
        let refs: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut rule = engine_rule(&refs);
        rule.memory_mb = 310.0;
        rule.slots = 12;
        rule.loads_per_s = 110.0;
        let engines =
            (0..ENGINES).map(|number| Engine::new(number, &names, random.random_range(0..HEARTBEAT_MS)));
        Self {
            services: vec![service("s", Some(rule.clone()))],
            rule,
            engines: engines.collect(),
            planner: LoadPlanner::new(StoreLimit { at_once: 8, extra: 3 }, at(0), at(0)),
            waiting: Vec::new(),
            orders: Vec::new(),
            answers: Vec::new(),
            asks: Vec::new(),
            telling,
            outcome: RunOutcome::default(),
        }
    }

    fn engine(&mut self, id: &str) -> &mut Engine {
        let number: usize = id[1..].parse().expect("number");
        &mut self.engines[number]
    }

    fn arrive(&mut self, name: &str, gateway: usize, millis: u64) {
        let need = need("s", Some(name));
        let wanted = model(name);
        let mut book = UpstreamRegistry::new();
        for engine in &self.engines {
            if engine.entry.on_disk.contains(&wanted) {
                book.put(engine.entry.clone(), at(millis));
            }
        }
        self.waiting.push(Waiting {
            gateway,
            need,
            since: millis,
            book,
            report_at: millis + HOP_MS,
            told: Vec::new(),
            sent: None,
            coming: false,
        });
    }

    fn carry(&mut self, millis: u64) {
        let due: Vec<EngineOrder> =
            self.orders.extract_if(.., |(when, _)| *when <= millis).map(|(_, order)| order).collect();
        for order in due {
            let rule = self.rule.clone();
            let answer = self.engine(order.upstream.as_str()).accept(&order, &rule, millis);
            self.answers.push((millis + HOP_MS, order, answer));
        }
        let due: Vec<(EngineOrder, OrderAnswer)> = self
            .answers
            .extract_if(.., |(when, ..)| *when <= millis)
            .map(|(_, order, answer)| (order, answer))
            .collect();
        for (order, answer) in due {
            self.planner.answered(&order, answer, &self.rule, at(millis));
        }
        let due: Vec<String> =
            self.asks.extract_if(.., |(when, _)| *when <= millis).map(|(_, id)| id).collect();
        for id in due {
            let engine = self.engine(&id);
            let status = engine.past.first().map(|(_, status)| status.clone());
            let id = engine.entry.id.clone();
            self.planner.status(&id, status, at(millis));
        }
    }

    fn plan(&mut self, millis: u64) {
        self.planner.sync(
            self.engines.iter().map(|engine| &engine.entry),
            |entry| entry.draining,
            at(millis),
        );
        for step in self.planner.step(&self.services, at(millis)) {
            match step {
                PlanStep::QueryStatus(id, _) => self.asks.push((millis + 2 * HOP_MS, id.as_str().to_owned())),
                PlanStep::Order(order) => self.orders.push((millis + HOP_MS, order)),
            }
        }
    }

    /// Reports of the gateways whose requests wait, and what they hear.
    fn report(&mut self, millis: u64) {
        let now = at(millis);
        for number in 0..self.waiting.len() {
            let waiting = &self.waiting[number];
            if millis < waiting.report_at || waiting.sent.is_some() {
                continue;
            }
            let wanted = waiting.need.model.clone().expect("model").model;
            let line = DemandLine {
                model: wanted.clone(),
                adapter: None,
                arrived: u32::from(waiting.told.is_empty()),
                waiting: 1,
                oldest_ms: millis - waiting.since,
                priority: 1,
            };
            let calls = self.engines.iter().enumerate().filter(|(of, _)| of % GATEWAYS == waiting.gateway);
            let running = calls.flat_map(|(_, engine)| {
                engine.calls.iter().map(|(name, _)| RunningLine {
                    upstream: engine.entry.id.clone(),
                    model: Some(name.clone()),
                    adapter: None,
                    count: 1,
                })
            });
            let report = GatewayReport {
                gateway: format!("g{}", waiting.gateway).into(),
                demand: vec![line],
                running: running.collect(),
                ..GatewayReport::default()
            };
            let mut arrivals = self.planner.arrivals(&self.services, now);
            arrivals.retain(|line| line.model == wanted);
            let places = self.planner.places(&format!("g{}", waiting.gateway), &wanted, None, now);
            self.planner.heard(report, now);
            let telling = self.telling;
            let waiting = &mut self.waiting[number];
            let begun = arrivals.iter().any(|line| line.begun);
            waiting.coming = begun;
            let pause_ms = if telling == Telling::EntriesOnly || begun {
                report_interval_ms(GATEWAYS)
            } else {
                urgent_interval_ms(GATEWAYS)
            };
            waiting.report_at = millis + 2 * HOP_MS + pause_ms;
            waiting.told.push((millis + 2 * HOP_MS, places, arrivals));
        }
    }

    fn serve(&mut self, millis: u64) {
        let now = at(millis);
        let full = millis % report_interval_ms(GATEWAYS) < STEP_MS;
        let entries: Vec<&UpstreamEntry> = self.engines.iter().map(|engine| &engine.entry).collect();
        let mut sends = Vec::new();
        for (number, waiting) in self.waiting.iter_mut().enumerate() {
            if full {
                for known in waiting.book.all().to_vec() {
                    let of: usize = known.entry.id.as_str()[1..].parse().expect("number");
                    waiting.book.put(entries[of].clone(), now);
                }
            }
            let due: Vec<_> = waiting.told.extract_if(.., |(when, ..)| *when <= millis).collect();
            for (_, places, arrivals) in due {
                if self.telling == Telling::Places {
                    waiting.book.apply_places(places, &arrivals, now);
                }
            }
            match &waiting.sent {
                Some((arrives, id)) if millis >= *arrives => sends.push((number, id.clone())),
                Some(_) => {}
                None => {
                    if let UpstreamPick::Send(id) = pick(waiting, &self.services[0], now) {
                        waiting.sent = Some((millis + HOP_MS, id.as_str().to_owned()));
                    }
                }
            }
        }
        let mut over = Vec::new();
        for (number, id) in sends {
            let wanted = self.waiting[number].need.model.clone().expect("model");
            let begun = self.engine(&id).begin(&wanted.model, millis);
            let engine = self.engine(&id).entry.id.clone();
            let waiting = &mut self.waiting[number];
            waiting.sent = None;
            if begun {
                self.outcome.waits.push(millis - waiting.since);
                over.push(number);
            } else {
                self.outcome.refused_sends += 1;
                waiting.report_at = waiting.report_at.min(millis + HOP_MS);
                if let Some(known) = waiting.book.get_mut(&engine) {
                    known.refused_model(&wanted, now);
                }
            }
        }
        for (number, waiting) in self.waiting.iter().enumerate() {
            if millis - waiting.since >= PATIENCE_MS && !over.contains(&number) {
                self.outcome.lost += 1;
                over.push(number);
            }
        }
        over.sort_unstable();
        for number in over.into_iter().rev() {
            self.waiting.swap_remove(number);
        }
    }
}

fn pick(waiting: &Waiting, service: &ServiceRule, now: ClockTime) -> UpstreamPick {
    let own = domain("d1");
    let scope = PickContext {
        service,
        domain: &own,
        evacuated: &[],
        regions: &[],
        tried: &[],
        own: "g",
        members: &[],
        cold: SlowStartLimit { overrun: 1.5, tolerance: 5.0 },
    };
    waiting.book.pick(&waiting.need, &scope, now)
}

fn play(seed: u64, telling: Telling) -> RunOutcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(telling, &mut random);
    let begin_ms = 1_000;
    let mut millis = 0;
    while millis < begin_ms + ARRIVALS_MS || !world.waiting.is_empty() {
        for engine in &mut world.engines {
            engine.step(millis);
        }
        let arrives = millis >= begin_ms && millis < begin_ms + ARRIVALS_MS;
        if arrives && random.random_bool(PER_S * STEP_MS as f64 / 1_000.0) {
            let name = format!("m{:04}", random.random_range(160..MODELS));
            world.arrive(&name, random.random_range(0..GATEWAYS), millis);
        }
        world.carry(millis);
        world.report(millis);
        if millis % PLAN_MS < STEP_MS {
            world.plan(millis);
        }
        world.serve(millis);
        millis += STEP_MS;
    }
    world.outcome
}

/// Guards against requests for rare models that come too late at hundreds of VMs, although the weights lie on a disk:
/// nearly all begin within their route's aim, and few are sent to an engine that does not hold the model yet.
#[test]
fn rare_models_are_served_within_the_aim() {
    for seed in 0..seeds(2) {
        let outcome = play(seed, Telling::Places);
        let (in_aim, p50, p90) = (outcome.in_aim(), outcome.part(0.5), outcome.part(0.9));
        let count = outcome.waits.len() + outcome.lost;
        assert!(
            in_aim >= 0.95,
            "seed {seed}: {in_aim:.3} of {count} requests begin in time; {p50}, {p90} ms"
        );
        assert!(p90 <= LOAD_MS + AROUND_LOAD_MS, "seed {seed}: one in ten waits {p90} ms or more");
        assert!(outcome.refused_sends * 10 <= count, "seed {seed}: {} refused sends", outcome.refused_sends);
    }
}

/// The check must see gateways that learn of loaded models only from entries in the store.
#[test]
fn entries_alone_are_too_late() {
    let outcome = play(0, Telling::EntriesOnly);
    let p90 = outcome.part(0.9);
    assert!(p90 > LOAD_MS + AROUND_LOAD_MS, "one in ten waits {p90} ms or more");
}
