//! Runs accepted reports in the batch class, and takes over reports of routers that have left.

use std::sync::Arc;

use bytes::Bytes;
use cowslip_fleet::{REPORT_PREFIX, ReportRow, ReportState, ReportStep, report_key};
use cowslip_platform::{ObjectStore, TableService};
use cowslip_routing::{EndedUpstreams, ErrorResponse, RequestClass, RequestState, WaitTarget};
use cowslip_runtime::random_hex;
use cowslip_units::{AttemptId, ClockTime, ErrorKind, ReportId, RequestId, TokenCount, UpstreamId};
use http::{HeaderValue, Method};
use smol_str::format_smolstr;
use tokio::time::{Duration, sleep};

use crate::ended_probe::MAX_ENDED_BY_CALL;
use crate::rate_filter::reserve_tokens;
use crate::{DispatchParams, ModelCall, ModelRequest, RouterCore, UpstreamRequest};

/// Average interval in ms between scans for reports without an owner.
const SCAN_MS: u64 = 5_000;
/// Rows read per call of a scan.
const SCAN_ROWS: usize = 256;
/// Initial backoff in ms after a failed run; doubles up to [`MAX_BACKOFF_MS`].
const FIRST_BACKOFF_MS: u64 = 500;
/// Longest backoff in ms between runs.
const MAX_BACKOFF_MS: u64 = 30_000;
/// Number of runs rejected by the engines as invalid after which the report counts as failed.
const MAX_REJECTED_RUNS: u32 = 3;
/// Number of engines that end under a report, over all its runs, after which it counts as failed.
const MAX_ENDED_BY_REPORT: usize = 4;
/// The same while it was always one engine, which may end for reasons of its own.
const MAX_ENDS_OF_ONE_ENGINE: usize = 16;

/// Executes steps that access the store until a step of another kind follows. After the deadline it returns
/// [`ReportStep::Wait`] instead of waiting.
pub(crate) async fn drive_report(
    core: &Arc<RouterCore>,
    report: &ReportId,
    mut step: ReportStep,
    deadline: ClockTime,
) -> ReportStep {
    loop {
        step = match step {
            ReportStep::Commit(transaction) => {
                let result = core.platform.commit(&transaction).await;
                core.state().reports.commit_answered(report, &result)
            }
            ReportStep::Read(key) => {
                let result = core.platform.read(&key).await;
                core.state().reports.read_answered(report, &result)
            }
            ReportStep::Wait(millis) if core.now() < deadline => {
                sleep(Duration::from_millis(millis)).await;
                core.state().reports.poll(report)
            }
            end => return end,
        };
    }
}

/// Spawns the run of a report that this router owns.
pub(crate) fn start_report(core: &Arc<RouterCore>, report: ReportId) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let mut ended = EndedUpstreams::new(MAX_ENDED_BY_REPORT).with_limit_at_one(MAX_ENDS_OF_ONE_ENGINE);
        let result = run_report(&core, &report, &mut ended).await;
        let step = match result {
            Some(state) => core.state().reports.complete(&report, state),
            // The router is shutting down: another router takes the report over.
            None => core.state().reports.abandon(&report, ended.ids()),
        };
        drive_report(&core, &report, step, ClockTime::NEVER).await;
    });
}

