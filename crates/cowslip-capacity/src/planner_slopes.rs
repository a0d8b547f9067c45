//! Cost of the ledger and the planner.

use std::hint::black_box;

use cowslip_messages::{DemandReport, MemberEntry, PlacementTable, TableVersion};
use cowslip_placement::PlacementPlanner;
use cowslip_router::PlacementIndex;
use cowslip_units::ClockTime;

use crate::permit_slopes::UPSTREAM_SIZES;
use crate::planner_fixture::{MeasuredPlanner, issuer};
use crate::routing_slopes::warmed_selector;
use crate::share_fixtures::{SETTLED_AT, member_of, settled_permits};
use crate::view_slopes::MEMBER_SIZES;
use crate::{FleetGenerator, PlannerFixture, RunPlan, SlopePoint, SlopeRow, SlopeUnit, json_bytes};

/// Requests in flight at one router at the target: 1.8 M tokens/s at 37 ms each over 350 routers.
pub(crate) const TARGET_STREAMS: usize = 190;

const STEP: &str = "cowslip_placement::PlacementPlanner::step";

/// Measures ledger and planner by upstreams, waiting models, names and demand.
pub(crate) fn planner_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let mut rows = upstream_slopes(plan);
    rows.extend(step_slopes(plan));
    rows.extend(name_slopes(plan));
    rows.extend(demand_slopes(plan));
    rows
}

fn members(plan: &RunPlan) -> Vec<MemberEntry> {
    plan.generator().members(plan.size(350))
}

fn shortly_after_start() -> ClockTime {
    PlannerFixture::STARTED_AT.plus_ms(50)
}

fn upstream_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let (meter, members) = (plan.meter(), members(plan));
    let (mut idle, mut report, mut listed, mut sheet) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut adopt, mut table) = (Vec::new(), Vec::new());
    for size in plan.sizes(UPSTREAM_SIZES) {
        let point = |value| SlopePoint::new(size, value);
        let fixture = PlannerFixture::new(250, plan.size(9_000), size);
        let mut planner = fixture.make(&members);
        idle.push(point(meter.micros(|| {
            black_box(planner.step(shortly_after_start()));
        })));
        let reports: Vec<_> =
            (0..size).map(|at| fixture.report(&planner, at, shortly_after_start())).collect();
        let (mut at, mut now) = (0, shortly_after_start());
        report.push(point(meter.micros(|| {
            at = (at + 1) % size;
            now = now.plus_ms(1);
            let mut report = reports[at].clone();
            report.sequence = now.millis();
            planner.upstream_report(&FleetGenerator::upstream(at), report, now, now);
        })));
        let list = fixture.listed();
        listed.push(point(meter.micros(|| planner.set_listed(&list, now))));
        table.push(point(meter.micros(|| {
            black_box(planner.table(now));
        })));
        let new_sheet = FleetGenerator::sheet(250, plan.size(9_000), size, 5);
        sheet.push(point(meter.micros_on(
            || (planner.clone(), new_sheet.clone()),
            |(planner, sheet)| planner.set_sheet(std::mem::take(sheet), now),
        )));
        let rows = fixture.rows();
        adopt.push(point(meter.micros_on(
            || {
                let mut planner = PlacementPlanner::new(cowslip_placement::KeepWarmPolicy::new(), issuer());
                planner.set_sheet(new_sheet.clone(), now);
                (planner, rows.clone())
            },
            |(planner, rows)| planner.adopt(std::mem::take(rows), now),
        )));
    }
    let (by, micros) = ("upstreams (250 models, 9,000 adapters, one replica each)", SlopeUnit::Micros);
    let row = |name, mechanism, points| SlopeRow::new(name, by, micros, mechanism, 6_300, points);
    vec![
        row("planner.step_idle", STEP, idle),
        row("planner.report", "cowslip_placement::PlacementPlanner::upstream_report", report),
        row("planner.set_listed", "cowslip_placement::PlacementPlanner::set_listed", listed),
        row("planner.set_sheet", "cowslip_placement::PlacementPlanner::set_sheet", sheet),
        row("planner.adopt", "cowslip_placement::PlacementPlanner::adopt", adopt),
        row("planner.table", "cowslip_placement::PlacementPlanner::table", table),
    ]
}

/// Adds a demand report of one router in which `count` cold models wait, for `oldest_ms` each.
fn report_waiting(
    planner: &mut MeasuredPlanner,
    fixture: &PlannerFixture,
    members: &[MemberEntry],
    count: usize,
    oldest_ms: u64,
    now: ClockTime,
) {
    let mut models: Vec<_> =
        (0..count).map(|at| PlannerFixture::waiting(fixture.cold_model(at), oldest_ms)).collect();
    models.sort_by(|one, other| one.model.cmp(&other.model));
    let router = members[0].incarnation.clone();
    planner.demand_report(
        DemandReport { incarnation: router, sequence: u64::MAX, table: TableVersion::default(), models },
        now,
    );
}

