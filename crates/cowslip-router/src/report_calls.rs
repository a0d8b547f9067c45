//! Callers' requests to create, fetch and cancel reports.

use std::sync::Arc;

use bytes::Bytes;
use cowslip_fleet::{ReportRow, ReportState, ReportStep, ReportTable, report_key};
use cowslip_platform::{ObjectStore, RowValue, TableService};
use cowslip_routing::ErrorResponse;
use cowslip_runtime::{random_hex, sha256_hex};
use cowslip_units::{AttemptId, ErrorKind, ReportId, RunState, TeamId, TokenCount};
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use serde_json::{Value, json};
use smol_str::format_smolstr;
use tokio::time::{Duration, sleep};

use crate::report_runner::{drive_report, start_report};
use crate::response_body::json_response;
use crate::{ModelRequest, RequestContext, RouterCore};

/// Limit in ms for a caller's `wait_ms`.
const MAX_WAIT_MS: u64 = 30_000;
/// Interval in ms at which the row is read while a caller waits.
const POLL_MS: u64 = 200;

fn store_down(message: &str) -> ErrorResponse {
    ErrorResponse::new(ErrorKind::StoreUnavailable, message)
}

fn not_found() -> ErrorResponse {
    ErrorResponse::new(ErrorKind::ReportNotFound, "no report of that id belongs to the team")
}

/// `POST /v1/reports`: answers 202 once body and row are durable.
pub(crate) async fn accept_report(
    core: &Arc<RouterCore>,
    context: &RequestContext,
    model_request: &ModelRequest,
) -> Result<Response<Body>, ErrorResponse> {
    let Some(team) = &context.team else {
        return Err(crate::team_filter::key_missing());
    };
    let burst = core.state().sheet.team(team).map_or(TokenCount::ZERO, |row| row.burst);
    if model_request.cost() > burst.get() {
        // Its cost exceeds the burst, so it could never run.
        let message = "the report needs more tokens than the team's whole burst";
        return Err(ErrorResponse::new(ErrorKind::RequestTooLarge, message));
    }
    let internal = |_| ErrorResponse::new(ErrorKind::Internal, "the report cannot be named");
    // With an idempotency key, a repeated request gets the same report id.
    let name = match &context.idempotency {
        Some(digest) => digest.get(..32).unwrap_or(digest).to_owned(),
        None => random_hex(16),
    };
    let report = ReportId::new(&name).map_err(internal)?;
    let body = format_smolstr!("report-body/{report}/{}", sha256_hex(&context.body));
    let row = ReportRow {
        team: team.clone(),
        model: model_request.model.clone(),
        body: body.clone(),
        owner: Some(core.incarnation.clone()),
        attempt: AttemptId::new(&random_hex(16)).map_err(internal)?,
        state: ReportState::Accepted,
        ended_upstreams: Vec::new(),
    };
    let silent = core.state().is_store_silent(core.now());
    if silent || core.platform.put(&body, context.body.clone()).await.is_err() {
        return Err(store_down("the store does not answer, so the report was not accepted"));
    }
    let known = core.state().reports.reports().any(|known| *known == report);
    let step = if known { ReportStep::Superseded } else { core.state().reports.accept(report.clone(), row) };
    let cancel_guard = ReportCancelGuard { core, report: &report, armed: true };
    let end = drive_report(core, &report, step, context.deadline).await;
    match end {
        ReportStep::Accepted | ReportStep::Run => {
            cancel_guard.disarm();
            start_report(core, report.clone());
            Ok(accepted(&report))
        }
        ReportStep::Superseded => {
            cancel_guard.disarm();
            let row = read_row(core, &report, team).await?.1;
            if row.body == body {
                return Ok(accepted(&report));
            }
            let message = "the idempotency key was used with another report";
            Err(ErrorResponse::new(ErrorKind::IdempotencyKeyReused, message))
        }
        _ => Err(store_down("the store does not answer, so the report was not accepted")),
    }
}

/// Cancels a report whose caller disconnected or was rejected while its acceptance was in doubt.
struct ReportCancelGuard<'a> {
    core: &'a Arc<RouterCore>,
    report: &'a ReportId,
    armed: bool,
}

impl ReportCancelGuard<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for ReportCancelGuard<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let (core, report) = (Arc::clone(self.core), self.report.clone());
        let step = {
            let mut state = core.state();
            state.reports.cancel_unaccepted(&report);
            state.reports.poll(&report)
        };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                drive_report(&core, &report, step, cowslip_units::ClockTime::NEVER).await;
            });
        }
    }
}

