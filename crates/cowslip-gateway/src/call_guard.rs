//! Counts the calls in flight at each upstream.

use std::sync::Arc;

use cowslip_entry::ModelNeed;
use cowslip_units::UpstreamId;
use tokio::runtime::Handle;

use crate::admission_turns::dispatch_at;
use crate::gateway::Gateway;
use crate::gateway_state::GatewayState;

/// Keeps a call to an upstream counted as running until dropped. Must not be dropped while the state is locked.
#[derive(Debug)]
pub(crate) struct CallGuard {
    gateway: Arc<Gateway>,
    upstream: UpstreamId,
    model: Option<ModelNeed>,
    tokens: u64,
}

impl CallGuard {
    /// Counts a call that starts.
    pub(crate) fn new(gateway: &Arc<Gateway>, upstream: &UpstreamId, model: Option<&ModelNeed>) -> Self {
        let mut state = gateway.lock();
        Self::reserve(gateway, &mut state, upstream, model)
    }

    /// Counts a call that is about to start, so that no other request gets its place.
    pub(crate) fn reserve(
        gateway: &Arc<Gateway>,
        state: &mut GatewayState,
        upstream: &UpstreamId,
        model: Option<&ModelNeed>,
    ) -> Self {
        state.begin_call(upstream, model);
        Self { gateway: Arc::clone(gateway), upstream: upstream.clone(), model: model.cloned(), tokens: 0 }
    }

    /// Counts the tokens that the call is expected to hold.
    #[must_use]
    pub(crate) fn with_tokens(mut self, tokens: u64) -> Self {
        if let Some(known) = self.gateway.lock().upstreams.get_mut(&self.upstream) {
            known.work.own_tokens = known.work.own_tokens.saturating_add(tokens);
        }
        self.tokens = tokens;
        self
    }

    /// Upstream of the call.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut state = self.gateway.lock();
        state.end_call(&self.upstream, self.model.as_ref());
        if let Some(known) = state.upstreams.get_mut(&self.upstream) {
            known.work.own_tokens = known.work.own_tokens.saturating_sub(self.tokens);
        }
        let has_queued = !state.admission.queue.is_empty();
        let has_unqueued = state.waiting.all().iter().any(|waiting| !waiting.is_queued);
        drop(state);
        if has_queued {
            dispatch_later(&self.gateway, &self.upstream);
        }
        if has_unqueued {
            self.gateway.state_changed.notify_waiters();
        }
    }
}

/// Gives the place to a waiting request in a task of its own, so that the outcome of the call is recorded first: an
/// upstream that has just refused or failed may not be one for the next request.
fn dispatch_later(gateway: &Arc<Gateway>, upstream: &UpstreamId) {
    // Without a runtime, no request waits any more.
    let Ok(handle) = Handle::try_current() else {
        return;
    };
    let (gateway, upstream) = (Arc::clone(gateway), upstream.clone());
    drop(handle.spawn(async move { dispatch_at(&gateway, &upstream) }));
}
