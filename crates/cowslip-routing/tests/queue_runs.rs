//! Seeded runs of the request queue with virtual time, checked against its guarantees to waiting requests.
//!
//! `COWSLIP_SEEDS=N` runs N seeds; `COWSLIP_SEED=S` runs one. Two naive queues go through the same checker
//! and must be caught, which shows that the checker detects these faults.

use std::collections::{BTreeMap, VecDeque};

use cowslip_routing::{
    QueueRejection, QueueTicket, RequestClass, RequestQueue, TargetForecast, WaitTarget, WaitingRequest,
};
use cowslip_units::{ClockTime, ErrorKind, TeamId, TokenCount, drain_violations};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP_MS: u64 = 10;
const STEPS: u64 = 4_000;
const SERVICE_MS: u64 = 100;
const SLOTS: usize = 4;
/// A request with this much time in ms can be served under fair shares.
const ENOUGH_SLACK_MS: u64 = 1_000;
const TEAMS: [&str; 3] = ["large", "middle", "small"];

/// Requests per second of each team; the warm target serves 40, an eighth of them batch.
type TeamLoad = [u64; 3];
/// Two teams send less than a third of the rest each, the large one five times as much as they do.
const ONE_IN_EXCESS: TeamLoad = [50, 10, 10];
/// Two teams send more than their share.
const TWO_IN_EXCESS: TeamLoad = [50, 25, 8];
/// All teams send more than their share.
const ALL_IN_EXCESS: TeamLoad = [60, 30, 20];
/// Least percentage of its fair share that each team must get.
const FAIR_PERCENT: u64 = 90;

trait QueueUnderTest {
    fn push(&mut self, request: &WaitingRequest) -> QueueTicket;
    fn next(&mut self, now: ClockTime, ready: &dyn Fn(&WaitTarget) -> bool) -> Option<WaitingRequest>;
    fn leave(&mut self, ticket: QueueTicket) -> Option<WaitingRequest>;
    fn reject(
        &mut self,
        now: ClockTime,
        forecast: &dyn Fn(&WaitTarget) -> TargetForecast,
    ) -> Vec<QueueRejection>;
}

impl QueueUnderTest for RequestQueue {
    fn push(&mut self, request: &WaitingRequest) -> QueueTicket {
        let WaitingRequest { team, class, target, cost, arrived, deadline, .. } = request.clone();
        RequestQueue::push(self, team, class, target, cost, arrived, deadline).expect("no limit in this run")
    }
    fn next(&mut self, now: ClockTime, ready: &dyn Fn(&WaitTarget) -> bool) -> Option<WaitingRequest> {
        RequestQueue::next(self, now, ready)
    }
    fn leave(&mut self, ticket: QueueTicket) -> Option<WaitingRequest> {
        RequestQueue::leave(self, ticket)
    }
    fn reject(
        &mut self,
        now: ClockTime,
        forecast: &dyn Fn(&WaitTarget) -> TargetForecast,
    ) -> Vec<QueueRejection> {
        self.reject_unservable(now, forecast)
    }
}

/// First come, first served, regardless of team, class and deadline.
#[derive(Default)]
struct FirstCome {
    waiting: VecDeque<WaitingRequest>,
    last: u64,
}

impl QueueUnderTest for FirstCome {
    fn push(&mut self, request: &WaitingRequest) -> QueueTicket {
        self.last += 1;
        let ticket = QueueTicket::new(self.last);
        self.waiting.push_back(WaitingRequest { ticket, ..request.clone() });
        ticket
    }
    fn next(&mut self, _now: ClockTime, ready: &dyn Fn(&WaitTarget) -> bool) -> Option<WaitingRequest> {
        let at = self.waiting.iter().position(|request| ready(&request.target))?;
        self.waiting.remove(at)
    }
    fn leave(&mut self, ticket: QueueTicket) -> Option<WaitingRequest> {
        let at = self.waiting.iter().position(|request| request.ticket == ticket)?;
        self.waiting.remove(at)
    }
    fn reject(
        &mut self,
        now: ClockTime,
        _forecast: &dyn Fn(&WaitTarget) -> TargetForecast,
    ) -> Vec<QueueRejection> {
        let late: Vec<_> = self.waiting.iter().filter(|request| request.deadline <= now).cloned().collect();
        self.waiting.retain(|request| request.deadline > now);
        let rejection =
            |request| QueueRejection { request, kind: ErrorKind::DeadlineExceeded, retry_after_ms: 0 };
        late.into_iter().map(rejection).collect()
    }
}