fn accepted(report: &ReportId) -> Response<Body> {
    json_response(StatusCode::ACCEPTED, json!({ "id": report.as_str(), "state": "accepted" }).to_string())
}

async fn read_row(
    core: &RouterCore,
    report: &ReportId,
    team: &TeamId,
) -> Result<(RowValue, ReportRow), ErrorResponse> {
    let value = core.platform.read(&report_key(report)).await;
    let value = value.map_err(|_| store_down("the store does not answer"))?.ok_or_else(not_found)?;
    let row: ReportRow = serde_json::from_str(&value.value).map_err(|_| not_found())?;
    // A report of another team is reported as not found.
    if row.team != *team {
        return Err(not_found());
    }
    Ok((value, row))
}

/// `GET /v1/reports/{id}`: returns the state, and the result once the report is done.
pub(crate) async fn fetch_report(
    core: &Arc<RouterCore>,
    context: &RequestContext,
    report: &ReportId,
) -> Result<Response<Body>, ErrorResponse> {
    let Some(team) = &context.team else {
        return Err(crate::team_filter::key_missing());
    };
    let until = core.now().plus_ms(wait_ms(context)?);
    loop {
        let (_, row) = read_row(core, report, team).await?;
        let keep_waiting = row.state == ReportState::Accepted && core.now() < until && !core.state().draining;
        if !keep_waiting {
            return report_response(core, report, &row).await;
        }
        sleep(Duration::from_millis(POLL_MS.min(until.since_ms(core.now()).max(1)))).await;
    }
}

fn wait_ms(context: &RequestContext) -> Result<u64, ErrorResponse> {
    let query = context.uri.query().unwrap_or_default();
    let Some(value) = query.split('&').find_map(|pair| pair.strip_prefix("wait_ms=")) else {
        return Ok(0);
    };
    match value.parse::<u64>() {
        Ok(millis) => Ok(millis.min(MAX_WAIT_MS)),
        Err(_) => Err(ErrorResponse::new(ErrorKind::BadRequest, "wait_ms must be a whole number")),
    }
}

async fn report_response(
    core: &RouterCore,
    report: &ReportId,
    row: &ReportRow,
) -> Result<Response<Body>, ErrorResponse> {
    let body = match &row.state {
        ReportState::Accepted => json!({ "id": report.as_str(), "state": "accepted" }),
        ReportState::Cancelled => json!({ "id": report.as_str(), "state": "cancelled" }),
        ReportState::Failed(message) => {
            json!({ "id": report.as_str(), "state": "failed", "message": message })
        }
        ReportState::Done(key) => {
            let read = core.platform.get(key).await.ok().flatten();
            let missing = || {
                let message = "the report is done, and its result cannot be read from the store at present";
                store_down(message).with_ran(RunState::Ran)
            };
            let result: Bytes = read.ok_or_else(missing)?;
            let result: Value = serde_json::from_slice(&result).map_err(|_| missing())?;
            json!({ "id": report.as_str(), "state": "done", "result": result })
        }
    };
    Ok(json_response(StatusCode::OK, body.to_string()))
}

/// `DELETE /v1/reports/{id}`: cancels the report; its owner discards the result if the report is already
/// running.
pub(crate) async fn cancel_report(
    core: &Arc<RouterCore>,
    context: &RequestContext,
    report: &ReportId,
) -> Result<Response<Body>, ErrorResponse> {
    let Some(team) = &context.team else {
        return Err(crate::team_filter::key_missing());
    };
    loop {
        let (value, row) = read_row(core, report, team).await?;
        let Some(transaction) = ReportTable::cancel(report, &value, team) else {
            return report_response(core, report, &row).await;
        };
        let outcome = core.platform.commit(&transaction).await;
        match outcome {
            Ok(outcome) if outcome.committed => {
                let row = ReportRow { state: ReportState::Cancelled, ..row };
                return report_response(core, report, &row).await;
            }
            // The row has changed or the outcome of the write is in doubt: read it again.
            Ok(_) => {}
            Err(error) if error.in_doubt() => {}
            Err(_) => return Err(store_down("the store does not answer, so the report was not cancelled")),
        }
        if core.now() >= context.deadline {
            let message = "the store did not answer in time; the report may have been cancelled";
            return Err(store_down(message).with_ran(RunState::Unknown));
        }
    }
}
