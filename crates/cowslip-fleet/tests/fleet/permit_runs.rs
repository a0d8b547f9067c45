//! Upstream permits under faults: requests that all members have in flight together.

use cowslip_config::{EngineKind, UpstreamRow};
use cowslip_fleet::{
    FleetView, HeldPermit, PermitStep, TeamShares, UpstreamPermits, VersionTracker, compose_report,
};
use cowslip_messages::{PeerReport, PermitGrant, PermitRequest, PermitReturn, ViewSnapshot};
use cowslip_units::{IncarnationId, MemorySize, ViewVersion};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{member, upstream};
use crate::fleet_run::{FleetRun, NodeWork, Policy, Sheet, WorkEnv};
use crate::seeded_runs::{assert_caught, assert_holds};

const RUN_MS: u64 = 60_000;
const SLOTS: u32 = 14;
const FRESH_SLOTS: u32 = 3;
const RAMP_MS: u64 = 30_000;
const CALL_TIMEOUT_MS: u64 = 300;

#[derive(Clone)]
enum PermitMessage {
    Borrow(PermitRequest),
    Answer(u64, PermitGrant),
    Return(PermitReturn),
    Report(PeerReport),
}

struct PermitWork {
    own: IncarnationId,
    policy: Policy,
    shares: TeamShares,
    permits: UpstreamPermits,
    borrow_calls: Vec<(IncarnationId, u64, u64)>,
    running: Vec<(u64, HeldPermit)>,
    ticks: u64,
}

impl PermitWork {
    fn dispatch(&mut self, permit: HeldPermit, env: &mut WorkEnv<'_, Self>) {
        if env.can_admit && self.permits.start(&permit, env.now) {
            let until = env.real_ms + env.rng.random_range(50..3_000);
            env.record.push((env.real_ms, until));
            self.running.push((until, permit));
        } else {
            self.finish(permit, env);
        }
    }

    fn finish(&mut self, permit: HeldPermit, env: &mut WorkEnv<'_, Self>) {
        if let Some((lender, message)) = self.permits.finish(permit) {
            env.out.push((lender, PermitMessage::Return(message)));
        }
    }
}

impl NodeWork for PermitWork {
    type Message = PermitMessage;
    /// Start and end of each request.
    type Record = Vec<(u64, u64)>;

    fn new(own: &IncarnationId, policy: Policy) -> Self {
        Self {
            own: own.clone(),
            policy,
            shares: TeamShares::new(own.clone()),
            permits: UpstreamPermits::new(own.clone()),
            borrow_calls: Vec::new(),
            running: Vec::new(),
            ticks: 0,
        }
    }

    fn configure(&mut self, sheet: &Sheet, env: &mut WorkEnv<'_, Self>) {
        if self.policy == Policy::NoShareDelay {
            let alone = ViewSnapshot {
                version: ViewVersion::new(u64::MAX),
                members: vec![member(self.own.as_str())],
                ..ViewSnapshot::default()
            };
            let tracker = VersionTracker::new(self.own.clone(), &FleetView::from_snapshot(alone));
            let past = env.now.minus_ms(9_000);
            self.permits.configure(env.view, &sheet.upstreams, past);
            self.permits.tick(&tracker, past);
            self.permits.tick(&tracker, env.now);
        } else {
            self.permits.configure(env.view, &sheet.upstreams, env.now);
        }
        // The upstream started with the run; the reported age is up to 500 ms late.
        let age = env.real_ms.saturating_sub(env.rng.random_range(0..500));
        self.permits.set_ramp_age(&upstream("u"), Some(age), env.now);
    }

    fn tick(&mut self, env: &mut WorkEnv<'_, Self>) {
        self.permits.tick(env.tracker, env.now);
        let real_ms = env.real_ms;
        let ended: Vec<_> = self.running.extract_if(.., |(until, _)| *until <= real_ms).collect();
        ended.into_iter().for_each(|(_, permit)| self.finish(permit, env));
        for (lender, sequence, _) in self
            .borrow_calls
            .extract_if(.., |(_, _, since)| *since + CALL_TIMEOUT_MS <= real_ms)
            .collect::<Vec<_>>()
        {
            self.permits.borrow_answered(&lender, sequence, None);
        }
        self.ticks += 1;
        if self.ticks.is_multiple_of(5) {
            for peer in env.view.members().iter().filter(|peer| peer.incarnation != self.own) {
                let receiver = &peer.incarnation;
                let report = compose_report(
                    &self.own,
                    receiver,
                    env.view,
                    &mut self.shares,
                    &mut self.permits,
                    env.now,
                );
                env.out.push((receiver.clone(), PermitMessage::Report(report)));
            }
        }
    }

