//! Gives places at upstreams to the requests of the admission queue, in its order.
//!
//! A place is reserved by a [`CallGuard`] at the moment at which a request gets it, under the lock of the state, so
//! two requests never get the same one. Whenever a place becomes free, only the targets that could use a place at
//! its upstream are looked at.

use std::sync::Arc;

use cowslip_entry::{
    AdmissionQueue, AdmissionRejection, AdmissionRequest, AdmissionTarget, FleetConfig, RequestNeed,
    UpstreamPick, WaitCause,
};
use cowslip_routing::QueueTicket;
use cowslip_units::{ClockTime, UpstreamId};
use tokio::sync::oneshot;

use crate::call_guard::CallGuard;
use crate::gateway::Gateway;
use crate::gateway_state::GatewayState;
use crate::target_look::TargetLook;

/// How a request leaves the queue.
#[derive(Debug)]
pub(crate) enum QueueTurn {
    /// It has got a place.
    Place(CallGuard),
    /// Its turn will not come in time.
    Rejected(AdmissionRejection),
}

/// A request in the queue, with what is needed to choose its upstream.
#[derive(Debug)]
struct QueuedWait {
    ticket: QueueTicket,
    need: RequestNeed,
    tried: Vec<UpstreamId>,
    sender: oneshot::Sender<QueueTurn>,
}

/// A turn with the channel to its request.
type Delivery = (oneshot::Sender<QueueTurn>, QueueTurn);

/// The admission queue of a gateway and the requests in it.
#[derive(Debug, Default)]
pub(crate) struct AdmissionTurns {
    /// Order of the requests.
    pub queue: AdmissionQueue,
    /// The same requests, sorted by ticket.
    waits: Vec<QueuedWait>,
    /// Last looks for places, by target, sorted.
    looks: Vec<TargetLook>,
}

impl AdmissionTurns {
    /// Adds a request. It learns of its turn from the receiver.
    pub(crate) fn enter(
        &mut self,
        request: AdmissionRequest,
        need: RequestNeed,
        tried: Vec<UpstreamId>,
        now: ClockTime,
    ) -> (QueueTicket, oneshot::Receiver<QueueTurn>) {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.queue.push(request, now);
        let at = self.waits.partition_point(|wait| wait.ticket < ticket);
        self.waits.insert(at, QueuedWait { ticket, need, tried, sender });
        (ticket, receiver)
    }

    /// Removes a request; returns it if it was still in the queue.
    pub(crate) fn leave(&mut self, ticket: QueueTicket) -> Option<AdmissionRequest> {
        self.take_wait(ticket);
        let request = self.queue.leave(ticket);
        if self.queue.is_empty() {
            self.looks.clear();
        }
        request
    }

    fn take_wait(&mut self, ticket: QueueTicket) -> Option<QueuedWait> {
        let at = self.waits.binary_search_by(|wait| wait.ticket.cmp(&ticket)).ok()?;
        Some(self.waits.remove(at))
    }

    fn find_look(&self, target: &AdmissionTarget) -> Result<usize, usize> {
        self.looks.binary_search_by(|look| look.target.cmp(target))
    }

    /// The last look of a target that is still valid.
    fn valid_look(&self, target: &AdmissionTarget, changes: u64, now: ClockTime) -> Option<WaitCause> {
        let look = self.looks.get(self.find_look(target).ok()?)?;
        look.is_valid(changes, now).then_some(look.cause)
    }

    fn record_look(&mut self, look: TargetLook) {
        match self.find_look(&look.target) {
            Ok(at) => {
                if let Some(known) = self.looks.get_mut(at) {
                    *known = look;
                }
            }
            Err(at) => self.looks.insert(at, look),
        }
    }

    /// Removes the requests whose turn will not come in time.
    fn reject_unservable(&mut self, now: ClockTime) -> Vec<Delivery> {
        let rejections = self.queue.reject_unservable(now);
        let deliveries = rejections.into_iter().filter_map(|rejection| {
            let wait = self.take_wait(rejection.ticket)?;
            Some((wait.sender, QueueTurn::Rejected(rejection)))
        });
        deliveries.collect()
    }
}

/// Gives the places that are free at the upstream to the requests that may use them.
pub(crate) fn dispatch_at(gateway: &Arc<Gateway>, upstream: &UpstreamId) {
    let now = gateway.now();
    let mut state = gateway.lock();
    if state.admission.queue.is_empty() {
        return;
    }
    let mut deliveries = state.admission.reject_unservable(now);
    deliveries.extend(give_places(gateway, &mut state, upstream, now));
    drop(state);
    deliver(deliveries);
}

/// Looks for a place for the target's requests. A place that is found goes to the requests that may use it, in
/// their order. Returns why the target's requests wait that are still in the queue.
pub(crate) fn dispatch_for(gateway: &Arc<Gateway>, target: &AdmissionTarget) -> WaitCause {
    let now = gateway.now();
    let mut state = gateway.lock();
    let mut deliveries = state.admission.reject_unservable(now);
    let cause = match look(gateway, &mut state, target, now) {
        UpstreamPick::Send(upstream) => {
            deliveries.extend(give_places(gateway, &mut state, &upstream, now));
            WaitCause::Full
        }
        UpstreamPick::Wait(cause) => cause,
    };
    drop(state);
    deliver(deliveries);
    cause
}

