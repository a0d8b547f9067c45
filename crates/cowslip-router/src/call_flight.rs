//! Requests in flight at an upstream, and the checks made just before sending.

use std::net::SocketAddr;
use std::sync::Arc;

use cowslip_routing::{CallOutcome, WaitTarget};
use cowslip_units::{ClockTime, ErrorKind, InvariantName, ModelId, UpstreamId, assert_invariant};
use tokio::sync::oneshot;

use crate::{CallFault, DispatchParams, ErrorResponse, PermitGuard, RouterCore, RouterState};

/// Number of upstreams whose latency is compared with that of the one in use.
const MAX_PEERS: usize = 8;

/// Reason why a request is not sent although a permit was granted.
#[derive(Clone, Debug, PartialEq)]
pub enum StartFault {
    /// The upstream went out of service after the permit was granted; the request has to be queued again.
    Requeue,
    /// The request is rejected.
    Rejected(ErrorResponse),
}

/// Holds the permit while the request runs and reports its outcome. Dropping it without [`Self::end`] reports
/// the outcome as undecided.
#[derive(Debug)]
pub struct CallFlight {
    core: Arc<RouterCore>,
    permit: PermitGuard,
    target: WaitTarget,
    number: u64,
    /// Time at which the request was sent.
    pub sent_at: ClockTime,
    /// Address of the upstream.
    pub address: SocketAddr,
    ended: bool,
}

/// A call in flight, and the channel over which this router cancels it.
pub type StartedFlight = (CallFlight, oneshot::Receiver<ErrorKind>);

impl CallFlight {
    /// Repeats all admission checks at the moment of dispatch and counts the request as sent.
    pub fn start(
        core: &Arc<RouterCore>,
        permit: PermitGuard,
        params: &DispatchParams,
    ) -> Result<StartedFlight, StartFault> {
        let now = core.now();
        let mut guard = core.state();
        let state = &mut *guard;
        let checked = check_start(state, &permit, params, now);
        let address = match checked {
            Ok(address) => address,
            Err(fault) => {
                // Dropping the permit locks the state, so the state must be unlocked first.
                drop(guard);
                drop(permit);
                return Err(fault);
            }
        };
        state.selector.sent(now, permit.upstream(), params.prefix.as_ref());
        if let Some(count) = in_flight_count(state, &params.target, permit.upstream()) {
            *count += 1;
        }
        let (number, cancel_signal) = state.running.add(params.key.clone());
        drop(guard);
        let flight = Self {
            core: Arc::clone(core),
            permit,
            target: params.target.clone(),
            number,
            sent_at: now,
            address,
            ended: false,
        };
        Ok((flight, cancel_signal))
    }

    /// The upstream that runs the request.
    pub fn upstream(&self) -> &UpstreamId {
        self.permit.upstream()
    }

    /// Applies what a failed attempt reveals about the upstream: that the model is not loaded there, or that
    /// the upstream may have restarted. The placement table shows either only later.
    pub fn record_fault(&self, fault: &CallFault) {
        if fault.may_have_restarted {
            let now = self.core.now();
            self.core.state().permits.mark_fresh(self.permit.upstream(), now);
        }
        if !fault.evicted {
            return;
        }
        if let WaitTarget::Model(model) = &self.target {
            let now = self.core.now();
            self.core.state().placement.record_eviction(model, self.permit.upstream(), now);
        }
    }

    /// Ends the call and reports its outcome to upstream selection.
    pub fn end(mut self, outcome: CallOutcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: CallOutcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.core.now();
        let mut state = self.core.state();
        let peers: Vec<UpstreamId> =
            state.rules(now).upstreams(&self.target).iter().take(MAX_PEERS).cloned().collect();
        state.selector.ended(now, self.permit.upstream(), outcome, &peers);
        if let Some(count) = in_flight_count(&mut state, &self.target, self.permit.upstream()) {
            *count = count.saturating_sub(1);
        }
        state.in_flight.retain(|_, count| *count > 0);
        state.running.remove(self.number);
    }
}

impl Drop for CallFlight {
    fn drop(&mut self) {
        self.finish(CallOutcome::Undecided);
    }
}

fn in_flight_count<'a>(
    state: &'a mut RouterState,
    target: &WaitTarget,
    upstream: &UpstreamId,
) -> Option<&'a mut u32> {
    let model: &ModelId = match target {
        WaitTarget::Model(model) => model,
        WaitTarget::Service(_) => return None,
    };
    Some(state.in_flight.entry((model.clone(), upstream.clone())).or_default())
}

fn check_start(
    state: &mut RouterState,
    permit: &PermitGuard,
    params: &DispatchParams,
    now: ClockTime,
) -> Result<SocketAddr, StartFault> {
    let reject = |kind, message: &str| Err(StartFault::Rejected(ErrorResponse::new(kind, message)));
    if !state.confirmation.can_admit(now) {
        return reject(ErrorKind::ViewStale, "this router cannot confirm its configuration at present");
    }
    if let Some(key) = &params.key {
        match state.team_of(key) {
            Ok(team) => {
                let is_same_team = params.team.as_ref().is_none_or(|request_team| *request_team == team);
                if !assert_invariant(is_same_team, InvariantName::TeamIsolated, || {
                    format!("a request of team {:?} would run for team {team}", params.team)
                }) {
                    return reject(ErrorKind::Internal, "the request's team changed");
                }
            }
            Err(kind) => return reject(kind, "the key was withdrawn"),
        }
    }
    if now > params.deadline {
        return reject(ErrorKind::DeadlineExceeded, "the deadline passed before the request was sent");
    }
    let upstream = permit.upstream();
    let Some(row) = state.rules(now).check(&params.target, upstream) else {
        return Err(StartFault::Requeue);
    };
    let (address, domain) = (row.address, row.domain.clone());
    let allowed = state.selector.load(upstream).is_none_or(|load| load.breaker.can_send(now));
    if !allowed || !state.permits.start(permit.permit(), now) {
        return Err(StartFault::Requeue);
    }
    let withdrawn = params.key.as_ref().is_some_and(|key| state.team_of(key).is_err());
    assert_invariant(!withdrawn, InvariantName::KeyWithdrawn, || {
        format!("a request with a key that is no longer valid is sent to {upstream}")
    });
    assert_invariant(!state.view.is_domain_out(&domain), InvariantName::DomainOut, || {
        format!("{upstream} gets a request although failure domain {domain} is out of service")
    });
    assert_invariant(state.vms.is_available(upstream), InvariantName::UpstreamLeaving, || {
        format!("{upstream} gets a request although it is leaving or gone")
    });
    Ok(address)
}
