//! Cost of models and adapters that become used.

use crate::{RunPlan, SlopePoint, SlopeRow, SlopeUnit, WakeCounts, WakeRun};

/// Share of models and adapters that become used per hour.
const HOURLY_SHARE: f64 = 0.082;

/// Simulates an hour at three fleet sizes and counts.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn wake_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let length_ms = if plan.quick { 600_000 } else { 3_600_000 };
    let fleets = if plan.quick {
        [(50, 150, 12), (100, 300, 12), (100, 600, 12)]
    } else {
        [(50, 40, 12), (250, 2_000, 600), (250, 9_000, 600)]
    };
    let counts: Vec<WakeCounts> = fleets
        .into_iter()
        .map(|(models, adapters, upstreams)| {
            WakeRun::new(plan.seed, models, adapters, upstreams).run(length_ms, HOURLY_SHARE)
        })
        .collect();
    let row = |name, mechanism, value: fn(&WakeCounts) -> f64| {
        let by = "wakes in an hour; each becomes idle again (50/40/12, 250/2,000/600, 250/9,000/600)";
        let point = |counts: &WakeCounts| {
            SlopePoint::new(usize::try_from(counts.wakes).unwrap_or_default(), value(counts))
        };
        let points = counts.iter().map(point).collect();
        let unit = if name == "wakes.row_bytes" { SlopeUnit::WrittenBytes } else { SlopeUnit::Count };
        SlopeRow::new(name, by, unit, mechanism, 759, points)
    };
    vec![
        row("wakes.transactions", "cowslip_placement::LedgerBatch", |counts| counts.transactions as f64),
        row("wakes.rows_written", "cowslip_placement::LedgerBatch", |counts| {
            (counts.rows_put + counts.rows_deleted) as f64
        }),
        row("wakes.row_bytes", "cowslip_placement::LedgerRow", |counts| counts.row_bytes),
        row("wakes.orders", "cowslip_placement::EngineOrder", |counts| counts.orders as f64),
        row("wakes.table_versions", "cowslip_messages::TableVersion", |counts| counts.table_versions as f64),
        row("wakes.demand_reports", "cowslip_messages::DemandReport", |counts| counts.demand_reports as f64),
        row("wakes.loaded_rows", "cowslip_placement::ReplicaLedger", |counts| counts.loaded_rows as f64),
    ]
}
