//! What an upstream tells of itself.

use std::net::SocketAddr;

use cowslip_units::{DomainId, ModelId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A model that an engine holds, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub name: ModelId,
    /// Its adapters.
    pub adapters: Vec<SmolStr>,
}

/// One incarnation of an upstream, as it last described itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its id.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True when it leaves and gets no new work.
    pub draining: bool,
    /// Time in ms for which it stays cold.
    pub cold_left_ms: u64,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
    /// Models whose weights lie in its host memory. Only the leader needs them, so gateways do not pass them on.
    #[serde(skip)]
    pub in_memory: Vec<ModelId>,
    /// Models whose weights lie on its disk.
    #[serde(skip)]
    pub on_disk: Vec<ModelId>,
    /// Store version of the row that brought this content.
    pub version: u64,
    /// Unix time in ms of its start; tells two starts under one id apart.
    pub born: u64,
}

impl UpstreamEntry {
    /// The entry without the lists that only the leader needs.
    #[must_use]
    pub fn without_copies(&self) -> Self {
        Self { in_memory: Vec::new(), on_disk: Vec::new(), ..self.clone() }
    }

    /// True when it says that it holds the model.
    pub fn holds(&self, model: &ModelId) -> bool {
        self.models.iter().any(|held| held.name == *model)
    }
}
