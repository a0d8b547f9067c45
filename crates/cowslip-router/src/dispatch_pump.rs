//! The dispatcher: grants permits to queued requests or rejects them.

use std::sync::Arc;

use cowslip_fleet::{PermitCall, PermitStep};
use cowslip_routing::{
    ChoiceCandidate, ErrorResponse, QueueRejection, QueueTicket, RequestClass, WaitTarget,
};
use cowslip_units::{ClockTime, ErrorKind, UpstreamId};
use tokio::time::{Duration, timeout};

use crate::permit_borrow::borrow_permit;
use crate::waiting_call::TurnResult;
use crate::{PermitGuard, RouterCore, RouterState, WaitingCall};

/// Interval in ms between rounds while requests are queued and no signal arrives.
const LOOK_MS: u64 = 20;
/// Interval in ms between rounds while the queue is empty; a new request signals the dispatcher.
const IDLE_MS: u64 = 1_000;
/// Limit of concurrent borrow calls for one target.
const MAX_BORROWS: usize = 4;

/// Runs a dispatch round after each signal, and periodically while requests are queued.
pub(crate) async fn run_pump(core: Arc<RouterCore>) {
    loop {
        let wait_ms = if core.state().queue.is_empty() { IDLE_MS } else { LOOK_MS };
        // A timeout starts the periodic round.
        let _ = timeout(Duration::from_millis(wait_ms), core.signals.pump.notified()).await;
        pump(&core);
    }
}

/// Runs one round: rejects requests that cannot be served in time, grants own permits and borrows for the
/// rest.
fn pump(core: &Arc<RouterCore>) {
    let now = core.now();
    let (refused, granted, borrows) = {
        let mut state = core.state();
        let refused = take_refused(&mut state, now);
        let granted = take_granted(&mut state, now);
        let borrows = plan_borrows(&mut state, now);
        (refused, granted, borrows)
    };
    send_refusals(refused);
    for (call, permit) in granted {
        // If the request no longer waits, the guard returns the permit, outside of the state lock.
        let _ = call.turn.send(TurnResult::Ok(PermitGuard::new(core, permit)));
    }
    for (target, call) in borrows {
        borrow_permit(core, target, call);
    }
}

fn take_refused(state: &mut RouterState, now: ClockTime) -> Vec<(WaitingCall, ErrorResponse)> {
    let targets = state.queue.targets();
    let forecasts: Vec<_> =
        targets.into_iter().map(|target| (state.forecast(&target, now), target)).collect();
    let refusals = state.queue.reject_unservable(now, |target| {
        let known = forecasts.iter().find(|(_, known)| known == target);
        known.map_or(cowslip_routing::TargetForecast::READY, |(forecast, _)| *forecast)
    });
    let answer = |refusal: QueueRejection| {
        let call = state.waiting.remove(&refusal.request.ticket)?;
        Some((call, error_response(refusal.kind, refusal.retry_after_ms)))
    };
    refusals.into_iter().filter_map(answer).collect()
}

/// Creates the rejection of a request that was queued.
fn error_response(kind: ErrorKind, retry_after_ms: u64) -> ErrorResponse {
    let message = match kind {
        ErrorKind::ViewStale => "this router cannot confirm its configuration at present",
        ErrorKind::StoreUnavailable => {
            "the model is not loaded and cannot be loaded while the store is unavailable"
        }
        ErrorKind::DeadlineExceeded => "the deadline passed before an upstream had capacity",
        _ => "no upstream can serve the request before its deadline",
    };
    ErrorResponse::new(kind, message).with_retry_ms(retry_after_ms)
}

type Granted = (WaitingCall, cowslip_fleet::HeldPermit);

fn take_granted(state: &mut RouterState, now: ClockTime) -> Vec<Granted> {
    let mut granted = Vec::new();
    if !state.confirmation.can_admit(now) {
        return granted;
    }
    while let Some((ticket, upstream)) = next_turn(state, now, None) {
        match state.permits.acquire(&upstream, now) {
            PermitStep::Granted(permit) => {
                if let Some(call) = state.waiting.remove(&ticket) {
                    granted.push((call, permit));
                } else {
                    state.permits.finish(permit);
                }
            }
            // `next_turn` found a free permit under the same lock, so neither case occurs.
            PermitStep::Borrow(call) => {
                state.permits.borrow_answered(&call.lender, call.request.sequence, None);
                break;
            }
            PermitStep::Full => break,
        }
    }
    granted
}

