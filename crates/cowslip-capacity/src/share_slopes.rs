//! Cost of team shares and of reports between routers.

use std::hint::black_box;

use cowslip_fleet::{ReserveStep, UpstreamPermits, compose_report};
use cowslip_messages::{TokenGrant, TokenRequest};
use cowslip_units::{ClockTime, TokenCount, ViewVersion};

use crate::share_fixtures::{SETTLED_AT, converged_tracker, member_of, settled_shares};
use crate::view_slopes::MEMBER_SIZES;
use crate::{FleetGenerator, RunPlan, SlopePoint, SlopeRow, SlopeUnit, json_bytes};

/// Numbers of teams to measure. The design gives no target; 500 is assumed.
const TEAM_SIZES: &[usize] = &[5, 50, 500, 2_000];
/// Assumed number of teams at the target.
pub(crate) const TARGET_TEAMS: usize = 500;

/// A request larger than the own share of a bucket owner and than the tokens available at another member.
const AMOUNT: TokenCount = TokenCount::new(1_200);

/// Measures team shares by teams, members and loans.
pub(crate) fn share_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let mut rows = Vec::new();
    let members = plan.size(350);
    let by = "teams (350 members)";
    let (mut reserve, mut tick, mut configure, mut bytes) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let mut compose = Vec::new();
    for size in plan.sizes(TEAM_SIZES) {
        let point = |value| SlopePoint::new(size, value);
        reserve.push(point(reserve_micros(plan, members, size)));
        tick.push(point(tick_micros(plan, members, size)));
        configure.push(point(configure_micros(plan, members, size)));
        bytes.push(point(report_of(plan, members, size).0));
        compose.push(point(compose_micros(plan, members, size)));
    }
    let micros = SlopeUnit::Micros;
    rows.push(SlopeRow::new(
        "shares.reserve",
        by,
        micros,
        "cowslip_fleet::TeamShares::reserve",
        TARGET_TEAMS,
        reserve,
    ));
    rows.push(SlopeRow::new(
        "shares.tick",
        by,
        micros,
        "cowslip_fleet::TeamShares::tick",
        TARGET_TEAMS,
        tick,
    ));
    rows.push(SlopeRow::new(
        "shares.configure",
        by,
        micros,
        "cowslip_fleet::TeamShares::configure",
        TARGET_TEAMS,
        configure,
    ));
    rows.push(SlopeRow::new(
        "shares.report_bytes",
        by,
        SlopeUnit::WrittenBytes,
        "cowslip_fleet::compose_report",
        TARGET_TEAMS,
        bytes,
    ));
    rows.push(SlopeRow::new(
        "shares.compose",
        by,
        micros,
        "cowslip_fleet::compose_report",
        TARGET_TEAMS,
        compose,
    ));
    rows.extend(member_slopes(plan));
    rows.extend(loan_slope(plan));
    rows
}

fn member_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let teams = plan.size(TARGET_TEAMS);
    let (mut reserve, mut borrow, mut tick) = (Vec::new(), Vec::new(), Vec::new());
    let (mut configure, mut bytes) = (Vec::new(), Vec::new());
    for size in plan.sizes(MEMBER_SIZES) {
        let point = |value| SlopePoint::new(size, value);
        reserve.push(point(reserve_micros(plan, size, teams)));
        borrow.push(point(borrow_micros(plan, size, teams)));
        tick.push(point(tick_micros(plan, size, teams)));
        configure.push(point(configure_micros(plan, size, teams)));
        // The VM owns a bucket of about 8 in `size` of the teams, with random variation.
        let (written, hints) = report_of(plan, size, teams);
        bytes.push(SlopePoint::new(hints, written));
    }
    let (by, micros) = ("members (500 teams)", SlopeUnit::Micros);
    vec![
        SlopeRow::new(
            "shares.reserve_by_members",
            by,
            micros,
            "cowslip_fleet::TeamShares::reserve",
            350,
            reserve,
        ),
        SlopeRow::new(
            "shares.borrow_by_members",
            "members (500 teams; plan, processing of two grants, reserve again)",
            micros,
            "cowslip_fleet::TeamShares::borrow_answered",
            350,
            borrow,
        ),
        SlopeRow::new("shares.tick_by_members", by, micros, "cowslip_fleet::TeamShares::tick", 350, tick),
        SlopeRow::new(
            "shares.configure_by_members",
            by,
            micros,
            "cowslip_fleet::BucketOwners::new",
            350,
            configure,
        ),
        SlopeRow::new(
            "shares.report_bytes_by_homes",
            "teams of which the VM is a bucket owner (500 teams; 9, 50, 150 and 350 members)",
            SlopeUnit::WrittenBytes,
            "cowslip_fleet::compose_report",
            11,
            bytes,
        ),
    ]
}

