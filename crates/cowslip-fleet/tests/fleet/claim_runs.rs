//! Claims under faults: many senders of the same requests, at routers that pause and crash, over a store that
//! loses answers.

use std::collections::BTreeMap;

use cowslip_fleet::{AnswerBody, ClaimKey, ClaimStep, ClaimTable, StoredAnswer};
use cowslip_platform::{PlatformError, TableTransaction};
use cowslip_units::{AttemptId, ClockTime, IncarnationId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fake_table::FakeTable;
use crate::fixtures::{at, attempt, node};
use crate::seeded_runs::{assert_caught, assert_holds};

const RUN_MS: u64 = 40_000;
const ROUTERS: usize = 4;
const REQUESTS: usize = 12;

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Shipped,
    /// A claim whose write is in doubt counts as held.
    DispatchInDoubt,
    /// An owner that does not answer counts as having abandoned the attempt.
    TakeFromSilent,
    /// An abandoned attempt is still dispatched if its write turns out to have taken effect.
    DispatchAbandoned,
}

/// One sender's request at a router, or background work of the router.
struct Flow {
    router: usize,
    attempt: AttemptId,
    request: usize,
    step: ClaimStep,
    due: u64,
    /// When the sender must be answered; `u64::MAX` for background work.
    deadline: u64,
    upstream_until: Option<u64>,
}

struct Router {
    own: IncarnationId,
    table: ClaimTable,
    paused_until: u64,
    cut_until: u64,
}

#[derive(Default)]
struct Seen {
    dispatched: Vec<AttemptId>,
    refused: Vec<AttemptId>,
    answers: Vec<StoredAnswer>,
}

struct ClaimRun {
    rng: ChaCha8Rng,
    policy: Policy,
    now: u64,
    table: FakeTable,
    routers: Vec<Router>,
    flows: Vec<Flow>,
    late: Vec<(u64, TableTransaction)>,
    store_down_until: u64,
    last_id: u64,
    seen: BTreeMap<usize, Seen>,
    not_run: Vec<AttemptId>,
}

impl ClaimRun {
    fn new(rng: ChaCha8Rng, policy: Policy) -> Self {
        let mut run = Self {
            rng,
            policy,
            now: 1,
            table: FakeTable::default(),
            routers: Vec::new(),
            flows: Vec::new(),
            late: Vec::new(),
            store_down_until: 0,
            last_id: 0,
            seen: BTreeMap::new(),
            not_run: Vec::new(),
        };
        for vm in 0..ROUTERS {
            let fresh = run.fresh_router(vm);
            run.routers.push(fresh);
        }
        run
    }

    fn fresh_router(&mut self, vm: usize) -> Router {
        self.last_id += 1;
        let own = node(&format!("vm{vm}:{}", self.last_id));
        Router { table: ClaimTable::new(own.clone()), own, paused_until: 0, cut_until: 0 }
    }

    fn clock(&self) -> ClockTime {
        at(self.now)
    }

    fn run(mut self) -> Result<(), String> {
        while self.now < RUN_MS {
            self.now += 5;
            self.faults();
            let now = self.now;
            for (_, transaction) in self.late.extract_if(.., |(due, _)| *due <= now).collect::<Vec<_>>() {
                self.table.commit(&transaction);
            }
            if self.rng.random_ratio(1, 40) {
                self.send();
            }
            self.background();
            let ready =
                |routers: &[Router], flow: &Flow| flow.due <= now && routers[flow.router].paused_until <= now;
            let routers = &self.routers;
            let flows: Vec<Flow> = self.flows.extract_if(.., |flow| ready(routers, flow)).collect();
            for flow in flows {
                self.advance(flow);
            }
            self.check()?;
        }
        let runs: usize = self.seen.values().map(|seen| seen.dispatched.len()).sum();
        if runs < 3 { Err(format!("only {runs} dispatches in a run")) } else { Ok(()) }
    }