/// Dequeues the next request whose target has an upstream with a free permit, and selects the upstream. If
/// `borrowed`
/// is set, only that upstream is eligible.
fn next_turn(
    state: &mut RouterState,
    now: ClockTime,
    borrowed: Option<&UpstreamId>,
) -> Option<(QueueTicket, UpstreamId)> {
    let RouterState { queue, waiting, view, sheet, placement, vms, permits, choice, paces, .. } = state;
    let rules = crate::dispatch_rules::DispatchRules { view, sheet, placement, vms, now };
    let mut judge = |target: &WaitTarget, upstream: &UpstreamId| {
        let row = rules.check(target, upstream)?;
        let free = match borrowed {
            Some(borrowed) => borrowed == upstream,
            None => permits.own_free(upstream, now) > 0,
        };
        free.then_some(ChoiceCandidate { slots: row.slots, own_permit: true })
    };
    let request = queue.next(now, |target| {
        let upstreams = rules.upstreams(target);
        choice.choose(now, upstreams, None, |upstream| judge(target, upstream)).is_some()
    })?;
    let target = &request.target;
    let upstreams = rules.upstreams(target);
    let call = waiting.get(&request.ticket);
    let excluded = call.map(|call| call.excluded.as_slice()).unwrap_or_default();
    let prefix = call.and_then(|call| call.prefix.as_ref());
    let preferred = choice.choose(now, upstreams, prefix, |upstream| {
        if excluded.contains(upstream) { None } else { judge(target, upstream) }
    });
    // If every eligible upstream has already failed the request, retry one of them rather than none.
    let upstream =
        preferred.or_else(|| choice.choose(now, upstreams, None, |upstream| judge(target, upstream)));
    let Some(upstream) = upstream else {
        queue.put_back(request);
        return None;
    };
    let others_wait = queue.count(target) > 0;
    paces.entry(target.clone()).or_default().dispatched(now, others_wait);
    Some((request.ticket, upstream))
}

/// Plans borrow calls for targets whose upstreams are in service but have no free own permit.
fn plan_borrows(state: &mut RouterState, now: ClockTime) -> Vec<(WaitTarget, PermitCall)> {
    let mut calls = Vec::new();
    if !state.confirmation.can_admit(now) {
        return calls;
    }
    for target in state.queue.targets() {
        let wanted = state.queue.count(&target).min(MAX_BORROWS);
        while state.borrowing.get(&target).copied().unwrap_or(0) < wanted {
            let Some(call) = plan_borrow(state, &target, now) else {
                break;
            };
            *state.borrowing.entry(target.clone()).or_default() += 1;
            calls.push((target.clone(), call));
        }
    }
    state.borrowing.retain(|_, count| *count > 0);
    calls
}

fn plan_borrow(state: &mut RouterState, target: &WaitTarget, now: ClockTime) -> Option<PermitCall> {
    let RouterState { view, sheet, placement, vms, permits, choice, .. } = state;
    let rules = crate::dispatch_rules::DispatchRules { view, sheet, placement, vms, now };
    let mut full: Vec<UpstreamId> = Vec::new();
    // Each round either yields a call or excludes one upstream.
    for _ in 0..MAX_BORROWS {
        let upstream = choice.choose(now, rules.upstreams(target), None, |upstream| {
            let row = rules.check(target, upstream)?;
            let open = !full.contains(upstream) && permits.own_free(upstream, now) == 0;
            open.then_some(ChoiceCandidate { slots: row.slots, own_permit: false })
        })?;
        match permits.acquire(&upstream, now) {
            PermitStep::Borrow(call) => return Some(call),
            PermitStep::Granted(permit) => {
                permits.finish(permit);
                return None;
            }
            PermitStep::Full => full.push(upstream),
        }
    }
    None
}

/// Grants a borrowed permit to the next queued request; if none can use it, dropping the guard returns the
/// permit.
pub(crate) fn use_borrowed(core: &Arc<RouterCore>, permit: PermitGuard) {
    let now = core.now();
    let (refused, call) = {
        let mut state = core.state();
        let refused = take_refused(&mut state, now);
        let turn =
            state.confirmation.can_admit(now).then(|| next_turn(&mut state, now, Some(permit.upstream())));
        let call = turn.flatten().and_then(|(ticket, _)| state.waiting.remove(&ticket));
        (refused, call)
    };
    send_refusals(refused);
    match call {
        Some(call) => {
            let _ = call.turn.send(Ok(permit));
        }
        None => drop(permit),
    }
    core.signals.pump.notify_one();
}

fn send_refusals(refused: Vec<(WaitingCall, ErrorResponse)>) {
    for (call, refusal) in refused {
        // A closed receiver means that the request has already left the queue.
        let _ = call.turn.send(Err(refusal));
    }
}

/// True for the first queued urgent request of a model, whose demand is reported to the leader at once.
pub(crate) fn is_first(state: &RouterState, target: &WaitTarget, class: RequestClass) -> bool {
    class == RequestClass::Urgent && matches!(target, WaitTarget::Model(_)) && state.queue.count(target) == 1
}
