//! The leader's scaling task: asks [`ServerScaler`] for the numbers of servers, stores them, and sends the orders.
//!
//! An order is sent only after the row with its number is in the store, so that the next leader has it. The row is written
//! under the condition that no other leader has changed it since it was read.

use std::sync::Arc;

use cowslip_entry::{
    DutyAnswer, DutyCall, DutySubject, ScalingAnswer, ScalingInputs, ScalingOrder, ScalingRecord,
    ServerScaler, ServiceLoad,
};
use cowslip_platform::{PlatformError, RowValue, TableService, TableTransaction};
use cowslip_units::{FencingToken, StoreEra};
use slog::{info, warn};

use crate::duty_calls::DutyPermit;
use crate::duty_status::{DutyDecision, record_decision};
use crate::gateway::Gateway;
use crate::plan_task::order_deadline;

/// Key of the row with the numbers.
const SCALING_KEY: &str = "scaling";

/// Interval in ms between two decisions.
const STEP_MS: u64 = 250;

/// Time in ms for which an order waits for its turn among the singleton calls, and interval of the checks.
const TURN_MS: (u64, u64) = (2_000, 100);

/// The scaler of one term as leader, and what it has stored.
#[derive(Debug)]
struct ScalingTerm {
    fence: FencingToken,
    scaler: ServerScaler,
    /// Version of the row; `None` when it is absent.
    version: Option<u64>,
    /// Revision of the scaler's record in the row.
    written: u64,
    era: StoreEra,
}

impl ScalingTerm {
    /// A term that begins with the row of earlier leaders.
    fn new(fence: FencingToken, record: &ScalingRecord, version: Option<u64>, era: StoreEra) -> Self {
        let scaler = ServerScaler::new(fence).with_record(record);
        Self { fence, scaler, version, written: 0, era }
    }
}

/// Decides and orders numbers of servers while this gateway leads, where that is a duty.
pub(crate) async fn scaling_loop(gateway: Arc<Gateway>) {
    if !gateway.settings.cloud.as_ref().is_some_and(|cloud| cloud.scales) {
        return;
    }
    let mut term: Option<ScalingTerm> = None;
    loop {
        gateway.clock.sleep_ms(STEP_MS).await;
        let Some(fence) = leading_fence(&gateway) else { continue };
        if term.as_ref().is_none_or(|term| term.fence != fence) {
            term = begin_term(&gateway, fence).await;
        }
        let Some(current) = term.as_mut() else { continue };
        observe_era(&gateway, current).await;
        let Some(inputs) = scaling_inputs(&gateway, fence) else { continue };
        let orders = current.scaler.decide(&inputs, gateway.now());
        log_orders(&gateway, &orders, fence);
        if current.scaler.revision() > current.written && !write_record(&gateway, current).await {
            // Another leader may have written the row: it is read again before anything is sent.
            term = None;
            continue;
        }
        for order in orders {
            let answer = send_order(&gateway, &order, fence).await;
            current.scaler.record_answer(&order, answer, gateway.now());
        }
    }
}

/// Fencing token of this gateway while it leads and may send singleton calls.
fn leading_fence(gateway: &Gateway) -> Option<FencingToken> {
    let fence = gateway.lock().lead.as_ref().map(|lead| lead.fence)?;
    order_deadline(gateway, fence).map(|_| fence)
}

/// Reads the row and begins a term; `None` when the store does not answer, or another leader with a higher fencing token
/// has written the row.
async fn begin_term(gateway: &Gateway, fence: FencingToken) -> Option<ScalingTerm> {
    let era = gateway.store.era();
    let row = read_row(gateway).await?;
    let version = row.as_ref().map(|row| row.version);
    let record = row.map_or_else(ScalingRecord::default, |row| decode(gateway, &row));
    if record.fence > fence {
        return None;
    }
    info!(gateway.logger, "scaling_row_read"; "numbers" => record.numbers.len(), "written_by" => record.fence.get(),
        "fence" => fence.get());
    Some(ScalingTerm::new(fence, &record, version, era))
}

/// Outer `None` when the store does not answer.
async fn read_row(gateway: &Gateway) -> Option<Option<RowValue>> {
    let result = gateway.store.read(SCALING_KEY).await;
    gateway.metrics.count_store_call("scaling_read", result.is_err());
    result.map_err(|error| log_failure(gateway, "read", &error)).ok()
}

/// A row that cannot be read counts as empty, and is overwritten.
fn decode(gateway: &Gateway, row: &RowValue) -> ScalingRecord {
    serde_json::from_str(&row.value).unwrap_or_else(|error| {
        warn!(gateway.logger, "scaling_row_unreadable"; "version" => row.version, "error" => %error);
        ScalingRecord::default()
    })
}