    fn faults(&mut self) {
        if self.rng.random_ratio(1, 1_000) {
            self.store_down_until = self.now + self.rng.random_range(100..4_000);
        }
        for vm in 0..ROUTERS {
            if self.rng.random_ratio(1, 1_500) {
                self.routers[vm].paused_until = self.now + self.rng.random_range(100..5_000);
            }
            if self.rng.random_ratio(1, 1_500) {
                self.routers[vm].cut_until = self.now + self.rng.random_range(100..5_000);
            }
            if self.rng.random_ratio(1, 3_000) {
                let fresh = self.fresh_router(vm);
                self.routers[vm] = fresh;
                self.flows.retain(|flow| flow.router != vm);
            }
        }
    }

    fn send(&mut self) {
        self.last_id += 1;
        let (router, request) = (self.rng.random_range(0..ROUTERS), self.rng.random_range(0..REQUESTS));
        let attempt = attempt(&format!("a{}", self.last_id));
        let key = ClaimKey::new(None, &"orders".parse().unwrap(), &request.to_string());
        let now = self.clock();
        let step = self.routers[router].table.begin(attempt.clone(), key, "same body".into(), now);
        let deadline = self.now + self.rng.random_range(100..3_000);
        let flow = Flow { router, attempt, request, step, due: self.now, deadline, upstream_until: None };
        self.flows.push(flow);
    }

    fn background(&mut self) {
        for router in 0..ROUTERS {
            let now = self.clock();
            if self.routers[router].paused_until > self.now {
                continue;
            }
            if let Some((attempt, step)) = self.routers[router].table.next_background(now) {
                let (due, deadline) = (self.now, u64::MAX);
                let flow =
                    Flow { router, attempt, request: usize::MAX, step, due, deadline, upstream_until: None };
                self.flows.push(flow);
            }
        }
    }

    fn advance(&mut self, mut flow: Flow) {
        let now = self.clock();
        if let Some(until) = flow.upstream_until {
            if until > self.now {
                flow.due = until;
                return self.flows.push(flow);
            }
            flow.upstream_until = None;
            let answer = StoredAnswer {
                status: 200,
                headers: Vec::new(),
                body: AnswerBody::Text(format!("{} of {}", flow.attempt, flow.request)),
            };
            let table = &mut self.routers[flow.router].table;
            flow.step = match self.rng.random_range(0..10) {
                0 => table.failed(&flow.attempt, now),
                _ => table.answered(&flow.attempt, answer, now),
            };
        }
        if self.now > flow.deadline {
            let answer = self.routers[flow.router].table.abandon(&flow.attempt, now);
            return self.answer(&flow, &answer);
        }
        let delay = self.rng.random_range(1..30);
        let next = match flow.step.clone() {
            ClaimStep::Commit(transaction) | ClaimStep::Takeover(transaction) => {
                self.commit(&flow, &transaction)
            }
            ClaimStep::Read(key) => {
                let fails = self.store_fails(flow.router);
                let read = if fails { Err(lost()) } else { Ok(self.table.read(&key)) };
                self.routers[flow.router].table.read_answered(&flow.attempt, &read, now)
            }
            ClaimStep::Ask(request) => {
                let owner = self.routers.iter().find(|router| router.own == request.owner);
                let reachable = owner.filter(|owner| {
                    owner.paused_until <= self.now
                        && owner.cut_until <= self.now
                        && !self.rng.random_ratio(1, 8)
                });
                let mut attempt_status = reachable.map(|owner| owner.table.attempt_status(&request));
                if owner.is_none() {
                    attempt_status = Some(cowslip_messages::AttemptStatus::NotKnown);
                }
                if self.policy == Policy::TakeFromSilent && attempt_status.is_none() {
                    attempt_status = Some(cowslip_messages::AttemptStatus::GivenUp);
                }
                self.routers[flow.router].table.owner_answered(&flow.attempt, attempt_status, now)
            }
            ClaimStep::Wait(millis) => {
                flow.due = self.now + millis;
                flow.step = self.routers[flow.router].table.poll(&flow.attempt, now);
                return self.flows.push(flow);
            }
            ClaimStep::Dispatch => return self.dispatch(flow),
            ended => return self.answer(&flow, &ended),
        };
        flow.step = next;
        flow.due = self.now + delay;
        self.flows.push(flow);
    }

