//! Records what is known of the room at self-paced engines, from answers and for reports.

use cowslip_adapter::upstream_load;
use cowslip_entry::{KnownUpstream, ServiceRule, WorkLine, report_interval_ms};
use cowslip_units::{ClockTime, UpstreamId};
use http::HeaderMap;

use crate::gateway::Gateway;
use crate::gateway_state::GatewayState;
use crate::request_context::{AdmittedRequest, RequestContext};

/// Records a rejection by an upstream that reports itself as full.
pub(crate) fn record_rejection(
    gateway: &Gateway,
    admitted: &AdmittedRequest,
    upstream: &UpstreamId,
    headers: &HeaderMap,
) {
    let now = gateway.now();
    let Some(load) = upstream_load(headers).filter(|load| load.is_full()) else { return };
    let mut state = gateway.lock();
    let Some(known) = state.upstreams.get_mut(upstream) else { return };
    let service = admitted.config.service(&known.entry.service);
    if service.is_none_or(|service| !service.is_self_paced()) {
        return;
    }
    known.work.record_rejection(load, known.running, now);
    drop(state);
    gateway.metrics.full_rejections.inc();
}

/// Records when an answer began, where an upstream is chosen by expected time.
pub(crate) fn record_begin(
    state: &mut GatewayState,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    upstream: &UpstreamId,
    first_byte_ms: u64,
    now: ClockTime,
) {
    let Some(known) = state.upstreams.get(upstream) else { return };
    let Some(service) = admitted.config.service(&known.entry.service) else { return };
    if service.is_self_paced() || (service.engine.is_none() && known.work.states_speed()) {
        let (prompt_tokens, _) = context.caller.token_counts.unwrap_or_default();
        state.upstreams.record_first_event(upstream, service, prompt_tokens, first_byte_ms, now);
    }
}

/// True for an upstream whose calls in flight are limited by a window that all gateways share.
pub(crate) fn is_paced(known: &KnownUpstream, services: &[ServiceRule]) -> bool {
    let service = services.iter().find(|service| service.name == known.entry.service);
    service.is_some_and(|service| {
        service.is_self_paced() || (service.engine.is_none() && known.work.states_speed())
    })
}

impl GatewayState {
    /// Number of paced upstreams whose window is smaller than their slots.
    pub(crate) fn narrow_windows(&self) -> usize {
        let services = self.view.config().map_or(&[][..], |config| config.services());
        let is_narrow = |known: &&KnownUpstream| known.work.pace.calls(known.entry.slots) < known.entry.slots;
        let paced = self.upstreams.all().iter().filter(|known| is_paced(known, services));
        paced.filter(is_narrow).count()
    }

    /// Work of this gateway at paced upstreams, for a report.
    pub(crate) fn take_work(&mut self) -> Vec<WorkLine> {
        let Some(config) = self.view.config().cloned() else { return Vec::new() };
        self.upstreams.take_work(|known| is_paced(known, config.services()))
    }

    /// Date of the figures in an answer of the leader to a report of `sent_at`: the other gateways' reports that the
    /// leader sums up are half a report interval old on average.
    pub(crate) fn leader_figures_at(&self, sent_at: ClockTime) -> ClockTime {
        sent_at.minus_ms(report_interval_ms(self.members.len()) / 2)
    }
}
