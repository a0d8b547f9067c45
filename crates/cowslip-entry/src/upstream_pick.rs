//! Load balancing among the upstreams of a registry.
//!
//! Load this answers: many gateways choose at the same time, based on views that are up to one report
//! interval old. Ties are broken by a hash of the request's session and the upstream, so that the gateways do
//! not all follow one stale figure, and requests of one session meet at the engine that has their prompt
//! cached.

use cowslip_units::{ClockTime, DomainId, UpstreamId};
use smol_str::SmolStr;

use crate::{
    FirstEventModel, KnownUpstream, ModelNeed, RequestNeed, RoomLimit, RoomSeeker, ServiceRule,
    SlowStartLimit, UpstreamRegistry, WaitCause, hash_rank, pair_weight, text_hash, timed_cost::EngineView,
};

/// Cost of an upstream in another failure domain, in calls; bytes between domains cost money.
const DOMAIN_WEIGHT: f64 = 1.5;

/// Cost of an engine other than the session's preferred one, in calls.
const SESSION_WEIGHT: f64 = 2.0;

/// Cost of a failure share of one, in calls.
const FAILURE_WEIGHT: f64 = 24.0;

/// Cost of an upstream that an earlier attempt was sent to, in calls: any other one is preferred, whatever
/// its load.
const RETRIED_WEIGHT: f64 = 10_000.0;

/// Latency in ms assumed for a plain upstream before its first answer.
const FIRST_LATENCY_MS: f64 = 20.0;

/// Tokens of a typical request; bounds how many requests run at once in an engine's KV cache.
const TYPICAL_TOKENS: u64 = 1_700;

/// Part of its slots by which the calls at an engine may exceed them. So many calls end before other gateways learn of free
/// slots, and a request waits shorter at the engine than at a gateway.
const QUEUE_DIVISOR: u32 = 4;

/// Requests beyond its slots that a plain upstream may queue.
const MAX_QUEUED_REQUESTS: u32 = 2;

/// The outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamPick {
    /// Send the request to this upstream.
    Send(UpstreamId),
    /// Let the request wait.
    Wait(WaitCause),
}

/// Inputs of a choice beside the request.
#[derive(Clone, Debug)]
pub struct PickContext<'a> {
    /// Rule of the request's service.
    pub service: &'a ServiceRule,
    /// Failure domain of this gateway.
    pub domain: &'a DomainId,
    /// Failure domains that are evacuated.
    pub evacuated: &'a [DomainId],
    /// Regions of the failure domains, sorted by domain.
    pub regions: &'a [(DomainId, SmolStr)],
    /// Upstreams that earlier attempts of the request were sent to.
    pub tried: &'a [UpstreamId],
    /// Name of this gateway.
    pub own_name: &'a str,
    /// Names of all gateways.
    pub members: &'a [SmolStr],
    /// Limit on requests to upstreams that are warming up; `None` when there is none.
    pub slow_start_limit: Option<SlowStartLimit>,
}

impl UpstreamRegistry {
    /// Chooses an upstream for a request.
    pub fn pick(&self, need: &RequestNeed, context: &PickContext<'_>, now: ClockTime) -> UpstreamPick {
        let mut cause = WaitCause::NoUpstream;
        let mut best: Option<(f64, &KnownUpstream)> = None;
        let preferred = self.preferred_hash(need, context, now);
        let model = self.first_event_model(&need.service);
        let seeker = self.room_seeker(context);
        for known in self.all() {
            match self.wait_cause(known, need, context, seeker, now) {
                Some(wait_cause) => cause = WaitCause::closest(cause, wait_cause),
                None => {
                    let cost = self.choice_cost(known, need, context, preferred, &model, now);
                    let cheaper = best.is_none_or(|(least, _)| cost < least);
                    if cheaper {
                        best = Some((cost, known));
                    }
                }
            }
        }
        match best {
            Some((_, known)) => UpstreamPick::Send(known.entry.id.clone()),
            None => UpstreamPick::Wait(cause),
        }
    }

