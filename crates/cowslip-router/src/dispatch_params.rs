//! Queues a request and waits until the dispatcher grants it a permit.

use std::sync::Arc;

use cowslip_routing::{PromptPrefix, QueueTicket, RequestClass, WaitTarget};
use cowslip_units::{ClockTime, ErrorKind, KeyDigest, TeamId, TokenCount, UpstreamId};
use tokio::sync::oneshot;
use tokio::time::{Duration, timeout};

use crate::dispatch_loop::is_first_waiting;
use crate::{ErrorResponse, PermitGuard, RouterCore, RouterPolicy, WaitingCall};

/// Time in ms after the deadline at which a queued request times out by itself; the dispatcher normally
/// rejects it earlier.
const EXPIRY_GRACE_MS: u64 = 100;

/// Parameters for queueing a request and dispatching it to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchParams {
    /// Team of the request; `None` on open routes.
    pub team: Option<TeamId>,
    /// Digest of the caller's key; `None` on open routes and for reports.
    pub key: Option<KeyDigest>,
    /// Priority class.
    pub class: RequestClass,
    /// Model or service that the request is for.
    pub target: WaitTarget,
    /// Number of tokens charged.
    pub cost: TokenCount,
    /// Time by which the response must begin.
    pub deadline: ClockTime,
    /// Prompt prefix, for cache affinity; `None` for services.
    pub prefix: Option<PromptPrefix>,
    /// Upstreams that have failed this request.
    pub excluded: Vec<UpstreamId>,
}

/// Removes a request from the queue when dropped, in particular when its caller disconnects.
struct QueueGuard<'a> {
    core: &'a Arc<RouterCore>,
    ticket: QueueTicket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let call = {
            let mut state = self.core.state();
            if state.queue.leave(self.ticket).is_some() {
                // The demand is withdrawn with a report that is sent immediately.
                self.core.signals.demand.notify_one();
            }
            state.waiting.remove(&self.ticket)
        };
        drop(call);
    }
}

impl DispatchParams {
    /// Queues the request and waits for a permit, at most until the deadline.
    pub async fn wait_for_permit(&self, core: &Arc<RouterCore>) -> Result<PermitGuard, ErrorResponse> {
        let now = core.now();
        let (permit_sender, permit_receiver) = oneshot::channel();
        let ticket = {
            let mut state = core.state();
            let pushed = state.queue.push(
                // The baseline policy has one queue for all teams.
                self.team.clone().filter(|_| core.settings.policy == RouterPolicy::Shared),
                self.class,
                self.target.clone(),
                self.cost,
                now,
                self.deadline,
            );
            let Ok(ticket) = pushed else {
                drop(state);
                return Err(ErrorResponse::new(ErrorKind::QueueFull, "too many requests wait at this VM"));
            };
            let call = WaitingCall {
                permit_sender,
                key: self.key.clone(),
                prefix: self.prefix.clone(),
                excluded: self.excluded.clone(),
            };
            state.waiting.insert(ticket, call);
            if is_first_waiting(&state, &self.target, self.class) {
                core.signals.demand.notify_one();
            }
            ticket
        };
        let guard = QueueGuard { core, ticket };
        core.signals.dispatch.notify_one();
        let received = if self.deadline == ClockTime::NEVER {
            permit_receiver.await.ok()
        } else {
            let wait_ms = self.deadline.since_ms(now).saturating_add(EXPIRY_GRACE_MS);
            timeout(Duration::from_millis(wait_ms), permit_receiver).await.ok().and_then(Result::ok)
        };
        drop(guard);
        core.metrics.time_ms("queue_wait", core.now().since_ms(now));
        received.unwrap_or_else(|| {
            let message = "the deadline passed while the request waited";
            Err(ErrorResponse::new(ErrorKind::DeadlineExceeded, message))
        })
    }
}
