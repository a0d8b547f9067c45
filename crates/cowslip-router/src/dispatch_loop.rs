//! The dispatcher: grants permits to queued requests or rejects them.

use std::sync::Arc;

use cowslip_fleet::{PermitCall, PermitStep};
use cowslip_routing::{
    ChoiceCandidate, ErrorResponse, QueueRejection, QueueTicket, RequestClass, WaitTarget,
};
use cowslip_units::{ClockTime, ErrorKind, UpstreamId};
use tokio::time::{Duration, timeout};

use crate::permit_borrow::borrow_permit;
use crate::waiting_call::PermitResult;
use crate::{PermitGuard, RouterCore, RouterState, WaitingCall};

/// Interval in ms between rounds while requests are queued and no signal arrives.
const POLL_MS: u64 = 20;
/// Interval in ms between rounds while the queue is empty; a new request signals the dispatcher.
const IDLE_POLL_MS: u64 = 1_000;
/// Limit of concurrent borrow calls for one target.
const MAX_BORROWS: usize = 4;

/// Runs a dispatch round after each signal, and periodically while requests are queued.
pub(crate) async fn run_dispatch_loop(core: Arc<RouterCore>) {
    loop {
        let wait_ms = if core.state().queue.is_empty() { IDLE_POLL_MS } else { POLL_MS };
        // A timeout starts the periodic round.
        let _ = timeout(Duration::from_millis(wait_ms), core.signals.dispatch.notified()).await;
        run_round(&core);
    }
}

/// Runs one round: rejects requests that cannot be served in time, grants this router's own permits, and
/// borrows permits for the remaining requests.
fn run_round(core: &Arc<RouterCore>) {
    let now = core.now();
    let (rejected, granted, borrows) = {
        let mut state = core.state();
        let rejected = take_rejected(&mut state, now);
        let granted = take_granted(&mut state, now);
        let borrows = plan_borrows(&mut state, now);
        (rejected, granted, borrows)
    };
    send_rejections(rejected);
    for (call, permit) in granted {
        // If the request no longer waits, the guard returns the permit, outside of the state lock.
        let _ = call.permit_sender.send(PermitResult::Ok(PermitGuard::new(core, permit)));
    }
    for (target, call) in borrows {
        borrow_permit(core, target, call);
    }
}

fn take_rejected(state: &mut RouterState, now: ClockTime) -> Vec<(WaitingCall, ErrorResponse)> {
    let targets = state.queue.targets();
    let forecasts: Vec<_> =
        targets.into_iter().map(|target| (state.forecast(&target, now), target)).collect();
    let rejections = state.queue.reject_unservable(now, |target| {
        let known = forecasts.iter().find(|(_, known)| known == target);
        known.map_or(cowslip_routing::TargetForecast::READY, |(forecast, _)| *forecast)
    });
    let to_response = |rejection: QueueRejection| {
        let call = state.waiting.remove(&rejection.request.ticket)?;
        Some((call, rejection_from_kind(rejection.kind, rejection.retry_after_ms)))
    };
    rejections.into_iter().filter_map(to_response).collect()
}