    fn store_fails(&mut self, router: usize) -> bool {
        let down = self.store_down_until > self.now || self.routers[router].cut_until > self.now;
        down || self.rng.random_ratio(1, 12)
    }

    fn commit(&mut self, flow: &Flow, transaction: &TableTransaction) -> ClaimStep {
        let now = self.clock();
        if !self.store_fails(flow.router) {
            let outcome = self.table.commit(transaction);
            return self.routers[flow.router].table.commit_answered(&flow.attempt, &Ok(outcome), now);
        }
        let error = match self.rng.random_range(0..4) {
            0 => PlatformError::NotConnected("cut".into()),
            1 => lost(),
            2 => {
                self.table.commit(transaction);
                lost()
            }
            _ => {
                self.late.push((self.now + self.rng.random_range(1..3_000), transaction.clone()));
                lost()
            }
        };
        if self.policy == Policy::DispatchInDoubt && error.in_doubt() && flow.deadline != u64::MAX {
            return ClaimStep::Dispatch;
        }
        self.routers[flow.router].table.commit_answered(&flow.attempt, &Err(error), now)
    }

    fn dispatch(&mut self, mut flow: Flow) {
        // The sender may disconnect, or the process may stop, between the decision and the first byte.
        if self.rng.random_ratio(1, 10) {
            let answer = self.routers[flow.router].table.abandon(&flow.attempt, at(self.now));
            self.answer(&flow, &answer);
            if self.policy != Policy::DispatchAbandoned {
                return;
            }
        }
        let can_dispatch = self.routers[flow.router].table.start_dispatch(&flow.attempt);
        if !can_dispatch && self.policy == Policy::Shipped {
            return;
        }
        let seen = self.seen.entry(flow.request).or_default();
        if self.rng.random_ratio(1, 10) {
            seen.refused.push(flow.attempt.clone());
            let answer = self.routers[flow.router].table.rejected_unrun(&flow.attempt, at(self.now));
            return self.answer(&flow, &answer);
        }
        seen.dispatched.push(flow.attempt.clone());
        flow.upstream_until = Some(self.now + self.rng.random_range(10..1_500));
        flow.due = self.now;
        self.flows.push(flow);
    }

    fn answer(&mut self, flow: &Flow, step: &ClaimStep) {
        match step {
            ClaimStep::NotRun => self.not_run.push(flow.attempt.clone()),
            ClaimStep::Replay(answer) if flow.deadline != u64::MAX => {
                self.seen.entry(flow.request).or_default().answers.push(answer.clone());
            }
            _ => {}
        }
    }

    fn check(&self) -> Result<(), String> {
        for (request, seen) in &self.seen {
            if seen.dispatched.len() > 1 {
                return Err(format!("request {request} was dispatched by {:?}", seen.dispatched));
            }
            if let Some(attempt) = seen.dispatched.iter().find(|attempt| self.not_run.contains(attempt)) {
                return Err(format!("attempt {attempt} was answered as not run and dispatched"));
            }
            if seen.answers.iter().any(|answer| *answer != seen.answers[0]) {
                return Err(format!("request {request} got two answers: {:?}", seen.answers));
            }
        }
        Ok(())
    }
}

fn lost() -> PlatformError {
    PlatformError::InDoubt("lost".into())
}

/// Guards against a request that runs twice, and against the answer "not run" for a request that ran.
#[test]
fn a_claim_is_dispatched_at_most_once() {
    assert_holds("a_claim_is_dispatched_at_most_once", 20, |rng| ClaimRun::new(rng, Policy::Shipped).run());
}

#[test]
fn a_dispatch_in_doubt_is_caught() {
    assert_caught(0..100, "was dispatched by", |rng| ClaimRun::new(rng, Policy::DispatchInDoubt).run());
}

#[test]
fn a_takeover_from_a_silent_owner_is_caught() {
    assert_caught(0..100, "was dispatched by", |rng| ClaimRun::new(rng, Policy::TakeFromSilent).run());
}

#[test]
fn a_dispatch_after_not_run_is_caught() {
    assert_caught(0..100, "answered as not run", |rng| ClaimRun::new(rng, Policy::DispatchAbandoned).run());
}