/// Reserves a place for a request that no waiting request is ahead of; `None` when it has to queue up.
pub(crate) fn take_free_place(
    gateway: &Arc<Gateway>,
    need: &RequestNeed,
    tried: &[UpstreamId],
    now: ClockTime,
) -> Option<CallGuard> {
    let mut state = gateway.lock();
    let config = state.view.config().cloned()?;
    let UpstreamPick::Send(upstream) = pick(gateway, &state, &config, need, tried, now) else {
        return None;
    };
    if !targets_at(&state, &upstream, now).is_empty() {
        return None;
    }
    Some(CallGuard::reserve(gateway, &mut state, &upstream, need.model.as_ref()))
}

/// Sends their turns to requests. A place whose request has gone is released and given to another.
fn deliver(deliveries: Vec<Delivery>) {
    for (sender, turn) in deliveries {
        drop(sender.send(turn));
    }
}

/// Gives places to requests as long as one is free that a request at this upstream could use.
fn give_places(
    gateway: &Arc<Gateway>,
    state: &mut GatewayState,
    upstream: &UpstreamId,
    now: ClockTime,
) -> Vec<Delivery> {
    let Some(config) = state.view.config().cloned() else {
        return Vec::new();
    };
    let mut ready = targets_at(state, upstream, now);
    let mut deliveries = Vec::new();
    loop {
        // A place that was given away leaves less to the other targets, never more.
        ready.retain(|target| find_place(gateway, state, &config, target, now));
        let Some(ticket) = state.admission.queue.next(now, |target| ready.binary_search(target).is_ok())
        else {
            return deliveries;
        };
        let Some(wait) = state.admission.take_wait(ticket) else {
            continue;
        };
        // Without a place, the dropped channel makes the request enter the queue again.
        if let UpstreamPick::Send(chosen) = pick(gateway, state, &config, &wait.need, &wait.tried, now) {
            let guard = CallGuard::reserve(gateway, state, &chosen, wait.need.model.as_ref());
            deliveries.push((wait.sender, QueueTurn::Place(guard)));
        }
        let waiting = state.admission.queue.targets();
        ready.retain(|target| waiting.binary_search(target).is_ok());
    }
}

fn targets_at(state: &GatewayState, upstream: &UpstreamId, now: ClockTime) -> Vec<AdmissionTarget> {
    let known = state.upstreams.get(upstream);
    known.map(|known| state.admission.queue.targets_at(known, now)).unwrap_or_default()
}

/// True when a place is free for the target's requests; records the look otherwise.
fn find_place(
    gateway: &Gateway,
    state: &mut GatewayState,
    config: &FleetConfig,
    target: &AdmissionTarget,
    now: ClockTime,
) -> bool {
    matches!(look_afresh(gateway, state, config, target, now), UpstreamPick::Send(_))
}

/// Looks for a place for the target's requests, unless a look that is still valid found none.
fn look(
    gateway: &Gateway,
    state: &mut GatewayState,
    target: &AdmissionTarget,
    now: ClockTime,
) -> UpstreamPick {
    if let Some(cause) = state.admission.valid_look(target, gateway.state_changed.changes(), now) {
        return UpstreamPick::Wait(cause);
    }
    match state.view.config().cloned() {
        Some(config) => look_afresh(gateway, state, &config, target, now),
        None => UpstreamPick::Wait(WaitCause::Unproven),
    }
}

fn look_afresh(
    gateway: &Gateway,
    state: &mut GatewayState,
    config: &FleetConfig,
    target: &AdmissionTarget,
    now: ClockTime,
) -> UpstreamPick {
    let need = RequestNeed {
        service: target.service.clone(),
        model: target.model.clone(),
        affinity: 0,
        regions: target.regions.clone(),
        prompt_tokens: 0,
        output_tokens: 0,
        objective_ms: 0,
        spread: 0,
    };
    let found = pick(gateway, state, config, &need, &[], now);
    if let UpstreamPick::Wait(cause) = found {
        let due_ms = match cause {
            WaitCause::Cold(wait_ms) | WaitCause::Away(wait_ms) => Some(wait_ms),
            WaitCause::NoModel | WaitCause::NoAdapter => state.upstreams.next_place_ms(&need, now),
            _ => None,
        };
        let changes = gateway.state_changed.changes();
        state.admission.record_look(TargetLook::new(target.clone(), cause, due_ms, changes, now));
    }
    found
}

/// Picks an upstream at a service whose requests queue up.
fn pick(
    gateway: &Gateway,
    state: &GatewayState,
    config: &FleetConfig,
    need: &RequestNeed,
    tried: &[UpstreamId],
    now: ClockTime,
) -> UpstreamPick {
    gateway.metrics.queue_picks.inc();
    match config.service(&need.service).filter(|service| service.is_self_paced()) {
        Some(service) => state.pick(&gateway.settings, service, need, tried, now),
        None => UpstreamPick::Wait(WaitCause::NoUpstream),
    }
}