/// Creates the rejection of a request that was queued.
fn rejection_from_kind(kind: ErrorKind, retry_after_ms: u64) -> ErrorResponse {
    let message = match kind {
        ErrorKind::ViewStale => "this router cannot confirm its configuration at present",
        ErrorKind::StoreUnavailable => {
            "the model is not loaded, and it cannot be loaded while the store is down"
        }
        ErrorKind::DeadlineExceeded => "the deadline passed before an upstream had room",
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
/// `borrowed` is set, only that upstream is eligible.
fn next_turn(
    state: &mut RouterState,
    now: ClockTime,
    borrowed: Option<&UpstreamId>,
) -> Option<(QueueTicket, UpstreamId)> {
    let RouterState {
        queue,
        waiting,
        view,
        sheet,
        placement,
        vms,
        permits,
        selector,
        dispatch_intervals,
        ..
    } = state;
    let rules = crate::dispatch_rules::DispatchRules { view, sheet, placement, vms, now };
    let mut candidate = |target: &WaitTarget, upstream: &UpstreamId| {
        let row = rules.check(target, upstream)?;
        let free = match borrowed {
            Some(borrowed) => borrowed == upstream,
            None => permits.own_free(upstream, now) > 0,
        };
        free.then_some(ChoiceCandidate { slots: row.slots, has_own_permit: true })
    };
    let request = queue.next(now, |target| {
        let upstreams = rules.upstreams(target);
        selector.choose(now, upstreams, None, |upstream| candidate(target, upstream)).is_some()
    })?;
    let target = &request.target;
    let upstreams = rules.upstreams(target);
    let call = waiting.get(&request.ticket);
    let excluded = call.map(|call| call.excluded.as_slice()).unwrap_or_default();
    let prefix = call.and_then(|call| call.prefix.as_ref());
    let preferred = selector.choose(now, upstreams, prefix, |upstream| {
        if excluded.contains(upstream) { None } else { candidate(target, upstream) }
    });
    // If every eligible upstream has already failed the request, retry one of them rather than none.
    let upstream =
        preferred.or_else(|| selector.choose(now, upstreams, None, |upstream| candidate(target, upstream)));
    let Some(upstream) = upstream else {
        queue.put_back(request);
        return None;
    };
    let others_wait = queue.count(target) > 0;
    dispatch_intervals.entry(target.clone()).or_default().dispatched(now, others_wait);
    Some((request.ticket, upstream))
}

/// Plans borrow calls for targets whose upstreams are in service but have no free own permit.
fn plan_borrows(state: &mut RouterState, now: ClockTime) -> Vec<(WaitTarget, PermitCall)> {
    let mut calls = Vec::new();
    if !state.confirmation.can_admit(now) {
        return calls;
    }
    for target in state.queue.targets() {
        let borrow_limit = state.queue.count(&target).min(MAX_BORROWS);
        while state.borrows_in_flight.get(&target).copied().unwrap_or(0) < borrow_limit {
            let Some(call) = plan_borrow(state, &target, now) else {
                break;
            };
            *state.borrows_in_flight.entry(target.clone()).or_default() += 1;
            calls.push((target.clone(), call));
        }
    }
    state.borrows_in_flight.retain(|_, count| *count > 0);
    calls
}

fn plan_borrow(state: &mut RouterState, target: &WaitTarget, now: ClockTime) -> Option<PermitCall> {
    let RouterState { view, sheet, placement, vms, permits, selector, .. } = state;
    let rules = crate::dispatch_rules::DispatchRules { view, sheet, placement, vms, now };
    let mut full: Vec<UpstreamId> = Vec::new();
    // Each round either yields a call or excludes one upstream.
    for _ in 0..MAX_BORROWS {
        let upstream = selector.choose(now, rules.upstreams(target), None, |upstream| {
            let row = rules.check(target, upstream)?;
            let open = !full.contains(upstream) && permits.own_free(upstream, now) == 0;
            open.then_some(ChoiceCandidate { slots: row.slots, has_own_permit: false })
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
pub(crate) fn dispatch_borrowed(core: &Arc<RouterCore>, permit: PermitGuard) {
    let now = core.now();
    let (rejected, call) = {
        let mut state = core.state();
        let rejected = take_rejected(&mut state, now);
        let next_call =
            state.confirmation.can_admit(now).then(|| next_turn(&mut state, now, Some(permit.upstream())));
        let call = next_call.flatten().and_then(|(ticket, _)| state.waiting.remove(&ticket));
        (rejected, call)
    };
    send_rejections(rejected);
    match call {
        Some(call) => {
            let _ = call.permit_sender.send(Ok(permit));
        }
        None => drop(permit),
    }
    core.signals.dispatch.notify_one();
}

fn send_rejections(rejected: Vec<(WaitingCall, ErrorResponse)>) {
    for (call, rejection) in rejected {
        // A closed receiver means that the request has already left the queue.
        let _ = call.permit_sender.send(Err(rejection));
    }
}

/// True for the first queued urgent request of a model, whose demand is reported to the leader at once.
pub(crate) fn is_first_waiting(state: &RouterState, target: &WaitTarget, class: RequestClass) -> bool {
    class == RequestClass::Urgent && matches!(target, WaitTarget::Model(_)) && state.queue.count(target) == 1
}