/// Reserves tokens at a bucket owner and returns them.
fn reserve_micros(plan: &RunPlan, members: usize, teams: usize) -> f64 {
    let view = plan.generator().view(0, members);
    let own = member_of(&view, true);
    let mut shares = settled_shares(&own, &view, teams);
    let team = FleetGenerator::team(0);
    plan.meter().micros(|| {
        black_box(shares.reserve(&team, AMOUNT, SETTLED_AT));
        shares.return_unused(&team, AMOUNT, SETTLED_AT);
    })
}

/// Borrows the tokens of one request and reserves them.
fn borrow_micros(plan: &RunPlan, members: usize, teams: usize) -> f64 {
    let view = plan.generator().view(0, members);
    let own = member_of(&view, false);
    let mut shares = settled_shares(&own, &view, teams);
    let team = FleetGenerator::team(0);
    plan.meter().micros(|| {
        if let ReserveStep::Borrow(calls) = shares.reserve(&team, AMOUNT, SETTLED_AT) {
            for call in calls {
                let grant = TokenGrant { granted: call.request.amount, left: TokenCount::new(4_500) };
                shares.borrow_answered(&call.lender, call.request.sequence, Some(&grant), SETTLED_AT);
            }
            black_box(shares.reserve(&team, AMOUNT, SETTLED_AT));
        }
    })
}

fn tick_micros(plan: &RunPlan, members: usize, teams: usize) -> f64 {
    let view = plan.generator().view(0, members);
    let own = member_of(&view, true);
    let mut shares = settled_shares(&own, &view, teams);
    let tracker = converged_tracker(&own, &view);
    plan.meter().micros(|| shares.tick(&tracker, SETTLED_AT))
}

fn configure_micros(plan: &RunPlan, members: usize, teams: usize) -> f64 {
    let view = plan.generator().view(0, members);
    let own = member_of(&view, true);
    let rows = FleetGenerator::teams(teams);
    let shares = settled_shares(&own, &view, teams);
    plan.meter().micros_on(|| shares.clone(), |shares| shares.configure(&view, &rows, SETTLED_AT))
}

/// Returns the size of a report without permits in bytes, and its number of token hints.
fn report_of(plan: &RunPlan, members: usize, teams: usize) -> (f64, usize) {
    let view = plan.generator().view(0, members);
    let (own, peer) = (member_of(&view, true), member_of(&view, false));
    let mut shares = settled_shares(&own, &view, teams);
    let mut permits = UpstreamPermits::new(own.clone());
    let report = compose_report(&own, &peer, &view, &mut shares, &mut permits, SETTLED_AT);
    (json_bytes(&report), report.tokens.len())
}

/// Measures composing a report without permits.
fn compose_micros(plan: &RunPlan, members: usize, teams: usize) -> f64 {
    let view = plan.generator().view(0, members);
    let (own, peer) = (member_of(&view, true), member_of(&view, false));
    let mut shares = settled_shares(&own, &view, teams);
    let mut permits = UpstreamPermits::new(own.clone());
    plan.meter().micros(|| {
        black_box(compose_report(&own, &peer, &view, &mut shares, &mut permits, SETTLED_AT));
    })
}

/// Measures lending. A lender keeps each loan for about a second and scans all of them at each call.
fn loan_slope(plan: &RunPlan) -> Vec<SlopeRow> {
    let mut points = Vec::new();
    for size in plan.sizes(&[20, 200, 1_000, 4_000]) {
        let view = plan.generator().view(0, plan.size(350));
        let own = member_of(&view, true);
        let mut shares = settled_shares(&own, &view, plan.size(TARGET_TEAMS));
        let borrower = member_of(&view, false);
        let mut sequence = 0;
        let mut lend = |now: ClockTime| {
            sequence += 1;
            let request = TokenRequest {
                borrower: borrower.clone(),
                team: FleetGenerator::team(0),
                sequence,
                amount: TokenCount::new(1),
                settled: Vec::new(),
                version: ViewVersion::new(1),
            };
            black_box(shares.lend(&request, true, now));
        };
        // With a loan each 1/size of the time for which loans are kept, `size` loans are outstanding.
        let mut millionths: u64 = SETTLED_AT.millis() * 1_000;
        let pace = 1_022_000 / u64::try_from(size).unwrap_or(1);
        let mut step = || {
            millionths += pace;
            lend(ClockTime::new(millionths / 1_000));
        };
        (0..2 * size).for_each(|_| step());
        points.push(SlopePoint::new(size, plan.meter().micros(step)));
    }
    vec![SlopeRow::new(
        "shares.lend",
        "loans outstanding at the lender (350 members, 500 teams)",
        SlopeUnit::Micros,
        "cowslip_fleet::TeamShares::lend",
        237,
        points,
    )]
}