/// Builds a planner whose memory is filled by replicas in use, with models waiting for memory.
pub(crate) fn full_planner(
    members: &[MemberEntry],
    upstreams: usize,
    waiting: usize,
    oldest_ms: u64,
) -> (MeasuredPlanner, ClockTime) {
    let fixture = PlannerFixture { cold: waiting, replicas: 2, ..PlannerFixture::new(250, 250, upstreams) };
    let mut planner = fixture.make(members);
    let now = PlannerFixture::STARTED_AT.plus_ms(60_000);
    for (router, member) in members.iter().enumerate().skip(1) {
        let mut models = Vec::new();
        for upstream in (router - 1..upstreams).step_by(members.len().max(2) - 1) {
            (0..2).for_each(|replica| fixture.add_stream(&mut models, upstream, replica));
        }
        let incarnation = member.incarnation.clone();
        planner.demand_report(
            DemandReport { incarnation, sequence: 1, table: TableVersion::default(), models },
            now,
        );
    }
    fixture.report_all(&mut planner, now);
    report_waiting(&mut planner, &fixture, members, waiting, oldest_ms, now);
    (planner, now)
}

fn step_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let (meter, members) = (plan.meter(), members(plan));
    let (mut wake, mut silent, mut full, mut full_new) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for size in plan.sizes(UPSTREAM_SIZES) {
        let point = |value| SlopePoint::new(size, value);
        let fixture = PlannerFixture::new(250, plan.size(9_000), size);
        let mut planner = fixture.make(&members);
        report_waiting(&mut planner, &fixture, &members, 1, 0, shortly_after_start());
        wake.push(point(meter.micros_on(|| planner.clone(), |planner| planner.step(shortly_after_start()))));
        let late = PlannerFixture::STARTED_AT.plus_ms(1_500);
        silent.push(point(meter.micros_on(|| planner.clone(), |planner| planner.step(late))));
        let (planner, now) = full_planner(&members, size, plan.size(64), 1_000);
        full_new.push(point(meter.micros_on(|| planner.clone(), |planner| planner.step(now))));
        let (planner, now) = full_planner(&members, size, plan.size(64), 20_000);
        full.push(point(meter.micros_on(|| planner.clone(), |planner| planner.step(now))));
    }
    let mut waiting = Vec::new();
    for size in plan.sizes(&[1, 16, 32, 64]) {
        let fixture =
            PlannerFixture { cold: size, ..PlannerFixture::new(250, plan.size(9_000), plan.size(6_300)) };
        let mut planner = fixture.make(&members);
        report_waiting(&mut planner, &fixture, &members, size, 0, shortly_after_start());
        waiting.push(SlopePoint::new(
            size,
            meter.micros_on(|| planner.clone(), |planner| planner.step(shortly_after_start())),
        ));
    }
    let micros = SlopeUnit::Micros;
    vec![
        SlopeRow::new("planner.step_wake", "upstreams (one cold model waits)", micros, STEP, 6_300, wake),
        SlopeRow::new(
            "planner.step_silent",
            "upstreams (one cold model waits, no upstream has reported for 1.5 s)",
            micros,
            "cowslip_placement::engine_table::EngineTable::with_free_memory",
            6_300,
            silent,
        ),
        SlopeRow::new(
            "planner.step_full_new",
            "upstreams (64 models wait for 1 s, all memory used by replicas in use)",
            micros,
            "cowslip_placement::planner_places::estimate_places",
            6_300,
            full_new,
        ),
        SlopeRow::new(
            "planner.step_full",
            "upstreams (64 models wait for 20 s, all memory used by replicas in use)",
            micros,
            "cowslip_placement::planner_places::preempt_busy_replica",
            6_300,
            full,
        ),
        SlopeRow::new(
            "planner.step_waiting",
            "cold models that wait (6,300 upstreams; a step tries at most 64)",
            micros,
            STEP,
            64,
            waiting,
        ),
    ]
}