    /// This gateway as it looks for room.
    pub(crate) fn room_seeker(&self, context: &PickContext<'_>) -> RoomSeeker {
        RoomSeeker {
            hash: text_hash(context.own_name),
            members: context.members.len(),
            place_senders: self.place_senders().get(),
        }
    }

    /// Cost of sending the request to an upstream; the lowest one is chosen.
    pub(crate) fn choice_cost(
        &self,
        known: &KnownUpstream,
        need: &RequestNeed,
        context: &PickContext<'_>,
        preferred: u64,
        model: &FirstEventModel,
        now: ClockTime,
    ) -> f64 {
        if context.service.is_self_paced() {
            self.engine_view(known, context, preferred, need).cost_ms(model, need, now)
        } else {
            cost(known, need, context, preferred, now)
        }
    }

    /// Expected time in ms to the first event of a request that is sent to an engine of a self-paced service.
    pub fn expected_ms(
        &self,
        id: &UpstreamId,
        need: &RequestNeed,
        context: &PickContext<'_>,
        now: ClockTime,
    ) -> Option<f64> {
        let known = self.get(id).filter(|_| context.service.is_self_paced())?;
        let preferred = self.preferred_hash(need, context, now);
        let model = self.first_event_model(&need.service);
        Some(self.engine_view(known, context, preferred, need).expected_ms(&model, need, now))
    }

    fn engine_view<'a>(
        &self,
        known: &'a KnownUpstream,
        context: &PickContext<'_>,
        preferred: u64,
        need: &RequestNeed,
    ) -> EngineView<'a> {
        EngineView {
            known,
            calls: known.newest_total(self.leader_load_at()),
            limit: known.work.pace.calls(known.entry.slots),
            is_preferred: need.has_session() && known.hash == preferred,
            is_tried: context.tried.contains(&known.entry.id),
            is_near: known.entry.domain == *context.domain,
        }
    }

    /// Hash of the engine that the session's requests prefer among those that hold the model; zero when there
    /// is none.
    pub(crate) fn preferred_hash(
        &self,
        need: &RequestNeed,
        context: &PickContext<'_>,
        now: ClockTime,
    ) -> u64 {
        if context.service.is_self_paced() && !need.has_session() {
            return 0;
        }
        let holders = self
            .all()
            .iter()
            .filter(|known| self.is_eligible(known, need, context) && holds(known, need, now));
        let ranked = holders.max_by_key(|known| pair_weight(need.affinity, known.hash));
        ranked.map_or(0, |known| known.hash)
    }

    /// Why an upstream cannot be chosen; `None` when it can.
    pub(crate) fn wait_cause(
        &self,
        known: &KnownUpstream,
        need: &RequestNeed,
        context: &PickContext<'_>,
        seeker: RoomSeeker,
        now: ClockTime,
    ) -> Option<WaitCause> {
        if !self.is_eligible(known, need, context) {
            return Some(WaitCause::NoUpstream);
        }
        if !holds(known, need, now) {
            let base = need.model.as_ref().is_some_and(|model| known.holds(&base_of(model), now));
            return Some(if base { WaitCause::NoAdapter } else { WaitCause::NoModel });
        }
        if !known.is_healthy(now) {
            return Some(WaitCause::Unsound);
        }
        let paused_ms = self.notices().paused_ms(&known.entry, now);
        if paused_ms > 0 {
            return Some(WaitCause::Away(paused_ms));
        }
        if let Some(limit) = context.slow_start_limit
            && known.is_warming_up(now)
            && context.service.cold_per_s > 0.0
        {
            let rank = hash_rank(known.hash, context.own_name, context.members);
            let members = context.members.len().max(1);
            match known.slow_start_gate.wait_ms(limit, context.service.cold_per_s, rank, members, now) {
                Some(0) => {}
                Some(wait_ms) => return Some(WaitCause::Cold(wait_ms)),
                None => return Some(WaitCause::Cold(known.warming_until.since_ms(now))),
            }
        }
        (!self.has_room(known, need, context.service, seeker, now)).then_some(WaitCause::Full)
    }

    fn has_room(
        &self,
        known: &KnownUpstream,
        need: &RequestNeed,
        service: &ServiceRule,
        seeker: RoomSeeker,
        now: ClockTime,
    ) -> bool {
        match &service.engine {
            Some(engine) if service.is_self_paced() => {
                let paced = known.work.pace.calls(known.entry.slots);
                let calls = if paced < known.entry.slots { paced } else { paced + paced / QUEUE_DIVISOR };
                let limit = RoomLimit { calls, tokens: engine.kv_tokens };
                let calls = known.newest_total(self.leader_load_at());
                known.work.has_room(limit, calls, need.tokens(), known.hash, seeker, now)
            }
            _ => known.total() < max_calls(known, service) && self.is_within_pace(known, service),
        }
    }

    /// True when a plain upstream that states how long work takes there has fewer calls than its window admits. An
    /// open window adds nothing to the limit of the service.
    fn is_within_pace(&self, known: &KnownUpstream, service: &ServiceRule) -> bool {
        if service.engine.is_some() || !known.work.states_speed() {
            return true;
        }
        let calls = known.work.pace.calls(known.entry.slots);
        calls >= known.entry.slots || known.newest_total(self.leader_load_at()) < calls
    }

    fn is_eligible(&self, known: &KnownUpstream, need: &RequestNeed, context: &PickContext<'_>) -> bool {
        let entry = &known.entry;
        if entry.service != need.service || self.is_closed(entry, context.evacuated) {
            return false;
        }
        if need.regions.is_empty() {
            return true;
        }
        let region = context.regions.iter().find(|(domain, _)| *domain == entry.domain);
        region.is_some_and(|(_, region)| need.regions.contains(region))
    }
}

