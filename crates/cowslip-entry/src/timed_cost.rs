//! Cost of an upstream as the expected time to the first event.
//!
//! Load this answers: engines that differ in speed, for good and from moment to moment, and gateways that choose with
//! figures up to one report old. The random part spreads requests over engines of similar cost, so that the gateways
//! do not all send to the best one; it is a share of the request's objective. So a request with a tight objective goes
//! to a fast engine, and one with slack goes where there is room, which is at the slow engines.

use cowslip_units::ClockTime;

use crate::{FirstEventModel, KnownUpstream, RequestNeed, pair_weight};

/// Part of a session's prompt that its preferred engine has cached.
const CACHED_SHARE: f64 = 0.5;

/// Cost of an engine in another failure domain, as a share of the objective; bytes between domains cost money.
const DOMAIN_SHARE: f64 = 0.15;

/// Cost of a full engine compared with an idle one, as a share of the objective.
const CROWD_SHARE: f64 = 0.15;

/// Scale of the random part, as a share of the objective.
const SPREAD_SHARE: f64 = 0.05;

/// Cost of a failure share of one, as a multiple of the objective.
const FAILURE_FACTOR: f64 = 3.0;

/// Cost of an engine that an earlier attempt was sent to, as a multiple of the objective.
const RETRIED_FACTOR: f64 = 1_000.0;

/// Time constant in ms with which the waiting requests that an engine reports age.
const WAITING_MS: f64 = 1_000.0;

/// Objective in ms of requests without one.
const DEFAULT_OBJECTIVE_MS: f64 = 3_000.0;

/// An engine as one request finds it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineView<'a> {
    /// The engine.
    pub known: &'a KnownUpstream,
    /// Calls of the whole fleet there.
    pub calls: u32,
    /// Calls that it may have at once.
    pub limit: u32,
    /// True when it has part of the prompt cached.
    pub is_preferred: bool,
    /// True when an earlier attempt was sent there.
    pub is_tried: bool,
    /// True when it is in the gateway's failure domain.
    pub is_near: bool,
}

impl EngineView<'_> {
    /// Expected time in ms to the first event.
    pub(crate) fn expected_ms(&self, model: &FirstEventModel, need: &RequestNeed, now: ClockTime) -> f64 {
        let work = &self.known.work;
        let cached = if self.is_preferred { CACHED_SHARE } else { 0.0 };
        let tokens = need.prompt_tokens as f64 * (1.0 - cached);
        let own_ms = model.expected_ms(tokens, work.speed.current(now), self.calls, self.known.entry.slots);
        let waiting = work.load().map_or(0.0, |(load, at)| {
            f64::from(load.waiting) * (-(now.since_ms(at) as f64) / WAITING_MS).exp()
        });
        own_ms * work.latency.ratio(now) * (1.0 + waiting)
    }

    /// Cost in ms of sending the request there.
    pub(crate) fn cost_ms(&self, model: &FirstEventModel, need: &RequestNeed, now: ClockTime) -> f64 {
        let objective_ms =
            if need.objective_ms > 0 { need.objective_ms as f64 } else { DEFAULT_OBJECTIVE_MS };
        let domain = if self.is_near { 0.0 } else { DOMAIN_SHARE };
        let crowd = CROWD_SHARE * f64::from(self.calls) / f64::from(self.limit.max(1));
        let failure = FAILURE_FACTOR * self.known.failure_share;
        let tried = if self.is_tried { RETRIED_FACTOR } else { 0.0 };
        let spread = SPREAD_SHARE * random_part(pair_weight(need.spread, self.known.hash));
        self.expected_ms(model, need, now) + objective_ms * (domain + crowd + failure + tried + spread)
    }
}

/// A value of the exponential distribution with mean one.
fn random_part(hash: u64) -> f64 {
    let uniform = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
    -uniform.ln()
}