/// Runs a report until it is done or has failed permanently; `None` if this router shuts down first.
async fn run_report(
    core: &Arc<RouterCore>,
    report: &ReportId,
    ended: &mut EndedUpstreams,
) -> Option<ReportState> {
    let mut backoff_ms = FIRST_BACKOFF_MS;
    let mut rejected_runs = 0;
    loop {
        if core.state().draining {
            return None;
        }
        match run_report_once(core, report, ended).await {
            Ok(key) => return Some(ReportState::Done(key)),
            Err(rejection) => {
                slog::info!(core.logger, "report did not run"; "report" => report.as_str(),
                    "kind" => rejection.kind.as_str(), "message" => &rejection.message);
                let is_permanent =
                    matches!(rejection.kind, ErrorKind::BadRequest | ErrorKind::RequestTooLarge);
                rejected_runs += u32::from(is_permanent);
                if rejected_runs >= MAX_REJECTED_RUNS {
                    return Some(ReportState::Failed(rejection.message));
                }
            }
        }
        if ended.is_exhausted() {
            return Some(ended_report(core, report, ended));
        }
        let mut stopping = core.signals.stopping.subscribe();
        tokio::select! {
            () = sleep(Duration::from_millis(backoff_ms)) => {}
            _ = stopping.wait_for(|stopping| *stopping) => return None,
        }
        backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
}

/// Failure of a report that has ended too many engines; the log names them.
fn ended_report(core: &RouterCore, report: &ReportId, ended: &EndedUpstreams) -> ReportState {
    let engines: Vec<&str> = ended.ids().iter().map(UpstreamId::as_str).collect();
    slog::warn!(core.logger, "report failed, engines ended under it"; "report" => report.as_str(),
        "engines" => engines.join(" "));
    core.metrics.count("reports_ended_engines", 1);
    ReportState::Failed(format!("{} engines ended while they ran it", engines.len()))
}

/// Runs the report once: reads the request, runs it and writes its result. Returns the key of the result.
async fn run_report_once(
    core: &Arc<RouterCore>,
    report: &ReportId,
    ended: &mut EndedUpstreams,
) -> Result<smol_str::SmolStr, ErrorResponse> {
    let store_down = || ErrorResponse::new(ErrorKind::StoreUnavailable, "the store does not answer");
    let value = core.platform.read(&report_key(report)).await.ok().flatten().ok_or_else(store_down)?;
    let row: ReportRow = serde_json::from_str(&value.value).map_err(|_| store_down())?;
    if row.state != ReportState::Accepted {
        // Cancelled, or owned by another router: recording the result is rejected, which ends this run.
        return Ok(result_key(report, &row));
    }
    ended.begin_with(&row.ended_upstreams);
    let body = core.platform.get(&row.body).await.ok().flatten().ok_or_else(store_down)?;
    let model_request = ModelRequest::from_report(&body)?;
    let cost = TokenCount::new(model_request.cost());
    let mut tokens = Some(reserve_tokens(core, &row.team, cost, ClockTime::NEVER).await?);
    let mut call = report_call(&row, &model_request, body, cost)?;
    let result = call.run_buffered(core, &mut tokens).await;
    ended.add_all(&call.ended);
    let answer = result?;
    let key = result_key(report, &row);
    core.platform.put(&key, answer.body).await.map_err(|_| store_down())?;
    Ok(key)
}

/// Key of the result object, unique per attempt, so that a superseded run cannot overwrite the result that is
/// kept.
fn result_key(report: &ReportId, row: &ReportRow) -> smol_str::SmolStr {
    format_smolstr!("report-result/{report}/{}", row.attempt)
}

fn report_call(
    row: &ReportRow,
    model_request: &ModelRequest,
    body: Bytes,
    cost: TokenCount,
) -> Result<ModelCall, ErrorResponse> {
    let internal = |_| ErrorResponse::new(ErrorKind::Internal, "the request cannot be named");
    let request = RequestId::new(&random_hex(16)).map_err(internal)?;
    let prefix = crate::model_call::prompt_prefix(Some(&row.team), model_request);
    let params = DispatchParams {
        team: Some(row.team.clone()),
        // The key was valid when the report was accepted; withdrawing it later does not cancel the report.
        key: None,
        class: RequestClass::Batch,
        target: WaitTarget::Model(model_request.model.clone()),
        cost,
        deadline: ClockTime::NEVER,
        prefix: Some(prefix.clone()),
        excluded: Vec::new(),
    };
    let message = UpstreamRequest {
        request: request.clone(),
        method: Method::POST,
        path: model_request.endpoint.path().to_owned(),
        content_type: Some(HeaderValue::from_static("application/json")),
        accept: None,
        body,
        class: RequestClass::Batch,
        deadline: ClockTime::NEVER,
        prefix: Some(prefix.digest),
        idempotency: None,
        traceparent: None,
    };
    let state = RequestState::new(request, true);
    Ok(ModelCall {
        params,
        message,
        state,
        prompt_tokens: model_request.prompt_tokens(),
        attempts: 0,
        ended: EndedUpstreams::new(MAX_ENDED_BY_CALL),
    })
}

/// Task that scans for reports that were released by their owner or whose owner has left.
pub(crate) async fn run_report_scan(core: Arc<RouterCore>) {
    loop {
        // Jitter prevents routers from scanning in step and taking over the same rows.
        let jitter_ms = rand::random::<u64>() % SCAN_MS;
        sleep(Duration::from_millis(SCAN_MS / 2 + jitter_ms)).await;
        let now = core.now();
        let confirmed = {
            let state = core.state();
            state.confirmation.can_admit(now) && !state.draining
        };
        if confirmed {
            scan_reports(&core).await;
        }
    }
}

async fn scan_reports(core: &Arc<RouterCore>) {
    let mut after = String::new();
    loop {
        let Ok(rows) = core.platform.scan(REPORT_PREFIX, &after, SCAN_ROWS).await else {
            return;
        };
        let Some(last) = rows.last() else {
            return;
        };
        after = last.key.to_string();
        let is_last_page = rows.len() < SCAN_ROWS;
        for value in rows {
            let id = value.key.strip_prefix(REPORT_PREFIX).and_then(|id| ReportId::new(id).ok());
            let (Some(report), Ok(attempt)) = (id, AttemptId::new(&random_hex(16))) else {
                continue;
            };
            let step = {
                let mut state = core.state();
                let state = &mut *state;
                state.reports.take_over(report.clone(), &value, attempt, &state.view)
            };
            if let Some(step) = step {
                core.metrics.count("reports_taken_over", 1);
                let deadline = core.now().plus_ms(SCAN_MS);
                if drive_report(core, &report, step, deadline).await == ReportStep::Run {
                    start_report(core, report);
                }
            }
        }
        if is_last_page {
            return;
        }
    }
}