    fn load(&mut self, env: &mut WorkEnv<'_, Self>) {
        match self.permits.acquire(&upstream("u"), env.now) {
            PermitStep::Granted(permit) => self.dispatch(permit, env),
            PermitStep::Borrow(call) => {
                self.borrow_calls.push((call.lender.clone(), call.request.sequence, env.real_ms));
                env.out.push((call.lender, PermitMessage::Borrow(call.request)));
            }
            PermitStep::Full => {}
        }
    }

    fn message(&mut self, from: &IncarnationId, message: PermitMessage, env: &mut WorkEnv<'_, Self>) {
        match message {
            PermitMessage::Borrow(request) => {
                let grant = self.permits.lend(&request, env.can_admit, env.now);
                if self.policy == Policy::LendAndKeep {
                    // The lender still uses what it lent.
                    let (borrower, upstream) = (request.borrower, request.upstream);
                    self.permits.returned(&PermitReturn { borrower, upstream, sequence: request.sequence });
                }
                env.out.push((from.clone(), PermitMessage::Answer(request.sequence, grant)));
            }
            PermitMessage::Answer(sequence, grant) => {
                self.borrow_calls.retain(|(lender, asked, _)| lender != from || *asked != sequence);
                if let Some(permit) = self.permits.borrow_answered(from, sequence, Some(&grant)) {
                    self.dispatch(permit, env);
                }
            }
            PermitMessage::Return(message) => self.permits.returned(&message),
            PermitMessage::Report(report) => self.permits.on_report(&report),
        }
    }
}

/// Checks at each dispatch that the requests in flight fit the budget, except those in flight when a permit
/// moved.
fn check(run: &FleetRun<PermitWork>) -> Result<u64, String> {
    let moves = run.member_moves();
    let mut most = 0;
    for (now, _) in &run.record {
        let moved = |from: u64| moves.iter().any(|moved| from < *moved && moved <= now);
        let in_flight = run.record.iter().filter(|(from, until)| from <= now && now < until && !moved(*from));
        let grown = u64::from(SLOTS - FRESH_SLOTS) * (*now).min(RAMP_MS) / RAMP_MS;
        let (count, budget) = (in_flight.count() as u64, u64::from(FRESH_SLOTS) + grown);
        most = most.max(count);
        if count > budget {
            return Err(format!("{count} requests in flight at {now} ms, the budget is {budget}"));
        }
    }
    Ok(most)
}

fn sheet() -> Sheet {
    let row = UpstreamRow {
        upstream: upstream("u"),
        domain: "d1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        engine: EngineKind::Service,
        memory: MemorySize::ZERO,
        slots: SLOTS,
        fresh_slots: FRESH_SLOTS,
        ramp_ms: RAMP_MS,
    };
    Sheet { teams: Vec::new(), upstreams: vec![row] }
}

fn run_with_faults(rng: ChaCha8Rng, policy: Policy) -> Result<(), String> {
    let mut run = FleetRun::<PermitWork>::new(rng, policy, vec![sheet(); 4]);
    run.run(RUN_MS)?;
    check(&run).map(|_| ())
}

/// Guards against an upstream in slow start that receives more from all members together than its budget.
#[test]
fn requests_in_flight_are_bounded() {
    assert_holds("requests_in_flight_are_bounded", 6, |rng| run_with_faults(rng, Policy::Shipped));
}

/// Guards against permits that are lost or idle: without faults, all of them are used.
#[test]
fn a_fleet_without_faults_uses_all_permits() {
    assert_holds("a_fleet_without_faults_uses_all_permits", 2, |rng| {
        let run = FleetRun::<PermitWork>::new(rng, Policy::Shipped, vec![sheet(); 4]);
        let mut run = run.with_outage_only(0, 0);
        run.run(RUN_MS)?;
        match check(&run)? {
            most if most < u64::from(SLOTS) => Err(format!("at most {most} requests in flight")),
            _ => Ok(()),
        }
    });
}

#[test]
fn permits_lent_and_kept_are_caught() {
    assert_caught(0..100, "requests in flight at", |rng| run_with_faults(rng, Policy::LendAndKeep));
}

#[test]
fn permits_without_handoff_delay_are_caught() {
    assert_caught(0..100, "requests in flight at", |rng| run_with_faults(rng, Policy::NoShareDelay));
}
