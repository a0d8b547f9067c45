//! Cost of choosing an upstream and of the waiting queue.

use std::hint::black_box;

use cowslip_routing::{
    CallOutcome, ChoiceCandidate, RequestClass, RequestQueue, TargetForecast, UpstreamSelector, WaitTarget,
};
use cowslip_units::{ClockTime, TokenCount, UpstreamId};

use crate::permit_slopes::UPSTREAM_SIZES;
use crate::share_fixtures::{SETTLED_AT, acquire_each, member_of, settled_permits};
use crate::{FleetGenerator, RunPlan, SlopePoint, SlopeRow, SlopeUnit};

/// Numbers of waiting requests to measure.
const QUEUE_SIZES: &[usize] = &[16, 128, 1_024, 4_096];
/// Number of waiting requests used by docs/CAPACITY.md: a hundred times the arrivals of one second at a
/// router.
const TARGET_WAITING: usize = 1_024;

/// Creates a selector that has sent `sent` requests to each upstream and has a load report of each.
pub fn warmed_selector(seed: u64, upstreams: usize, sent: usize) -> UpstreamSelector {
    let mut selector = UpstreamSelector::new(seed);
    for upstream in (0..upstreams).map(FleetGenerator::upstream) {
        selector.reported(&upstream, SETTLED_AT, 9);
        for _ in 0..sent {
            selector.sent(SETTLED_AT, &upstream, None);
            let outcome = CallOutcome::Answered { first_byte_ms: 300, service_ms: 9_000 };
            selector.ended(SETTLED_AT, &upstream, outcome, &[]);
        }
    }
    selector
}

/// Chooses one of the upstreams, all of which are eligible.
pub fn choose_any(selector: &mut UpstreamSelector, upstreams: &[UpstreamId]) -> Option<UpstreamId> {
    selector
        .choose(SETTLED_AT, upstreams, None, |_| Some(ChoiceCandidate { slots: 16, has_own_permit: false }))
}

/// Measures the choice of an upstream and the waiting queue.
pub(crate) fn routing_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let mut rows = choice_slopes(plan);
    rows.extend(queue_slopes(plan));
    rows
}

fn choice_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let meter = plan.meter();
    let (mut by_replicas, mut by_upstreams, mut none, mut own, mut ended) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let view = plan.generator().view(0, plan.size(350));
    for size in plan.sizes(&[4, 25, 100, 1_000]) {
        let upstreams: Vec<UpstreamId> = (0..size).map(FleetGenerator::upstream).collect();
        let mut selector = warmed_selector(plan.seed, plan.size(6_300), 2);
        let point = |value| SlopePoint::new(size, value);
        by_replicas.push(point(meter.micros(|| {
            black_box(choose_any(&mut selector, &upstreams));
        })));
        none.push(point(meter.micros(|| {
            black_box(selector.choose(SETTLED_AT, &upstreams, None, |_| None));
        })));
        let rows = FleetGenerator::upstreams(size);
        let mut permits = settled_permits(&member_of(&view, true), &view, &rows);
        acquire_each(&mut permits, &rows);
        own.push(point(meter.micros(|| {
            black_box(selector.choose(SETTLED_AT, &upstreams, None, |upstream| {
                let free = permits.own_free(upstream, SETTLED_AT) > 0;
                free.then_some(ChoiceCandidate { slots: 16, has_own_permit: true })
            }));
        })));
        let outcome = CallOutcome::Answered { first_byte_ms: 300, service_ms: 9_000 };
        ended.push(point(meter.micros(|| {
            selector.sent(SETTLED_AT, &upstreams[0], None);
            selector.ended(SETTLED_AT, &upstreams[0], outcome, &upstreams);
        })));
    }
    for size in plan.sizes(UPSTREAM_SIZES) {
        let upstreams: Vec<UpstreamId> = (0..size.min(25)).map(FleetGenerator::upstream).collect();
        let mut selector = warmed_selector(plan.seed, size, 2);
        let micros = meter.micros(|| {
            black_box(choose_any(&mut selector, &upstreams));
        });
        by_upstreams.push(SlopePoint::new(size, micros));
    }
    let (micros, mechanism) = (SlopeUnit::Micros, "cowslip_routing::UpstreamSelector::choose");
    let replicas = "replicas of the model (6,300 upstreams)";
    vec![
        SlopeRow::new("routing.choose", replicas, micros, mechanism, 25, by_replicas),
        SlopeRow::new(
            "routing.choose_by_upstreams",
            "upstreams (25 replicas)",
            micros,
            mechanism,
            6_300,
            by_upstreams,
        ),
        SlopeRow::new(
            "routing.choose_none",
            "replicas of the model, none of which is eligible",
            micros,
            mechanism,
            25,
            none,
        ),
        SlopeRow::new(
            "routing.choose_own",
            "replicas of the model (350 members; only an own permit is accepted)",
            micros,
            "cowslip_router::dispatch_loop::next_turn",
            25,
            own,
        ),
        SlopeRow::new(
            "routing.sent_ended",
            replicas,
            micros,
            "cowslip_routing::UpstreamSelector::ended",
            25,
            ended,
        ),
    ]
}

fn queue_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let meter = plan.meter();
    let (mut pass, mut blocked, mut refuse, mut demand) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for size in plan.sizes(QUEUE_SIZES) {
        let point = |value| SlopePoint::new(size, value);
        let mut queue = RequestQueue::new(usize::MAX);
        (0..size).for_each(|at| push(&mut queue, at));
        let mut at = size;
        pass.push(point(meter.micros(|| {
            at += 1;
            push(&mut queue, at);
            black_box(queue.next(SETTLED_AT, |_| true));
        })));
        blocked.push(point(meter.micros(|| {
            black_box(queue.next(SETTLED_AT, |_| false));
        })));
        refuse.push(point(meter.micros(|| {
            black_box(queue.reject_unservable(SETTLED_AT, |_| TargetForecast::READY));
        })));
        demand.push(point(meter.micros(|| {
            black_box(queue.demand(SETTLED_AT));
        })));
    }
    let (by, micros) = ("waiting requests (5 teams, 250 models)", SlopeUnit::Micros);
    let row = |name, mechanism, points| SlopeRow::new(name, by, micros, mechanism, TARGET_WAITING, points);
    vec![
        row("routing.push_next", "cowslip_routing::RequestQueue::next", pass),
        row("routing.next_blocked", "cowslip_routing::RequestQueue::next", blocked),
        row("routing.refuse_hopeless", "cowslip_routing::RequestQueue::reject_unservable", refuse),
        row("routing.demand", "cowslip_routing::RequestQueue::demand", demand),
    ]
}

fn push(queue: &mut RequestQueue, at: usize) {
    let target = WaitTarget::Model(FleetGenerator::model(at % 250));
    let deadline: ClockTime = SETTLED_AT.plus_ms(10_000);
    let team = Some(FleetGenerator::team(at % 5));
    // Cannot fail: the queue is unbounded.
    let _ = queue.push(team, RequestClass::Urgent, target, TokenCount::new(700), SETTLED_AT, deadline);
}
