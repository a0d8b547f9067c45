//! An upstream's own description, as it writes it to the store.

use std::net::SocketAddr;

use cowslip_units::{DomainId, ModelId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A model held by an engine, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// Name of the model.
    pub name: ModelId,
    /// Names of the adapters held for it.
    pub adapters: Vec<SmolStr>,
}

/// One incarnation of an upstream, as it last described itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Id of the upstream, kept over restarts.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// True when it is leaving and must get no new work.
    pub draining: bool,
    /// Remaining time in ms of its slow start.
    pub cold_left_ms: u64,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
    /// Models whose weights are in its host memory. Only the leader needs them, so gateways do not forward
    /// them.
    #[serde(skip)]
    pub in_memory: Vec<ModelId>,
    /// Models whose weights are on its disk; not forwarded either.
    #[serde(skip)]
    pub on_disk: Vec<ModelId>,
    /// Store version of the row that introduced this content.
    pub version: u64,
    /// Unix time in ms of its start; distinguishes incarnations under one id.
    pub born: u64,
}

impl UpstreamEntry {
    /// The entry without the lists that only the leader needs.
    #[must_use]
    pub fn without_copies(&self) -> Self {
        Self { in_memory: Vec::new(), on_disk: Vec::new(), ..self.clone() }
    }

    /// True when it lists the model as held.
    pub fn holds(&self, model: &ModelId) -> bool {
        self.models.iter().any(|held| held.name == *model)
    }
}
