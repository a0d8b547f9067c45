//! Requirements of a request on its upstream.

use cowslip_units::{ModelId, ServiceId};
use smol_str::SmolStr;

/// A model, with the adapter that a request names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelNeed {
    /// Model that the request names.
    pub model: ModelId,
    /// Adapter of the model; `None` for the model alone.
    pub adapter: Option<SmolStr>,
}

/// Requirements of a request on its upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestNeed {
    /// Service that the request is routed to.
    pub service: ServiceId,
    /// Model and adapter; `None` at a plain service.
    pub model: Option<ModelNeed>,
    /// Hash of the session or subject: its requests prefer the same upstream, which has the prompt cached.
    pub affinity: u64,
    /// Regions that the request may be sent to; empty for all.
    pub regions: Vec<SmolStr>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens that its answer is expected to have.
    pub output_tokens: u64,
    /// Objective in ms for its first event; 0 when there is none.
    pub objective_ms: u64,
    /// Hash of the attempt, which spreads requests over upstreams of similar cost.
    pub spread: u64,
}

impl RequestNeed {
    /// True when earlier requests may have left part of its prompt in an engine.
    pub const fn has_session(&self) -> bool {
        self.affinity != self.spread
    }

    /// Tokens that it is expected to hold in an engine.
    pub const fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}