/// Measures by number of models and adapters, including the size of the placement table.
fn name_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let (meter, members) = (plan.meter(), members(plan));
    let (mut wake, mut bytes, mut read, mut index) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for size in plan.sizes(&[40, 2_000, 5_000, 9_000]) {
        let point = |value| SlopePoint::new(size, value);
        let fixture =
            PlannerFixture { warm_adapters: size, ..PlannerFixture::new(250, size, plan.size(6_300)) };
        let mut planner = fixture.make(&members);
        report_waiting(&mut planner, &fixture, &members, 1, 0, shortly_after_start());
        wake.push(point(meter.micros_on(|| planner.clone(), |planner| planner.step(shortly_after_start()))));
        let table = planner.table(shortly_after_start());
        bytes.push(point(json_bytes(&table)));
        index.push(point(index_micros(plan, &table)));
        let text = serde_json::to_string(&table).unwrap_or_default();
        read.push(point(meter.micros(|| {
            black_box(serde_json::from_str::<PlacementTable>(&text).ok());
        })));
    }
    let (mut by_model, mut by_upstream) = (Vec::new(), Vec::new());
    for size in plan.sizes(&[50, 100, 250]) {
        let fixture = PlannerFixture::new(size, plan.size(9_000), plan.size(6_300));
        let mut planner = fixture.make(&members);
        report_waiting(&mut planner, &fixture, &members, 1, 0, shortly_after_start());
        let micros = meter.micros_on(|| planner.clone(), |planner| planner.step(shortly_after_start()));
        by_model.push(SlopePoint::new(size, micros));
    }
    for size in plan.sizes(UPSTREAM_SIZES) {
        let planner = PlannerFixture::new(250, 250, size).make(&members);
        by_upstream.push(SlopePoint::new(size, json_bytes(&planner.table(shortly_after_start()))));
    }
    let (micros, written) = (SlopeUnit::Micros, SlopeUnit::WrittenBytes);
    let table = "cowslip_messages::PlacementTable, call placement_watch";
    vec![
        SlopeRow::new(
            "planner.step_by_adapters",
            "adapters declared and loaded (6,300 upstreams; one cold model waits)",
            micros,
            STEP,
            9_000,
            wake,
        ),
        SlopeRow::new(
            "planner.step_by_models",
            "models (6,300 upstreams; one cold model waits)",
            micros,
            STEP,
            250,
            by_model,
        ),
        SlopeRow::new(
            "table.bytes_by_adapters",
            "adapters loaded (6,300 upstreams)",
            written,
            table,
            9_000,
            bytes,
        ),
        SlopeRow::new(
            "table.bytes_by_upstreams",
            "upstreams, one replica each (no adapters)",
            written,
            table,
            6_300,
            by_upstream,
        ),
        SlopeRow::new(
            "table.index",
            "adapters loaded (6,300 upstreams, 350 members)",
            micros,
            "cowslip_router::PlacementIndex, cowslip_router::leader_link::take_table",
            9_000,
            index,
        ),
        SlopeRow::new("table.read", "adapters loaded (6,300 upstreams)", micros, table, 9_000, read),
    ]
}

/// Measures a router's processing of a parsed placement table: index, ramps and load reports.
fn index_micros(plan: &RunPlan, table: &PlacementTable) -> f64 {
    let view = plan.generator().view(0, plan.size(350));
    let rows = FleetGenerator::upstreams(plan.size(6_300));
    let mut permits = settled_permits(&member_of(&view, true), &view, &rows);
    let mut selector = warmed_selector(plan.seed, plan.size(6_300), 1);
    let mut index = PlacementIndex::default();
    plan.meter().micros(|| {
        index = PlacementIndex::new(table, &index, SETTLED_AT);
        for place in &table.upstreams {
            permits.set_ramp_age(&place.upstream, place.ramp_age_ms, SETTLED_AT);
            if let Some(age_ms) = place.report_age_ms {
                selector.reported(&place.upstream, SETTLED_AT.minus_ms(age_ms), place.queued);
            }
        }
    })
}

fn demand_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let meter = plan.meter();
    let fixture = PlannerFixture::new(250, plan.size(9_000), plan.size(6_300));
    let timed = |routers: usize, streams: usize| {
        let mut generator = plan.generator();
        let members = generator.members(routers);
        let mut planner = fixture.make(&members);
        for member in &members {
            let report = fixture.demand(&mut generator, &member.incarnation, 1, streams);
            planner.demand_report(report, shortly_after_start());
        }
        let mut sequence = 1;
        let reports: Vec<_> = members
            .iter()
            .map(|member| fixture.demand(&mut generator, &member.incarnation, 1, streams))
            .collect();
        let micros = meter.micros(|| {
            sequence += 1;
            let mut report = reports[usize::try_from(sequence).unwrap_or_default() % reports.len()].clone();
            report.sequence = sequence;
            black_box(planner.demand_report(report, shortly_after_start()));
        });
        (micros, json_bytes(&reports[0]))
    };
    let (mut by_routers, mut by_streams, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for size in plan.sizes(MEMBER_SIZES) {
        by_routers.push(SlopePoint::new(size, timed(size, plan.size(TARGET_STREAMS)).0));
    }
    for size in plan.sizes(&[10, 60, TARGET_STREAMS]) {
        let (micros, written) = timed(plan.size(350), size);
        by_streams.push(SlopePoint::new(size, micros));
        bytes.push(SlopePoint::new(size, written));
    }
    let (micros, mechanism) = (SlopeUnit::Micros, "cowslip_placement::PlacementPlanner::demand_report");
    let streams = "requests in flight at the router (350 routers, 6,300 upstreams)";
    vec![
        SlopeRow::new(
            "demand.by_routers",
            "routers that report 190 requests in flight each (6,300 upstreams)",
            micros,
            mechanism,
            350,
            by_routers,
        ),
        SlopeRow::new("demand.by_streams", streams, micros, mechanism, TARGET_STREAMS, by_streams),
        SlopeRow::new(
            "demand.bytes",
            streams,
            SlopeUnit::WrittenBytes,
            "cowslip_messages::DemandReport, call demand",
            TARGET_STREAMS,
            bytes,
        ),
    ]
}