/// A need without its adapter.
fn base_of(need: &ModelNeed) -> ModelNeed {
    ModelNeed { model: need.model.clone(), adapter: None }
}

fn holds(known: &KnownUpstream, need: &RequestNeed, now: ClockTime) -> bool {
    need.model.as_ref().is_none_or(|model| known.holds(model, now))
}

/// Largest number of calls in flight at an upstream, summed over the fleet.
fn max_calls(known: &KnownUpstream, service: &ServiceRule) -> u32 {
    match &service.engine {
        Some(engine) => {
            let by_memory = u32::try_from(engine.kv_tokens / TYPICAL_TOKENS).unwrap_or(u32::MAX);
            known.entry.slots.min(by_memory).max(1)
        }
        None => known.entry.slots.saturating_add(MAX_QUEUED_REQUESTS),
    }
}

/// How much longer than on average a plain upstream takes now, as far as its answers state it.
fn plain_ratio(known: &KnownUpstream, now: ClockTime) -> f64 {
    if !known.work.states_speed() {
        return 1.0;
    }
    let speed = &known.work.speed;
    known.work.latency.ratio(now) * speed.current(now) / speed.lasting().max(f64::MIN_POSITIVE)
}

/// Cost of sending the request to this upstream: in calls for an engine, in ms for a plain upstream.
fn cost(
    known: &KnownUpstream,
    need: &RequestNeed,
    context: &PickContext<'_>,
    preferred: u64,
    now: ClockTime,
) -> f64 {
    let tried = if context.tried.contains(&known.entry.id) { RETRIED_WEIGHT } else { 0.0 };
    let domain = if known.entry.domain == *context.domain { 0.0 } else { DOMAIN_WEIGHT };
    let failure = FAILURE_WEIGHT * known.failure_share;
    let tie_break = (pair_weight(need.affinity, known.hash) >> 40) as f64 / (1u64 << 24) as f64;
    let calls = f64::from(known.total());
    match &context.service.engine {
        Some(_) => {
            let session = if known.hash == preferred { 0.0 } else { SESSION_WEIGHT };
            calls + domain + failure + session + tie_break + tried
        }
        None => {
            let latency = if known.latency_ms > 0.0 { known.latency_ms } else { FIRST_LATENCY_MS };
            (calls + 1.0 + failure + tie_break + tried) * latency * plain_ratio(known, now)
        }
    }
}
