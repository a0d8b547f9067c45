//! The leader's plan task: computes the placement and sends orders to engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cowslip_adapter::header_names::{ATTEMPT_ID, EXPECT_UPSTREAM};
use cowslip_adapter::{ORDER_PATH, REPORT_PATH, engine_status, order_answer, order_body};
use cowslip_entry::{EngineOrder, EngineStatus, OrderAnswer, PlanStep, UpstreamEntry};
use cowslip_units::{ClockTime, FencingToken, UpstreamId};
use http::{Method, Request};
use http_body_util::Full;
use slog::{info, warn};
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway_metrics::OutcomeLabels;
use crate::lease_task::ORDER_VALIDITY_MS;
use crate::plan_record::{WorkTimer, record_plan};
use crate::upstream_notice::record_notice;
use crate::upstream_pool::SendFault;

/// Longest interval in ms between two plans.
const PLAN_INTERVAL_MS: u64 = 60;

/// Shortest interval in ms between two plans.
const MIN_PLAN_INTERVAL_MS: u64 = 10;

/// The pause after a plan is at least this multiple of the time that the plan took. A leader that planned on
/// each report of 85 gateways had no time left to renew its lease.
const PLAN_PAUSE_FACTOR: u64 = 6;

/// Timeout in ms of a call to an engine.
const ENGINE_TIMEOUT_MS: u64 = 700;

/// Longest engine response in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Time until which this gateway, if it leads with that fencing token, may write orders and singleton calls; `None` when
/// it has not renewed its lease recently enough.
pub(crate) fn order_deadline(gateway: &Gateway, fence: FencingToken) -> Option<ClockTime> {
    let now = gateway.now();
    let lease = gateway.lease.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let lease = lease.as_ref().filter(|lease| lease.epoch(now) == Some(fence))?;
    let (_, renewed_at) = lease.renewal(now)?;
    Some(renewed_at.plus_ms(ORDER_VALIDITY_MS)).filter(|until| now < *until)
}

/// True when an engine accepts calls at this moment. One that asked for a pause gets no orders or status
/// requests either.
fn accepts_calls(gateway: &Gateway, upstream: &UpstreamId) -> bool {
    let state = gateway.lock();
    let entry = state.upstreams.get(upstream).map(|known| &known.entry);
    entry.is_some_and(|entry| state.upstreams.notices().paused_ms(entry, gateway.now()) == 0)
}

/// Plans and sends orders while this gateway leads.
pub(crate) async fn plan_loop(gateway: Arc<Gateway>) {
    loop {
        let begun_at = gateway.now();
        let steps = plan(&gateway);
        let took_ms = gateway.now().since_ms(begun_at);
        for (step, fence) in steps {
            tokio::spawn(execute_step(Arc::clone(&gateway), step, fence));
        }
        let woken = timeout(Duration::from_millis(PLAN_INTERVAL_MS), gateway.plan_now.notified()).await;
        let pause_ms = MIN_PLAN_INTERVAL_MS.max(took_ms * PLAN_PAUSE_FACTOR);
        if woken.is_ok() || pause_ms > PLAN_INTERVAL_MS {
            gateway.clock.sleep_ms(pause_ms).await;
        }
    }
}

fn plan(gateway: &Gateway) -> Vec<(PlanStep, FencingToken)> {
    let timer = WorkTimer::start();
    let now = gateway.now();
    let mut state = gateway.lock();
    let state = &mut *state;
    let (Some(lead), Some(config)) = (state.lead.as_mut(), state.view.config().cloned()) else {
        return Vec::new();
    };
    let fence = lead.fence;
    let confirmed =
        state.upstreams_known.then_some((state.upstream_version, state.upstream_freshness.confirmed_at()));
    if !state.upstreams_from_store {
        // The weight locations are read from the store first. Other gateways get the known entries meanwhile.
        lead.record_updates(&state.upstreams, confirmed, now);
        lead.sync_pace(&state.upstreams, config.services(), now);
        return Vec::new();
    }
    let is_engine = |entry: &&UpstreamEntry| {
        config.service(&entry.service).is_some_and(|service| service.engine.is_some())
    };
    let entries = state.upstreams.all().iter().map(|known| &known.entry).filter(is_engine);
    let is_closed = |entry: &UpstreamEntry| !state.upstreams.can_accept(&entry.id, &state.evacuated, now);
    lead.planner.sync(entries, is_closed, now);
    let steps = lead.planner.step(config.services(), now);
    lead.record_updates(&state.upstreams, confirmed, now);
    lead.sync_pace(&state.upstreams, config.services(), now);
    record_plan(gateway, &mut lead.work, &lead.planner, config.services(), timer, now);
    steps.into_iter().map(|step| (step, fence)).collect()
}

