//! Slopes of the choice of an upstream and of the waiting queue.

use std::hint::black_box;

use cowslip_routing::{
    CallOutcome, ChoiceCandidate, RequestClass, RequestQueue, TargetForecast, UpstreamSelector, WaitTarget,
};
use cowslip_units::{ClockTime, TokenCount, UpstreamId};

use crate::permit_slopes::UPSTREAM_SIZES;
use crate::share_maker::{SETTLED_AT, member_of, settled_permits, use_all};
use crate::{FleetMaker, RunPlan, SlopePoint, SlopeRow, SlopeUnit};

/// Numbers of waiting requests at which the queue is measured.
const QUEUE_SIZES: &[usize] = &[16, 128, 1_024, 4_096];
/// Waiting requests for which docs/CAPACITY.md uses the lines: a second's arrivals at a router, a hundred times over.
const TARGET_WAITING: usize = 1_024;

/// A choice that has sent so many requests to each upstream and knows a report of each.
pub fn used_choice(seed: u64, upstreams: usize, sent: usize) -> UpstreamSelector {
    let mut choice = UpstreamSelector::new(seed);
    for upstream in (0..upstreams).map(FleetMaker::upstream) {
        choice.reported(&upstream, SETTLED_AT, 9);
        for _ in 0..sent {
            choice.sent(SETTLED_AT, &upstream, None);
            let outcome = CallOutcome::Answered { first_byte_ms: 300, service_ms: 9_000 };
            choice.ended(SETTLED_AT, &upstream, outcome, &[]);
        }
    }
    choice
}

/// Chooses one of the upstreams, all of which take requests.
pub fn judged_choice(choice: &mut UpstreamSelector, upstreams: &[UpstreamId]) -> Option<UpstreamId> {
    choice.choose(SETTLED_AT, upstreams, None, |_| Some(ChoiceCandidate { slots: 16, own_permit: false }))
}

/// Measures routing.
pub(crate) fn routing_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let mut rows = choice_slopes(plan);
    rows.extend(queue_slopes(plan));
    rows
}

fn choice_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let meter = plan.meter();
    let (mut by_replicas, mut by_upstreams, mut none, mut own, mut ended) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let view = plan.maker().view(0, plan.size(350));
    for size in plan.sizes(&[4, 25, 100, 1_000]) {
        let upstreams: Vec<UpstreamId> = (0..size).map(FleetMaker::upstream).collect();
        let mut choice = used_choice(plan.seed, plan.size(6_300), 2);
        let point = |value| SlopePoint::new(size, value);
        by_replicas.push(point(meter.micros(|| {
            black_box(judged_choice(&mut choice, &upstreams));
        })));
        none.push(point(meter.micros(|| {
            black_box(choice.choose(SETTLED_AT, &upstreams, None, |_| None));
        })));
        let rows = FleetMaker::upstreams(size);
        let mut permits = settled_permits(&member_of(&view, true), &view, &rows);
        use_all(&mut permits, &rows);
        own.push(point(meter.micros(|| {
            black_box(choice.choose(SETTLED_AT, &upstreams, None, |upstream| {
                let free = permits.own_free(upstream, SETTLED_AT) > 0;
                free.then_some(ChoiceCandidate { slots: 16, own_permit: true })
            }));
        })));
        let outcome = CallOutcome::Answered { first_byte_ms: 300, service_ms: 9_000 };
        ended.push(point(meter.micros(|| {
            choice.sent(SETTLED_AT, &upstreams[0], None);
            choice.ended(SETTLED_AT, &upstreams[0], outcome, &upstreams);
        })));
    }
    for size in plan.sizes(UPSTREAM_SIZES) {
        let upstreams: Vec<UpstreamId> = (0..size.min(25)).map(FleetMaker::upstream).collect();
        let mut choice = used_choice(plan.seed, size, 2);
        let micros = meter.micros(|| {
            black_box(judged_choice(&mut choice, &upstreams));
        });
        by_upstreams.push(SlopePoint::new(size, micros));
    }
    let (micros, mechanism) = (SlopeUnit::Micros, "cowslip_routing::UpstreamChoice::choose");
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
            "replicas of the model, none of which takes the request",
            micros,
            mechanism,
            25,
            none,
        ),
        SlopeRow::new(
            "routing.choose_own",
            "replicas of the model (350 members; only an own permit is accepted)",
            micros,
            "cowslip_router::dispatch_pump::next_turn",
            25,
            own,
        ),
        SlopeRow::new(
            "routing.sent_ended",
            replicas,
            micros,
            "cowslip_routing::UpstreamChoice::ended",
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
        row("routing.refuse_hopeless", "cowslip_routing::RequestQueue::refuse_hopeless", refuse),
        row("routing.demand", "cowslip_routing::RequestQueue::demand", demand),
    ]
}

fn push(queue: &mut RequestQueue, at: usize) {
    let target = WaitTarget::Model(FleetMaker::model(at % 250));
    let deadline: ClockTime = SETTLED_AT.plus_ms(10_000);
    let team = Some(FleetMaker::team(at % 5));
    // The queue has no limit here.
    let _ = queue.push(team, RequestClass::Urgent, target, TokenCount::new(700), SETTLED_AT, deadline);
}