/// The real queue, but with every rejection delayed until the deadline.
struct DelayedRejection(RequestQueue);

impl QueueUnderTest for DelayedRejection {
    fn push(&mut self, request: &WaitingRequest) -> QueueTicket {
        QueueUnderTest::push(&mut self.0, request)
    }
    fn next(&mut self, now: ClockTime, ready: &dyn Fn(&WaitTarget) -> bool) -> Option<WaitingRequest> {
        self.0.next(now, ready)
    }
    fn leave(&mut self, ticket: QueueTicket) -> Option<WaitingRequest> {
        self.0.leave(ticket)
    }
    fn reject(
        &mut self,
        now: ClockTime,
        _forecast: &dyn Fn(&WaitTarget) -> TargetForecast,
    ) -> Vec<QueueRejection> {
        self.0.reject_unservable(now, |_| TargetForecast::READY)
    }
}

struct Checker {
    waiting: BTreeMap<QueueTicket, WaitingRequest>,
    answered: BTreeMap<QueueTicket, &'static str>,
    faults: Vec<String>,
    since_batch: u64,
    /// Served and rejected tokens by team, of urgent requests for the warm target with enough slack.
    tokens: BTreeMap<Option<TeamId>, (u64, u64)>,
    /// Served and rejected tokens by team, of all urgent requests for the warm target.
    urgent: BTreeMap<Option<TeamId>, (u64, u64)>,
}

impl Checker {
    fn end(&mut self, ticket: QueueTicket, how: &'static str) -> Option<WaitingRequest> {
        if let Some(before) = self.answered.insert(ticket, how) {
            self.faults.push(format!("{ticket} is {how} after it was {before}"));
        }
        self.waiting.remove(&ticket)
    }

    fn served(&mut self, now: ClockTime, ready: &dyn Fn(&WaitTarget) -> bool, request: &WaitingRequest) {
        if now > request.deadline {
            self.faults.push(format!("{} is served after its deadline", request.ticket));
        }
        let earlier = self.waiting.values().any(|other| {
            other.team == request.team
                && other.class == request.class
                && other.deadline < request.deadline
                && ready(&other.target)
        });
        if earlier {
            self.faults.push(format!("{} is served before an earlier deadline of its team", request.ticket));
        }
        let batch_can_go =
            self.waiting.values().any(|other| other.class == RequestClass::Batch && ready(&other.target));
        match request.class {
            RequestClass::Batch => self.since_batch = 0,
            RequestClass::Urgent if batch_can_go => self.since_batch += 1,
            RequestClass::Urgent => {}
        }
        if self.since_batch >= 8 {
            self.faults.push(format!(
                "{} urgent dispatches in a row while a batch request is ready",
                self.since_batch
            ));
        }
        if let Some(tokens) = self.counted(request) {
            tokens.0 += request.cost.get();
        }
        if is_warm_urgent(request) {
            self.urgent.entry(request.team.clone()).or_default().0 += request.cost.get();
        }
        self.end(request.ticket, "served");
    }

    fn rejected(&mut self, request: &WaitingRequest) {
        if let Some(tokens) = self.counted(request) {
            tokens.1 += request.cost.get();
        }
        if is_warm_urgent(request) {
            self.urgent.entry(request.team.clone()).or_default().1 += request.cost.get();
        }
        self.end(request.ticket, "rejected");
    }

    /// The team's figures if the request counts for its share.
    fn counted(&mut self, request: &WaitingRequest) -> Option<&mut (u64, u64)> {
        let slack_ms = request.deadline.since_ms(request.arrived);
        let counts = is_warm_urgent(request) && slack_ms >= ENOUGH_SLACK_MS;
        counts.then(|| self.tokens.entry(request.team.clone()).or_default())
    }

