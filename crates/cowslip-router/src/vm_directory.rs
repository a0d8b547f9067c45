//! The VM list as last read by this router.

use std::net::SocketAddr;

use cowslip_platform::{VmEntry, VmRole, VmState};
use cowslip_units::{IncarnationId, UpstreamId, VmId};

/// Lookup table of the last VM list; empty until the first one has been read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmDirectory {
    entries: Vec<VmEntry>,
    known: bool,
}

impl VmDirectory {
    /// Creates the directory from a VM list.
    pub fn new(mut entries: Vec<VmEntry>) -> Self {
        entries.sort_by(|one, other| one.vm.cmp(&other.vm));
        Self { entries, known: true }
    }

    /// True once a VM list has been read.
    pub fn is_known(&self) -> bool {
        self.known
    }

    fn entry(&self, vm: &str) -> Option<&VmEntry> {
        let at = self.entries.binary_search_by(|entry| entry.vm.as_str().cmp(vm)).ok()?;
        self.entries.get(at)
    }

    /// True unless the upstream's VM is leaving or gone; also true before the first VM list has been read.
    pub fn is_available(&self, upstream: &UpstreamId) -> bool {
        let entry = self.entry(upstream.as_str());
        !self.known || entry.is_some_and(|entry| entry.state == VmState::Live)
    }

    /// RPC address of the router on `vm`; `None` if the VM is unknown or has no router.
    pub fn router(&self, vm: &VmId) -> Option<SocketAddr> {
        let entry = self.entry(vm.as_str()).filter(|entry| entry.role == VmRole::Entry);
        entry.map(|entry| entry.address)
    }

    /// RPC addresses of the routers on all other entry VMs.
    pub fn other_routers(&self, own: &VmId) -> Vec<SocketAddr> {
        let entries = self.entries.iter();
        let others = entries.filter(|entry| entry.role == VmRole::Entry && entry.vm != *own);
        others.map(|entry| entry.address).collect()
    }

    /// RPC addresses of all controllers.
    pub fn controllers(&self) -> Vec<SocketAddr> {
        self.entries.iter().filter_map(|entry| entry.controller).collect()
    }

    /// True if the VM list is known and does not contain the VM of that incarnation.
    pub fn is_gone(&self, incarnation: &IncarnationId) -> bool {
        self.known && vm_of(incarnation).is_none_or(|vm| self.entry(vm).is_none())
    }
}

/// VM part of an incarnation id of the form `<vm>:<random>`.
pub(crate) fn vm_of(incarnation: &IncarnationId) -> Option<&str> {
    incarnation.as_str().rsplit_once(':').map(|(vm, _)| vm)
}
