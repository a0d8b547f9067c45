//! Keeps requests from upstreams when their prompt parts have ended others, and records what each send shows
//! about its parts.

use std::sync::Arc;

use cowslip_entry::{AnswerStage, FleetMembers, PartGate, QuarantinedPart};
use cowslip_runtime::refuses_connections;
use cowslip_units::{ClockTime, ErrorKind, PartId, UpstreamId};
use slog::{info, warn};

use crate::gateway::Gateway;
use crate::gateway_state::GatewayState;
use crate::outcome_record::{last_part_text, parts_text};
use crate::plain_call::send_target;
use crate::request_context::RequestContext;
use crate::request_progress::RequestProgress;
use crate::request_rejection::RequestRejection;

/// Offset in ms of the crash log's clock: the process's clock starts with the process, but crashes that other
/// gateways report may be older.
const CLOCK_OFFSET_MS: u64 = 100_000_000;

impl Gateway {
    /// Now, on the clock of the crash log.
    pub(crate) fn crash_time(&self) -> ClockTime {
        self.now().plus_ms(CLOCK_OFFSET_MS)
    }
}

impl GatewayState {
    /// The fleet, as far as it is known.
    pub(crate) fn fleet_members<'a>(&'a self, own_name: &'a str) -> FleetMembers<'a> {
        FleetMembers { own_name, members: &self.members }
    }

    /// The part that forbids to send a request with these shared prompt parts; `None` when there is none.
    pub(crate) fn quarantined_part(
        &self,
        own_name: &str,
        parts: &[PartId],
        crash_time: ClockTime,
    ) -> Option<QuarantinedPart> {
        self.quarantine.quarantined_part(parts, self.fleet_members(own_name), crash_time)
    }
}

/// Marks a request as the only one with its suspected parts, until dropped.
#[derive(Debug)]
pub(crate) struct TrialGuard {
    gateway: Arc<Gateway>,
    number: u64,
}

impl TrialGuard {
    /// Begins a trial of suspected parts at an upstream.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        context: &RequestContext,
        parts: Vec<PartId>,
        upstream: &UpstreamId,
    ) -> Self {
        gateway.metrics.part_trials.inc();
        if gateway.may_log() {
            info!(gateway.logger, "part_trial"; "request" => %context.caller.attempt, "upstream" => %upstream,
                "parts" => parts_text(&parts));
        }
        let number = gateway.lock().quarantine.begin_trial(parts, upstream);
        Self { gateway: Arc::clone(gateway), number }
    }

    /// Records that the answer has begun.
    pub(crate) fn record_begin(&self) {
        self.gateway.lock().quarantine.trials.record_begin(self.number, self.gateway.crash_time());
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.gateway.lock().quarantine.trials.end(self.number);
        self.gateway.state_changed.notify_waiters();
    }
}

/// Decides by its prompt parts whether a request may be sent now.
///
/// # Errors
/// [`RequestRejection`] when one of the parts is quarantined.
pub(crate) fn check_parts(
    gateway: &Gateway,
    context: &RequestContext,
    progress: &RequestProgress,
) -> Result<PartGate, RequestRejection> {
    let now = gateway.crash_time();
    let gate = {
        let state = gateway.lock();
        let fleet = state.fleet_members(&gateway.settings.name);
        state.quarantine.gate(&context.crash_parts, progress.is_retry, fleet, now)
    };
    match gate {
        PartGate::Closed(quarantined) => {
            Err(quarantine_rejection(gateway, context, progress.runs, &quarantined))
        }
        gate => Ok(gate),
    }
}

/// Rejects a request that has not been sent when one of its prompt parts is quarantined.
///
/// # Errors
/// [`RequestRejection`] in that case.
pub(crate) fn check_arrival(gateway: &Gateway, context: &RequestContext) -> Result<(), RequestRejection> {
    let quarantined =
        gateway.lock().quarantined_part(&gateway.settings.name, &context.crash_parts, gateway.crash_time());
    quarantined.map_or(Ok(()), |part| Err(quarantine_rejection(gateway, context, 0, &part)))
}

