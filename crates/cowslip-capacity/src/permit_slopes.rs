//! Cost of upstream permits.

use std::hint::black_box;

use cowslip_config::UpstreamRow;
use cowslip_fleet::{PermitStep, UpstreamPermits, compose_report};
use cowslip_messages::FleetChange;

use crate::share_fixtures::{
    SETTLED_AT, acquire_each, member_of, permit_report, settled_permits, settled_shares,
};
use crate::view_slopes::{MEMBER_SIZES, record};
use crate::{FleetGenerator, RunPlan, SlopePoint, SlopeRow, SlopeUnit, json_bytes};

/// Numbers of upstreams to measure; the last one is the target.
pub(crate) const UPSTREAM_SIZES: &[usize] = &[12, 600, 2_100, 6_300];

/// Measures permits by number of upstreams and of members.
pub(crate) fn permit_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let meter = plan.meter();
    let (mut warm, mut cold, mut all, mut configure) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut receive, mut report, mut compose) = (Vec::new(), Vec::new(), Vec::new());
    for size in plan.sizes(UPSTREAM_SIZES) {
        let point = |value| SlopePoint::new(size, value);
        let view = plan.generator().view(0, plan.size(350));
        let (own, peer) = (member_of(&view, true), member_of(&view, false));
        let rows = FleetGenerator::upstreams(size);
        let fresh = settled_permits(&own, &view, &rows);
        cold.push(point(meter.micros_on(|| fresh.clone(), |permits| acquire_one(permits, &rows, size / 2))));
        all.push(point(meter.micros_on(|| fresh.clone(), |permits| acquire_each(permits, &rows))));
        configure.push(point(
            meter.micros_on(|| fresh.clone(), |permits| permits.configure(&view, &rows, SETTLED_AT)),
        ));
        let mut permits = fresh;
        acquire_each(&mut permits, &rows);
        let mut at = 0;
        warm.push(point(meter.micros(|| {
            at = (at + 7_919) % size;
            acquire_one(&mut permits, &rows, at);
        })));
        let message = permit_report(&peer, &[]);
        receive.push(point(meter.micros(|| permits.on_report(&message))));
        let mut shares = settled_shares(&own, &view, 0);
        report.push(point(json_bytes(&compose_report(
            &own,
            &peer,
            &view,
            &mut shares,
            &mut permits,
            SETTLED_AT,
        ))));
        compose.push(point(meter.micros(|| {
            black_box(compose_report(&own, &peer, &view, &mut shares, &mut permits, SETTLED_AT));
        })));
    }
    let (by, micros) = ("upstreams (350 members, 16 slots, all in use)", SlopeUnit::Micros);
    let mut rows = vec![
        SlopeRow::new("permits.acquire", by, micros, "cowslip_fleet::UpstreamPermits::acquire", 6_300, warm),
        SlopeRow::new(
            "permits.acquire_first",
            "upstreams (350 members, 16 slots, first request since a change of members)",
            micros,
            "cowslip_fleet::PermitMap::new",
            6_300,
            cold,
        ),
        SlopeRow::new(
            "permits.acquire_all",
            "upstreams used since a change of members (350 members, 16 slots)",
            micros,
            "cowslip_fleet::PermitMap::new",
            6_300,
            all,
        ),
        SlopeRow::new(
            "permits.configure",
            "upstreams (350 members, 16 slots)",
            micros,
            "cowslip_fleet::UpstreamPermits::configure",
            6_300,
            configure,
        ),
        SlopeRow::new(
            "permits.heard",
            "upstreams in the table of the receiver of a report without hints",
            micros,
            "cowslip_fleet::UpstreamPermits::on_report",
            6_300,
            receive,
        ),
        SlopeRow::new(
            "permits.report_bytes",
            by,
            SlopeUnit::WrittenBytes,
            "cowslip_fleet::UpstreamPermits::hints",
            6_300,
            report,
        ),
        SlopeRow::new("permits.compose", by, micros, "cowslip_fleet::UpstreamPermits::hints", 6_300, compose),
    ];
    rows.extend(member_slopes(plan));
    rows
}

fn member_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let meter = plan.meter();
    let (mut warm, mut all) = (Vec::new(), Vec::new());
    let rows = FleetGenerator::upstreams(plan.size(6_300));
    for size in plan.sizes(MEMBER_SIZES) {
        let point = |value| SlopePoint::new(size, value);
        let view = plan.generator().view(0, size);
        let own = member_of(&view, true);
        let fresh = settled_permits(&own, &view, &rows);
        all.push(point(meter.micros_on(|| fresh.clone(), |permits| acquire_each(permits, &rows))));
        let mut permits = fresh;
        acquire_each(&mut permits, &rows);
        let mut at = 0;
        warm.push(point(meter.micros(|| {
            at = (at + 7_919) % rows.len();
            acquire_one(&mut permits, &rows, at);
        })));
    }
    let by_lists = plan.sizes(&[1, 10, 20, 41]).into_iter().map(|size| list_point(plan, size)).collect();
    let (by, micros) = ("members (6,300 upstreams, all in use)", SlopeUnit::Micros);
    vec![
        SlopeRow::new(
            "permits.acquire_by_members",
            by,
            micros,
            "cowslip_fleet::UpstreamPermits::acquire",
            350,
            warm,
        ),
        SlopeRow::new(
            "permits.acquire_all_by_members",
            by,
            micros,
            "cowslip_fleet::PermitMap::new",
            350,
            all,
        ),
        SlopeRow::new(
            "permits.acquire_first_by_lists",
            "member lists in force at the same time (350 members, first request since the last change)",
            micros,
            "cowslip_fleet::share_queue::PendingValues",
            41,
            by_lists,
        ),
    ]
}

/// Measures the first use of an upstream while `lists` member lists are in force at the same time, as during
/// a restart of all VMs.
fn list_point(plan: &RunPlan, lists: usize) -> SlopePoint {
    let mut generator = plan.generator();
    let view = generator.view(0, plan.size(350));
    let own = member_of(&view, true);
    let rows = FleetGenerator::upstreams(10);
    let mut permits = settled_permits(&own, &view, &rows);
    let mut members = view.members().to_vec();
    let mut view = view;
    for at in 1..lists {
        // The VM's own entry is never replaced.
        let at =
            members.iter().position(|member| member.incarnation != own).map_or(0, |first| first + at % 8);
        if let Some(member) = members.get_mut(at)
            && member.incarnation != own
        {
            *member = generator.member(at);
        }
        let change = FleetChange::MembersSet { members: members.clone() };
        view.apply(&record(view.version().get() + 1, change));
        permits.configure(&view, &rows, SETTLED_AT);
    }
    let micros = plan.meter().micros_on(|| permits.clone(), |permits| acquire_one(permits, &rows, 5));
    SlopePoint::new(lists, micros)
}

/// Acquires one permit, own or borrowed, and releases it.
fn acquire_one(permits: &mut UpstreamPermits, rows: &[UpstreamRow], at: usize) {
    let Some(row) = rows.get(at) else {
        return;
    };
    let permit = match permits.acquire(&row.upstream, SETTLED_AT) {
        PermitStep::Granted(permit) => Some(permit),
        PermitStep::Borrow(call) => {
            let grant = cowslip_messages::PermitGrant { granted: true, left: 4 };
            permits.borrow_answered(&call.lender, call.request.sequence, Some(&grant))
        }
        PermitStep::Full => None,
    };
    if let Some(permit) = permit {
        permits.start(&permit, SETTLED_AT);
        black_box(permits.finish(permit));
    }
}
