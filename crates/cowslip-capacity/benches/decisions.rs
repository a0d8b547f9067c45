//! Benchmarks of admission, routing and placement at three fleet sizes: 50 models on 12 upstreams, 250 on
//! 600, and 250 models with 8,750 adapters on 6,300.

use std::hint::black_box;
use std::time::Duration;

use cowslip_capacity::{
    FleetGenerator, PlannerFixture, SETTLED_AT, acquire_each, choose_any, member_of, settled_permits,
    settled_shares, warmed_selector,
};
use cowslip_fleet::PermitStep;
use cowslip_messages::{DemandReport, TableVersion};
use cowslip_units::{TokenCount, UpstreamId};
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};

const SEED: u64 = 1;

/// Size of a fleet to measure.
#[derive(Clone, Copy)]
struct FleetSize {
    name: &'static str,
    members: usize,
    models: usize,
    adapters: usize,
    upstreams: usize,
    teams: usize,
}

const SIZES: [FleetSize; 3] = [
    FleetSize { name: "50 on 12", members: 9, models: 50, adapters: 0, upstreams: 12, teams: 5 },
    FleetSize { name: "250 on 600", members: 50, models: 250, adapters: 0, upstreams: 600, teams: 50 },
    FleetSize {
        name: "9000 on 6300",
        members: 350,
        models: 250,
        adapters: 8_750,
        upstreams: 6_300,
        teams: 500,
    },
];

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("reserve");
    for size in SIZES {
        let view = FleetGenerator::new(SEED).view(0, size.members);
        let team = FleetGenerator::team(0);
        let amount = TokenCount::new(1_200);
        let mut shares = settled_shares(&member_of(&view, true), &view, size.teams);
        group.bench_function(BenchmarkId::new("at home", size.name), |bencher| {
            bencher.iter(|| {
                black_box(shares.reserve(&team, amount, SETTLED_AT));
                shares.return_unused(&team, amount, SETTLED_AT);
            });
        });
    }
    group.finish();
}

fn routing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("dispatch");
    for size in SIZES {
        let view = FleetGenerator::new(SEED).view(0, size.members);
        let rows = FleetGenerator::upstreams(size.upstreams);
        let mut permits = settled_permits(&member_of(&view, true), &view, &rows);
        acquire_each(&mut permits, &rows);
        let mut selector = warmed_selector(SEED, size.upstreams, 2);
        let places = (0..size.upstreams).step_by(size.models.min(size.upstreams));
        let replicas: Vec<UpstreamId> = places.map(FleetGenerator::upstream).collect();
        group.bench_function(BenchmarkId::new("choose and acquire", size.name), |bencher| {
            bencher.iter(|| {
                let Some(upstream) = choose_any(&mut selector, &replicas) else {
                    return;
                };
                match permits.acquire(&upstream, SETTLED_AT) {
                    PermitStep::Granted(permit) => {
                        black_box(permits.finish(permit));
                    }
                    PermitStep::Borrow(call) => {
                        let grant = cowslip_messages::PermitGrant { granted: true, left: 4 };
                        let sequence = call.request.sequence;
                        if let Some(permit) = permits.borrow_answered(&call.lender, sequence, Some(&grant)) {
                            black_box(permits.finish(permit));
                        }
                    }
                    PermitStep::Full => {}
                }
            });
        });
    }
    group.finish();
}

fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("planner step");
    for size in SIZES {
        let members = FleetGenerator::new(SEED).members(size.members);
        let fixture = PlannerFixture::new(size.models, size.adapters, size.upstreams);
        let mut planner = fixture.make(&members);
        let now = PlannerFixture::STARTED_AT.plus_ms(50);
        let report = DemandReport {
            incarnation: members[0].incarnation.clone(),
            sequence: 1,
            table: TableVersion::default(),
            models: vec![PlannerFixture::waiting(fixture.cold_model(0), 0)],
        };
        planner.demand_report(report, now);
        group.bench_function(BenchmarkId::new("one cold model", size.name), |bencher| {
            bencher.iter_batched_ref(
                || planner.clone(),
                |planner| planner.step(now),
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

criterion_group! {
    name = decisions;
    config = Criterion::default()
        .without_plots()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = admission, routing, placement
}
criterion_main!(decisions);