/// Rejection of a request for a part that is quarantined. One that may have run gets an error that does not claim
/// that it did not.
fn quarantine_rejection(
    gateway: &Gateway,
    context: &RequestContext,
    runs: u32,
    quarantined: &QuarantinedPart,
) -> RequestRejection {
    let now = gateway.crash_time();
    if gateway.may_log() {
        info!(gateway.logger, "request_quarantined"; "request" => %context.caller.attempt, "part" => %quarantined.part,
            "crashes" => quarantined.events, "last_crash_ms" => now.since_ms(quarantined.last_at),
            "upstreams" => quarantined.upstreams_text(), "runs" => runs);
    }
    if runs > 0 {
        return RequestRejection::new(ErrorKind::UpstreamFailed);
    }
    RequestRejection::new(ErrorKind::PromptQuarantined).with_retry_after(quarantined.until.since_ms(now))
}

/// Completes once the request, or one of the parts of its prompt, is quarantined.
pub(crate) async fn wait_until_quarantined(gateway: &Gateway, context: &RequestContext) {
    loop {
        let notified = gateway.parts_quarantined.notified();
        let own_name = &gateway.settings.name;
        let now = gateway.crash_time();
        if gateway.lock().quarantined_part(own_name, &context.crash_parts, now).is_some() {
            return;
        }
        notified.await;
    }
}

/// Finds out whether the upstream of a broken connection has ended, and records the request as a suspect if so.
/// Returns whether it has.
pub(crate) async fn record_break(
    gateway: &Gateway,
    context: &RequestContext,
    upstream: &UpstreamId,
    stage: AnswerStage,
) -> bool {
    let Some((address, start)) = send_target(gateway, upstream) else { return false };
    let has_ended = refuses_connections(address).await;
    let parts = &context.crash_parts;
    if has_ended {
        gateway.metrics.upstream_ends.inc();
        let mut state = gateway.lock();
        state.quarantine.log.record_crash(&start, parts, stage, gateway.crash_time());
        notify_crash_change(gateway, &mut state);
    }
    if gateway.may_log() {
        info!(gateway.logger, "upstream_checked"; "request" => %context.caller.attempt, "upstream" => %upstream,
            "born" => start.born, "ended" => has_ended, "stage" => stage.as_str(), "parts" => parts_text(parts),
            "last_part" => last_part_text(context),
            "model" => context.caller.model.as_ref().map(|need| need.model.to_string()),
            "adapter" => context.caller.model.as_ref().and_then(|need| need.adapter.as_deref()));
    }
    has_ended
}

/// Records that an upstream has survived the answer to a request.
pub(crate) fn record_survival(gateway: &Gateway, context: &RequestContext) {
    let parts = &context.crash_parts;
    if parts.is_empty() {
        return;
    }
    let mut state = gateway.lock();
    let before = state.quarantine.log.cursor();
    state.quarantine.log.record_survival(parts, gateway.crash_time());
    if state.quarantine.log.cursor() != before {
        notify_crash_change(gateway, &mut state);
    }
}

/// Wakes what depends on the crash log after it may have changed: waiting requests, and the task that updates other
/// gateways. Logs parts that are quarantined from now on, or no longer.
pub(crate) fn notify_crash_change(gateway: &Gateway, state: &mut GatewayState) {
    if state.quarantine.log.has_urgent() {
        gateway.crashes_changed.notify_one();
        gateway.request_report();
    }
    gateway.state_changed.notify_waiters();
    log_quarantine(gateway, state);
}

fn log_quarantine(gateway: &Gateway, state: &mut GatewayState) {
    let now = gateway.crash_time();
    let quarantined = state.quarantine.log.quarantined_parts(now);
    gateway.metrics.quarantined_parts.set(i64::try_from(quarantined.len()).unwrap_or(i64::MAX));
    if !quarantined.is_empty() {
        gateway.parts_quarantined.notify_waiters();
    }
    for part in &quarantined {
        if !state.quarantined_parts.contains(&part.part) {
            warn!(gateway.logger, "part_quarantined"; "part" => %part.part, "crashes" => part.events,
                "last_crash_ms" => now.since_ms(part.last_at), "upstreams" => part.upstreams_text(),
                "for_ms" => part.until.since_ms(now));
        }
    }
    for part in &state.quarantined_parts {
        if !quarantined.iter().any(|known| known.part == *part) {
            info!(gateway.logger, "part_released"; "part" => %part);
        }
    }
    state.quarantined_parts = quarantined.into_iter().map(|known| known.part).collect();
}

/// Drops old crashes.
pub(crate) fn expire_crashes(gateway: &Gateway) {
    let mut state = gateway.lock();
    state.quarantine.log.expire(gateway.crash_time());
    log_quarantine(gateway, &mut state);
}
