//! Demand from gateways that report late or fall silent.

use cowslip_entry::{DemandLine, DemandTable, GatewayReport, RunningLine, report_interval_ms};
use rstest::rstest;

use crate::fixtures::{at, model, upstream};

/// A report of one running call and one waiting request.
fn report(gateway: &str) -> GatewayReport {
    let running = RunningLine { upstream: upstream("e1"), model: Some(model("a")), adapter: None, count: 1 };
    let waiting =
        DemandLine { model: model("b"), adapter: None, arrived: 1, waiting: 1, oldest_ms: 0, priority: 1 };
    GatewayReport {
        gateway: gateway.into(),
        demand: vec![waiting],
        running: vec![running],
        ..GatewayReport::default()
    }
}

fn fleet(size: usize) -> DemandTable {
    let mut demand = DemandTable::new(at(0));
    for number in 0..size {
        demand.record_report(report(&format!("g{number:03}")), at(0));
    }
    demand
}

/// Guards against dropping the calls and waiting requests of a large fleet's gateways between two regular
/// reports.
#[rstest]
#[case::small(8)]
#[case::grown(85)]
#[case::large(300)]
fn a_report_counts_until_the_next_one(#[case] size: usize) {
    let mut demand = fleet(size);
    demand.refresh(at(report_interval_ms(size) + 200));
    let count = size as u32;
    assert_eq!(demand.running_at(&upstream("e1"), &model("a"), None), count);
    assert_eq!(demand.running_elsewhere(&[], |_, _| true), [(upstream("e1"), count)]);
    assert_eq!(demand.get(&model("b")).map(|demand| demand.waiting), Some(count));
}

/// Guards against evicting a model although a silent gateway may still be relaying its streams, and against
/// counting the engines as busy for that long because of a gateway that has died.
#[rstest]
#[case::small(8)]
#[case::large(300)]
fn the_calls_of_a_silent_gateway_keep_their_model(#[case] size: usize) {
    let mut demand = fleet(size);
    demand.refresh(at(10_000));
    assert_eq!(demand.running_at(&upstream("e1"), &model("a"), None), size as u32);
    assert!(demand.running_elsewhere(&[], |_, _| true).is_empty());
    assert_eq!(demand.get(&model("b")).map(|demand| demand.waiting), Some(0));
    demand.refresh(at(30_000));
    assert_eq!(demand.running_at(&upstream("e1"), &model("a"), None), 0);
}