    /// Checks that no team gets less than its max-min fair share of what was served to all.
    fn fair_shares(&mut self) {
        let mut demands: Vec<(u64, u64)> = self.urgent.values().map(|(ok, no)| (ok + no, *ok)).collect();
        demands.sort_unstable();
        let mut left: u64 = demands.iter().map(|(_, served)| served).sum();
        let teams = demands.len();
        for (at, (demand, served)) in demands.into_iter().enumerate() {
            let fair = demand.min(left / (teams - at) as u64);
            left -= fair;
            if served * 100 < fair * FAIR_PERCENT {
                self.faults
                    .push(format!("{served} of a fair share of {fair} tokens served ({demand} requested)"));
            }
        }
    }

    /// Checks that no request waits whose own team's earlier requests alone take until after its deadline.
    fn check_unservable(&mut self, now: ClockTime, ready_in: &dyn Fn(&WaitTarget) -> u64) {
        let urgent = self.waiting.values().filter(|request| request.class == RequestClass::Urgent);
        let mut order: Vec<_> = urgent.collect();
        order.sort_by_key(|request| (&request.team, &request.target, request.deadline, request.ticket));
        let interval = SERVICE_MS / SLOTS as u64;
        let mut before = 0;
        for (at, request) in order.iter().enumerate() {
            let follows =
                |earlier: &&WaitingRequest| earlier.team == request.team && earlier.target == request.target;
            before = if at > 0 && follows(&order[at - 1]) { before + 1 } else { 0 };
            if now.plus_ms(ready_in(&request.target) + before * interval) > request.deadline {
                self.faults.push(format!("the rejection of {} is delayed at {now}", request.ticket));
            }
        }
    }
}

fn is_warm_urgent(request: &WaitingRequest) -> bool {
    let warm = WaitTarget::Model("warm".parse().expect("an id"));
    request.class == RequestClass::Urgent && request.target == warm
}

fn run(seed: u64, load: TeamLoad, mut queue: impl QueueUnderTest) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let targets: Vec<WaitTarget> =
        ["warm", "cold"].iter().map(|name| WaitTarget::Model(name.parse().expect("an id"))).collect();
    let mut checker = Checker {
        waiting: BTreeMap::new(),
        answered: BTreeMap::new(),
        faults: Vec::new(),
        since_batch: 0,
        tokens: BTreeMap::new(),
        urgent: BTreeMap::new(),
    };
    // Times at which the slots of each target are free; the cold one is loaded a quarter into the run.
    let cold_until = STEPS * STEP_MS / 4;
    let mut busy =
        BTreeMap::from([(targets[0].clone(), vec![0; SLOTS]), (targets[1].clone(), vec![cold_until; SLOTS])]);
    for step in 0..STEPS {
        let now = ClockTime::new(step * STEP_MS);
        for (at, name) in TEAMS.iter().enumerate() {
            if random.random_range(0..1_000) >= load[at] * STEP_MS {
                continue;
            }
            let batch = random.random_range(0..8) == 0;
            let slack = random.random_range(100..4_000);
            let request = WaitingRequest {
                ticket: QueueTicket::default(),
                team: Some(name.parse().expect("an id")),
                class: if batch { RequestClass::Batch } else { RequestClass::Urgent },
                target: targets[usize::from(random.random_range(0..8) == 0)].clone(),
                cost: TokenCount::new(random.random_range(100..3_000)),
                arrived: now,
                deadline: if batch { ClockTime::NEVER } else { now.plus_ms(slack) },
            };
            let ticket = queue.push(&request);
            checker.waiting.insert(ticket, WaitingRequest { ticket, ..request });
        }
        if random.random_range(0..20) == 0
            && let Some(ticket) = checker.waiting.keys().next().copied()
        {
            if queue.leave(ticket).is_none() {
                checker.faults.push(format!("{ticket} was lost"));
            }
            checker.end(ticket, "cancelled");
        }
        loop {
            let ready_in = |target: &WaitTarget| {
                busy[target].iter().min().map_or(0, |free: &u64| free.saturating_sub(now.millis()))
            };
            let forecast = |target: &WaitTarget| TargetForecast::Open {
                ready_in_ms: ready_in(target),
                interval_ms: SERVICE_MS / SLOTS as u64,
            };
            for rejection in queue.reject(now, &forecast) {
                checker.rejected(&rejection.request);
            }
            checker.check_unservable(now, &ready_in);
            let ready = |target: &WaitTarget| ready_in(target) == 0;
            let Some(request) = queue.next(now, &ready) else {
                break;
            };
            checker.served(now, &ready, &request);
            let slots = busy.get_mut(&request.target).expect("a target of the run");
            let slot = slots.iter_mut().min().expect("slots");
            *slot = now.millis() + SERVICE_MS;
        }
    }
    let lost: Vec<_> =
        checker.waiting.keys().copied().filter(|ticket| queue.leave(*ticket).is_none()).collect();
    checker.faults.extend(lost.iter().map(|ticket| format!("{ticket} was lost")));
    checker.fair_shares();
    // A team that sends less than a third of the capacity must not lose requests to those in excess.
    let within = TEAMS.iter().zip(load).filter(|(_, per_s)| *per_s <= 10);
    for (small, _) in within {
        let (served, rejected) =
            checker.tokens.get(&Some(small.parse().expect("an id"))).copied().unwrap_or_default();
        if served < rejected * 9 {
            checker.faults.push(format!("{small}: {served} tokens served, {rejected} rejected"));
        }
    }
    checker.faults.extend(drain_violations().iter().map(|violation| format!("{violation:?}")));
    checker.faults
}

