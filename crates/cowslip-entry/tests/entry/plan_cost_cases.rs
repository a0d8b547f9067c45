//! Processor time of the leader's plan while requests wait for many models, at the size of a large deployment: 320
//! engines for three models each, 1,779 models, 295 gateways.

use cowslip_entry::{
    DemandLine, EngineStatus, GatewayReport, LoadPlanner, PlanStep, ServiceRule, StoreLimit, UpstreamEntry,
};
use cowslip_runtime::thread_time_us;
use rstest::rstest;

use crate::fixtures::{at, engine_rule, entry, model, service};

const GATEWAYS: usize = 295;
const ENGINES: usize = 320;
const MODELS: usize = 1_779;
/// Copies of a model on the disks of engines.
const COPIES: usize = 3;
/// Largest processor time in ms a second that the control of the fleet may take on a VM: 4.4% of a core.
const CONTROL_MS_PER_S: u64 = 44;
/// Plans a second at which a load is ordered within a tenth of a second of its request.
const PLANS_PER_S: u64 = 10;
/// Measured plans.
const PLANS: u64 = 20;

fn model_name(number: usize) -> String {
    format!("m{:04}", number % MODELS)
}

fn engine_entry(number: usize) -> UpstreamEntry {
    let held: Vec<String> = (0..3).map(|copy| model_name(number + copy * ENGINES)).collect();
    let held: Vec<&str> = held.iter().map(String::as_str).collect();
    let mut entry = entry(&format!("e{number:03}"), "s", &held);
    entry.slots = 12;
    let is_here = |of: &usize| (0..COPIES).any(|copy| (of + copy * 107) % ENGINES == number);
    entry.on_disk = (0..MODELS).filter(is_here).map(|of| model(&model_name(of))).collect();
    entry
}

/// A planner that knows the status of all engines.
fn planner(entries: &[UpstreamEntry], services: &[ServiceRule]) -> LoadPlanner {
    let mut planner = LoadPlanner::new(StoreLimit { at_once: 4, extra: 3 }, at(0), at(0));
    planner.sync(entries.iter(), |entry| entry.draining, at(0));
    planner.step(services, at(0));
    for entry in entries {
        let status = EngineStatus {
            models: entry.models.clone(),
            pending: Vec::new(),
            busy: false,
            orders: 0,
            born: entry.born,
        };
        planner.status(&entry.id, Some(status), at(10));
    }
    planner
}

/// Each gateway reports the requests that wait there.
fn report_waiting(planner: &mut LoadPlanner, waiting: usize, millis: u64) {
    for gateway in 0..GATEWAYS {
        let of_gateway = (0..waiting).filter(|number| number % GATEWAYS == gateway);
        let demand = of_gateway.map(|number| DemandLine {
            model: model(&model_name(ENGINES * 3 + number)),
            adapter: None,
            arrived: 1,
            waiting: 1,
            oldest_ms: 100,
            priority: 1,
        });
        let report = GatewayReport {
            gateway: format!("g{gateway:03}").into(),
            demand: demand.collect(),
            ..GatewayReport::default()
        };
        planner.record_report(report, at(millis));
    }
}

/// Guards against plans that take so long under a backlog that the next orders come late, which adds to the backlog.
#[rstest]
#[case::some_models_wait(64)]
#[case::more_models_wait_than_engines_can_load(600)]
fn a_plan_under_a_backlog_takes_its_share_of_the_processor(#[case] waiting: usize) {
    let entries: Vec<UpstreamEntry> = (0..ENGINES).map(engine_entry).collect();
    let names: Vec<String> = (0..MODELS).map(model_name).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut rule = engine_rule(&names);
    rule.memory_mb = 310.0;
    rule.slots = 12;
    let services = vec![service("s", Some(rule))];
    let mut planner = planner(&entries, &services);
    report_waiting(&mut planner, waiting, 1_000);
    let orders = planner.step(&services, at(1_000));
    let ordered = orders.iter().filter(|step| matches!(step, PlanStep::Order(_))).count();
    assert!(ordered >= waiting.min(ENGINES) / 2, "{ordered} orders for {waiting} models");
    let before_us = thread_time_us();
    for plan in 0..PLANS {
        // Entries come in all the time; the orders of the first plan are under way.
        planner.sync(entries.iter(), |entry| entry.draining, at(1_010 + plan));
        planner.step(&services, at(1_010 + plan));
    }
    let plan_us = (thread_time_us() - before_us) / PLANS;
    let allowed_us = CONTROL_MS_PER_S * 1_000 / PLANS_PER_S;
    assert!(plan_us <= allowed_us, "a plan takes {plan_us} µs of processor time, {allowed_us} are allowed");
}
