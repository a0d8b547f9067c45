//! The platform's list of live and leaving VMs.

use std::future::Future;
use std::net::SocketAddr;

use cowslip_units::{DomainId, VmId};
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry VM of this system.
    Entry,
    /// An upstream; the VM has the same name.
    Upstream,
}

/// State of a VM as listed by the platform, with a delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// Has announced its shutdown; it should receive no new work.
    Leaving,
}

/// An entry of the VM list; a VM that is gone is not listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Entry VM or upstream.
    pub role: VmRole,
    /// In service or leaving.
    pub state: VmState,
    /// JSON-RPC address of the router on an entry VM; HTTP address of an upstream.
    pub address: SocketAddr,
    /// JSON-RPC address of the controller on an entry VM; `None` for an upstream.
    pub controller: Option<SocketAddr>,
}

/// The platform's VM list.
pub trait VmList: Clone + Send + Sync + 'static {
    /// All listed VMs, sorted by name.
    fn list(&self) -> impl Future<Output = Result<Vec<VmEntry>, PlatformError>> + Send;
}
