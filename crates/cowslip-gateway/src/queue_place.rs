//! A request's place in the admission queue.

use std::sync::Arc;

use cowslip_entry::{AdmissionRejection, AdmissionRequest, AdmissionTarget, RequestNeed, WaitCause};
use cowslip_routing::QueueTicket;
use cowslip_units::{ClockTime, UpstreamId};
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

use crate::admission_turns::{QueueTurn, dispatch_for};
use crate::call_guard::CallGuard;
use crate::gateway::Gateway;
use crate::gateway_metrics::ClassLabels;

/// Where a request in the queue stands.
#[derive(Debug)]
pub(crate) enum QueueStanding {
    /// It has got a place.
    Place(CallGuard),
    /// Its turn will not come in time.
    Rejected(AdmissionRejection),
    /// It waits.
    Waiting(WaitCause),
}

/// Keeps a request in the admission queue until it is dispatched, rejected or dropped.
#[derive(Debug)]
pub(crate) struct QueuePlace {
    gateway: Arc<Gateway>,
    request: AdmissionRequest,
    need: RequestNeed,
    tried: Vec<UpstreamId>,
    target: AdmissionTarget,
    ticket: QueueTicket,
    entered_at: ClockTime,
    receiver: oneshot::Receiver<QueueTurn>,
    /// A turn that arrived while the request waited.
    turn: Option<QueueTurn>,
    /// True until the first look at where it stands.
    is_new: bool,
}

impl QueuePlace {
    /// Enters the queue.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        request: AdmissionRequest,
        need: RequestNeed,
        tried: Vec<UpstreamId>,
        now: ClockTime,
    ) -> Self {
        let target = request.target.clone();
        let entered = gateway.lock().admission.enter(request.clone(), need.clone(), tried.clone(), now);
        let (ticket, receiver) = entered;
        Self {
            gateway: Arc::clone(gateway),
            request,
            need,
            tried,
            target,
            ticket,
            entered_at: now,
            receiver,
            turn: None,
            is_new: true,
        }
    }

    /// The upstreams that the request could use.
    pub(crate) fn target(&self) -> &AdmissionTarget {
        &self.target
    }

    /// Looks where the request stands, and for a place when it still waits.
    pub(crate) fn look(&mut self, now: ClockTime) -> QueueStanding {
        if let Some(standing) = self.take_turn(now) {
            return standing;
        }
        let cause = dispatch_for(&self.gateway, &self.target);
        if let Some(standing) = self.take_turn(now) {
            return standing;
        }
        if std::mem::take(&mut self.is_new)
            && let Some(rejection) = self.reject_at_once(now)
        {
            return QueueStanding::Rejected(rejection);
        }
        QueueStanding::Waiting(cause)
    }

    /// Waits for the request's turn.
    pub(crate) async fn wait(&mut self) {
        if self.turn.is_none() {
            self.turn = (&mut self.receiver).await.ok();
        }
    }

    /// Number of waiting requests, and of those that are expected to be dispatched before this one.
    pub(crate) fn position(&self) -> (usize, u64) {
        let state = self.gateway.lock();
        (state.admission.queue.len(), state.admission.queue.position(self.ticket).unwrap_or(0))
    }

    /// Records that the request is rejected for a reason other than its position.
    pub(crate) fn record_rejection(&self, now: ClockTime) {
        self.gateway.lock().admission.queue.record_rejection(&self.request, now);
    }

    fn take_turn(&mut self, now: ClockTime) -> Option<QueueStanding> {
        let turn = match self.turn.take() {
            Some(turn) => Ok(turn),
            None => self.receiver.try_recv(),
        };
        match turn {
            Ok(QueueTurn::Place(guard)) => {
                let queued_ms = now.since_ms(self.entered_at);
                let labels = ClassLabels::new(self.request.class());
                let times = &self.gateway.metrics.queued_s;
                times.get_or_create(&labels).observe(queued_ms as f64 / 1_000.0);
                Some(QueueStanding::Place(guard))
            }
            Ok(QueueTurn::Rejected(rejection)) => Some(QueueStanding::Rejected(rejection)),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Closed) => {
                self.enter_again(now);
                None
            }
        }
    }

    /// Enters the queue again after a turn without a place.
    fn enter_again(&mut self, now: ClockTime) {
        let mut state = self.gateway.lock();
        let (request, need, tried) = (self.request.clone(), self.need.clone(), self.tried.clone());
        (self.ticket, self.receiver) = state.admission.enter(request, need, tried, now);
    }

    /// Rejects a request that arrives too late in the queue to be served in time.
    fn reject_at_once(&self, now: ClockTime) -> Option<AdmissionRejection> {
        let mut state = self.gateway.lock();
        let rejection = state.admission.queue.rejection(self.ticket, now)?;
        state.admission.leave(self.ticket);
        state.admission.queue.record_rejection(&self.request, now);
        Some(rejection)
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.gateway.lock().admission.leave(self.ticket);
    }
}
