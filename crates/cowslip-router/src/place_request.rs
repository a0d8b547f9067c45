//! Waiting for the turn of a request.

use std::sync::Arc;

use cowslip_routing::{PromptPrefix, QueueTicket, RequestClass, WaitTarget};
use cowslip_units::{ClockTime, ErrorKind, KeyDigest, TeamId, TokenCount, UpstreamId};
use tokio::sync::oneshot;
use tokio::time::{Duration, timeout};

use crate::dispatch_pump::is_first;
use crate::{ErrorResponse, PermitGuard, RouterCore, RouterPolicy, WaitingCall};

/// Time in ms after the deadline at which a waiting request gives up by itself. The dispatcher refuses it before.
const LATE_MS: u64 = 100;

/// What a request needs to be placed on an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceRequest {
    /// Team; `None` on open routes.
    pub team: Option<TeamId>,
    /// Digest of its key.
    pub key: Option<KeyDigest>,
    /// Class.
    pub class: RequestClass,
    /// What it needs.
    pub target: WaitTarget,
    /// Tokens it is charged with.
    pub cost: TokenCount,
    /// When its answer must begin.
    pub deadline: ClockTime,
    /// Prefix of its prompt.
    pub prefix: Option<PromptPrefix>,
    /// Upstreams that have failed it.
    pub excluded: Vec<UpstreamId>,
}

/// Removes a request from the queue when its caller leaves.
struct WaitGuard<'a> {
    core: &'a Arc<RouterCore>,
    ticket: QueueTicket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let call = {
            let mut state = self.core.state();
            if state.queue.leave(self.ticket).is_some() {
                // The demand is withdrawn with the next report, at once.
                self.core.signals.demand.notify_one();
            }
            state.waiting.remove(&self.ticket)
        };
        drop(call);
    }
}

impl PlaceRequest {
    /// Waits in the queue until an upstream and a permit for it are found.
    pub async fn wait_turn(&self, core: &Arc<RouterCore>) -> Result<PermitGuard, ErrorResponse> {
        let now = core.now();
        let (turn, turned) = oneshot::channel();
        let ticket = {
            let mut state = core.state();
            let pushed = state.queue.push(
                // The plain policy has one lane for all teams.
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
                turn,
                key: self.key.clone(),
                prefix: self.prefix.clone(),
                excluded: self.excluded.clone(),
            };
            state.waiting.insert(ticket, call);
            if is_first(&state, &self.target, self.class) {
                core.signals.demand.notify_one();
            }
            ticket
        };
        let guard = WaitGuard { core, ticket };
        core.signals.pump.notify_one();
        let received = if self.deadline == ClockTime::NEVER {
            turned.await.ok()
        } else {
            let wait_ms = self.deadline.since_ms(now).saturating_add(LATE_MS);
            timeout(Duration::from_millis(wait_ms), turned).await.ok().and_then(Result::ok)
        };
        drop(guard);
        core.metrics.time_ms("queue_wait", core.now().since_ms(now));
        received.unwrap_or_else(|| {
            let message = "the deadline passed while the request waited";
            Err(ErrorResponse::new(ErrorKind::DeadlineExceeded, message))
        })
    }
}
