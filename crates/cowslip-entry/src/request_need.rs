//! What a request needs of an upstream.

use cowslip_units::{ModelId, ServiceId};
use smol_str::SmolStr;

/// A model, with the adapter of it that a request names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelNeed {
    /// The model.
    pub model: ModelId,
    /// Its adapter.
    pub adapter: Option<SmolStr>,
}

/// What a request needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestNeed {
    /// The service.
    pub service: ServiceId,
    /// The model; `None` at a plain service.
    pub model: Option<ModelNeed>,
    /// Hash of the session or subject: requests of one prefer one upstream, where its prompt is cached.
    pub affinity: u64,
    /// Regions that the request may go to; empty for all.
    pub regions: Vec<SmolStr>,
}
