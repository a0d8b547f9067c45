//! The upstreams that a waiting request could use.

use cowslip_units::{ClockTime, ServiceId};
use smol_str::SmolStr;

use crate::{KnownUpstream, ModelNeed, RequestNeed};

/// Requirements that decide which upstreams may take a request. Requests with the same target can use the same
/// places; sessions and earlier attempts only decide which of them is preferred.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionTarget {
    /// Service that the request is routed to.
    pub service: ServiceId,
    /// Model and adapter; `None` at a plain service.
    pub model: Option<ModelNeed>,
    /// Regions that the request may be sent to; empty for all.
    pub regions: Vec<SmolStr>,
}

impl AdmissionTarget {
    /// Target of a request.
    pub fn new(need: &RequestNeed) -> Self {
        Self { service: need.service.clone(), model: need.model.clone(), regions: need.regions.clone() }
    }

    /// True when a place that becomes free at the upstream may be one for this target.
    pub fn could_use(&self, known: &KnownUpstream, now: ClockTime) -> bool {
        let is_held = self.model.as_ref().is_none_or(|need| known.holds(need, now));
        known.entry.service == self.service && is_held
    }
}