async fn execute_step(gateway: Arc<Gateway>, step: PlanStep, fence: FencingToken) {
    match step {
        PlanStep::QueryStatus(upstream, address) => {
            let status = fetch_status(&gateway, &upstream, address).await;
            log_status(&gateway, &upstream, status.as_ref());
            if let Some(lead) = gateway.lock().lead.as_mut() {
                lead.planner.status(&upstream, status, gateway.clock.now());
            }
        }
        PlanStep::Order(order) => {
            let answer = send_order(&gateway, &order, fence).await;
            let now = gateway.now();
            let labels = OutcomeLabels { kind: action_name(&order), outcome: answer_name(answer) };
            gateway.metrics.orders.get_or_create(&labels).inc();
            info!(gateway.logger, "order"; "upstream" => %order.upstream, "action" => %order.action,
                "expected_orders" => order.expected_orders, "fence" => fence.get(), "answer" => answer_name(answer));
            if let Some(lead) = gateway.lock().lead.as_mut() {
                lead.planner.answered(&order, answer, now);
            }
        }
    }
    gateway.plan_now.notify_one();
}

fn log_status(gateway: &Gateway, upstream: &UpstreamId, status: Option<&EngineStatus>) {
    match status {
        Some(status) => {
            let models: Vec<&str> = status.models.iter().map(|held| held.name.as_str()).collect();
            info!(gateway.logger, "engine_status"; "upstream" => %upstream, "models" => models.join(" "),
                "busy" => status.busy, "orders" => status.orders, "born" => status.born);
        }
        None => warn!(gateway.logger, "engine_silent"; "upstream" => %upstream),
    }
}

const fn action_name(order: &EngineOrder) -> &'static str {
    use cowslip_entry::EngineAction;
    match order.action {
        EngineAction::Load(_) => "load",
        EngineAction::Unload(_) => "unload",
        EngineAction::LoadAdapter(..) => "load_adapter",
        EngineAction::UnloadAdapter(..) => "unload_adapter",
    }
}

const fn answer_name(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Started => "started",
        OrderAnswer::Holds => "holds",
        OrderAnswer::Conflict => "conflict",
        OrderAnswer::Refused => "refused",
        OrderAnswer::NotSent => "not_sent",
        OrderAnswer::InDoubt => "in_doubt",
    }
}

async fn send_order(gateway: &Gateway, order: &EngineOrder, fence: FencingToken) -> OrderAnswer {
    let holder = gateway.settings.name.as_str();
    let body = match order_body(order, holder, fence) {
        Ok(body) => body,
        Err(error) => {
            warn!(gateway.logger, "order_unwritable"; "error" => %error);
            return OrderAnswer::Refused;
        }
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(ORDER_PATH)
        .header(http::header::HOST, order.address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(EXPECT_UPSTREAM, order.upstream.as_str())
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else { return OrderAnswer::Refused };
    let call = async {
        let start = gateway.lock().upstreams.start_of(&order.upstream);
        let valid_until =
            || order_deadline(gateway, fence).filter(|_| accepts_calls(gateway, &order.upstream));
        match gateway.pool.send_order(order.address, request, valid_until).await {
            // A duplicate of the response to an earlier request on the same connection.
            Ok((response, _)) if response.headers().contains_key(ATTEMPT_ID) => OrderAnswer::InDoubt,
            Ok((response, connection)) => {
                record_notice(gateway, start.as_ref(), response.status(), response.headers(), "order");
                let status = response.status().as_u16();
                let keep_alive_s = cowslip_adapter::keep_alive_s(response.headers());
                if gateway.answer_memory.read(response.into_body(), MAX_REPORT_BYTES).await.is_ok() {
                    gateway.pool.return_connection(connection, keep_alive_s);
                }
                order_answer(status)
            }
            Err(SendFault::NotSent(_) | SendFault::Withheld) => OrderAnswer::NotSent,
            Err(SendFault::Broken(_)) => OrderAnswer::InDoubt,
        }
    };
    timeout(Duration::from_millis(ENGINE_TIMEOUT_MS), call).await.unwrap_or(OrderAnswer::InDoubt)
}

async fn fetch_status(gateway: &Gateway, upstream: &UpstreamId, address: SocketAddr) -> Option<EngineStatus> {
    let request = Request::builder()
        .uri(REPORT_PATH)
        .header(http::header::HOST, address.to_string())
        .header(EXPECT_UPSTREAM, upstream.as_str())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let call = async {
        let start = gateway.lock().upstreams.start_of(upstream);
        let allowed = || accepts_calls(gateway, upstream);
        let (response, connection) = gateway.pool.send(address, request, allowed).await.ok()?;
        let is_own = !response.headers().contains_key(ATTEMPT_ID);
        if is_own {
            record_notice(gateway, start.as_ref(), response.status(), response.headers(), "report");
        }
        let ok = is_own && response.status().is_success();
        let keep_alive_s = cowslip_adapter::keep_alive_s(response.headers());
        let body = gateway.answer_memory.read(response.into_body(), MAX_REPORT_BYTES).await.ok()?;
        if ok {
            gateway.pool.return_connection(connection, keep_alive_s);
        }
        ok.then_some(body)
    };
    let body = timeout(Duration::from_millis(ENGINE_TIMEOUT_MS), call).await.ok()??;
    match engine_status(&body) {
        Ok(status) => Some(status),
        Err(fault) => {
            warn!(gateway.logger, "engine_report_unreadable"; "upstream" => %upstream, "fault" => fault);
            None
        }
    }
}