fn seeds() -> Vec<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text: String| text.parse::<u64>().ok());
    match number("COWSLIP_SEED") {
        Some(seed) => vec![seed],
        None => (0..number("COWSLIP_SEEDS").unwrap_or(8)).collect(),
    }
}

/// Guards against lost or doubly answered requests, unfair shares, starved batch requests and missed
/// deadlines.
#[rstest]
#[case::one_in_excess(ONE_IN_EXCESS)]
#[case::two_in_excess(TWO_IN_EXCESS)]
#[case::all_in_excess(ALL_IN_EXCESS)]
fn the_queue_keeps_its_guarantees(#[case] load: TeamLoad) {
    for seed in seeds() {
        let faults = run(seed, load, RequestQueue::new(usize::MAX));
        assert!(
            faults.is_empty(),
            "COWSLIP_SEED={seed}: {} faults, first {:?}",
            faults.len(),
            faults.first()
        );
    }
}

/// Guards against a checker that does not detect unfair order: first come, first served must be caught.
#[test]
fn first_come_first_served_is_caught() {
    let faults = run(1, ONE_IN_EXCESS, FirstCome::default());
    for sign in ["tokens served", "earlier deadline", "in a row"] {
        assert!(faults.iter().any(|fault| fault.contains(sign)), "not caught: {sign}");
    }
}

/// Guards against a checker that does not detect late rejections.
#[test]
fn a_delayed_rejection_is_caught() {
    let faults = run(1, ONE_IN_EXCESS, DelayedRejection(RequestQueue::new(usize::MAX)));
    assert!(faults.iter().any(|fault| fault.contains("is delayed")), "{:?}", faults.first());
}

/// Guards against rejecting a request because of an earlier one of its team that is itself rejected.
#[test]
fn a_rejected_request_does_not_delay_later_ones() {
    let now = ClockTime::new(1_000);
    let mut queue = RequestQueue::new(usize::MAX);
    let team: Option<TeamId> = Some("small".parse().expect("an id"));
    let target = WaitTarget::Model("warm".parse().expect("an id"));
    // Each place takes 25 ms: the second request cannot be served in 20 ms, the third can if the second is
    // rejected.
    for slack in [10, 20, 30] {
        let cost = TokenCount::new(100);
        queue
            .push(team.clone(), RequestClass::Urgent, target.clone(), cost, now, now.plus_ms(slack))
            .expect("a queue that admits three requests");
    }
    let forecast = |_: &WaitTarget| TargetForecast::Open { ready_in_ms: 0, interval_ms: 25 };
    let rejected: Vec<_> =
        queue.reject_unservable(now, forecast).iter().map(|r| r.request.deadline).collect();
    assert_eq!(rejected, [now.plus_ms(20)]);
    assert_eq!(queue.len(), 2);
}