/// Has the row written again after the store came back from an older copy, whatever version it has there.
async fn observe_era(gateway: &Gateway, term: &mut ScalingTerm) {
    let era = gateway.store.era();
    if era == term.era {
        return;
    }
    if let Some(row) = read_row(gateway).await {
        term.version = row.map(|row| row.version);
        term.era = era;
        term.scaler.record_store_restored();
    }
}

fn scaling_inputs(gateway: &Gateway, fence: FencingToken) -> Option<ScalingInputs> {
    let state = gateway.lock();
    let lead = state.lead.as_ref().filter(|lead| lead.fence == fence)?;
    let config = state.view.config()?;
    let planner = &lead.planner;
    let services = ServiceLoad::of_fleet(
        config,
        planner.demand(),
        planner.engines(),
        &state.upstreams,
        &state.evacuated,
    );
    let confirmed_at = state.upstreams_from_store.then(|| state.upstream_freshness.confirmed_at()).flatten();
    Some(ScalingInputs { services, confirmed_at })
}

/// Writes the record; false when the store did not take it.
async fn write_record(gateway: &Gateway, term: &mut ScalingTerm) -> bool {
    let revision = term.scaler.revision();
    let value = match serde_json::to_string(&term.scaler.record()) {
        Ok(value) => value,
        Err(error) => {
            warn!(gateway.logger, "scaling_row_unwritable"; "error" => %error);
            return false;
        }
    };
    let transaction = match term.version {
        Some(version) => TableTransaction::new().with_version(SCALING_KEY, version),
        None => TableTransaction::new().with_absent(SCALING_KEY),
    };
    let result = gateway.store.commit(&transaction.with_put(SCALING_KEY, value)).await;
    gateway.metrics.count_store_call("scaling_write", result.is_err());
    let Ok(outcome) = result.map_err(|error| log_failure(gateway, "write", &error)) else { return false };
    if let Some(version) = outcome.versions.first().filter(|_| outcome.committed) {
        term.version = Some(*version);
        term.written = revision;
    }
    outcome.committed
}

fn log_failure(gateway: &Gateway, call: &str, error: &PlatformError) {
    warn!(gateway.logger, "scaling_store_failed"; "call" => call, "error" => %error);
}

fn log_orders(gateway: &Gateway, orders: &[ScalingOrder], fence: FencingToken) {
    for order in orders.iter().filter(|order| !order.is_repeat) {
        let basis = &order.basis;
        info!(gateway.logger, "scaling_decided"; "service" => %order.service, "domain" => %order.domain,
            "desired" => order.desired, "previous" => order.previous, "reason" => order.reason.as_str(),
            "calls" => basis.calls, "waiting" => basis.waiting, "serving" => basis.serving,
            "needed" => basis.needed, "hold_needed" => basis.hold_needed, "age_ms" => basis.age_ms,
            "fence" => fence.get());
        let reason = format!(
            "{}: {} calls, {} waiting, {} servers needed, {} serving",
            order.reason.as_str(),
            basis.calls,
            basis.waiting,
            basis.needed,
            basis.serving
        );
        let subject = DutySubject::Scaling(order.service.clone(), order.domain.clone());
        record_decision(gateway, subject, DutyDecision::new(format!("{} servers", order.desired), reason));
    }
}

/// Sends an order when its turn among the singleton calls comes.
async fn send_order(gateway: &Arc<Gateway>, order: &ScalingOrder, fence: FencingToken) -> ScalingAnswer {
    let subject = DutySubject::Scaling(order.service.clone(), order.domain.clone());
    let give_up_at = gateway.now().plus_ms(TURN_MS.0);
    let permit = loop {
        if let Some(permit) = DutyPermit::take(gateway, fence, subject.clone()) {
            break permit;
        }
        if gateway.now() >= give_up_at || leading_fence(gateway) != Some(fence) {
            return ScalingAnswer::Refused;
        }
        gateway.clock.sleep_ms(TURN_MS.1).await;
    };
    let call = DutyCall::Scaling {
        service: order.service.clone(),
        domain: order.domain.clone(),
        desired: order.desired,
    };
    match permit.send(&call).await {
        DutyAnswer::Accepted => ScalingAnswer::Done,
        DutyAnswer::InDoubt => ScalingAnswer::InDoubt,
        DutyAnswer::Busy | DutyAnswer::Refused | DutyAnswer::NotSent => ScalingAnswer::Refused,
    }
}
