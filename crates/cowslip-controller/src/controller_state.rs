//! State shared by the tasks of a controller.

use std::net::SocketAddr;

use cowslip_config::FleetSheet;
use cowslip_fleet::{FleetView, LeaderLease, LeaseHolder, VersionTracker};
use cowslip_placement::ListAbsence;
use cowslip_platform::{VmEntry, VmRole};
use cowslip_units::{ClockTime, DomainId, UpstreamId, VmId};
use smol_str::SmolStr;

use crate::leader_state::LeaderState;

/// The store counts as down after this time in ms without a successful call. The head of the change log is
/// read every 500 ms with a time-out of 500 ms, so one lost answer is not enough.
const STORE_DOWN_AFTER_MS: u64 = 1_300;

/// A parsed sheet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LoadedSheet {
    pub(crate) digest: SmolStr,
    pub(crate) text: String,
    pub(crate) sheet: FleetSheet,
}

/// Shared state of a controller.
#[derive(Debug)]
pub struct ControllerState {
    pub(crate) view: FleetView,
    pub(crate) tracker: VersionTracker,
    pub(crate) sheet: Option<LoadedSheet>,
    pub(crate) lease: LeaderLease,
    pub(crate) leader: Option<LeaderState>,
    pub(crate) vms: Vec<VmEntry>,
    /// Entry VMs that were listed before and are now missing from the VM list.
    pub(crate) missing_vms: Vec<(VmId, ListAbsence)>,
    /// When failure domains and upstreams returned to service; a leader that takes over restores their slow
    /// starts from these times.
    pub(crate) returned_domains: Vec<(DomainId, ClockTime)>,
    pub(crate) returned_upstreams: Vec<(UpstreamId, ClockTime)>,
    pub(crate) store_ok_at: Option<ClockTime>,
    pub(crate) stopping: bool,
    /// Number of takeovers by this process, and the last table count of its last planner.
    pub(crate) takeovers: u64,
    pub(crate) last_count: u64,
    own: LeaseHolder,
}

impl ControllerState {
    /// The state of a controller that has not read anything yet.
    pub(crate) fn new(own: LeaseHolder) -> Self {
        let view = FleetView::new();
        Self {
            tracker: VersionTracker::new(own.incarnation.clone(), &view),
            view,
            sheet: None,
            lease: LeaderLease::new(own.clone()),
            leader: None,
            vms: Vec::new(),
            missing_vms: Vec::new(),
            returned_domains: Vec::new(),
            returned_upstreams: Vec::new(),
            store_ok_at: None,
            stopping: false,
            takeovers: 0,
            last_count: 0,
            own,
        }
    }

    /// This process as a lease holder.
    pub(crate) const fn own(&self) -> &LeaseHolder {
        &self.own
    }

    /// Whether the store answered recently.
    pub(crate) fn is_store_up(&self, now: ClockTime) -> bool {
        self.store_ok_at.is_some_and(|at| now.since_ms(at) <= STORE_DOWN_AFTER_MS)
    }

    /// Entry VMs on the VM list.
    pub(crate) fn entry_vms(&self) -> impl Iterator<Item = &VmEntry> {
        self.vms.iter().filter(|entry| entry.role == VmRole::Entry)
    }

    /// The VM of the lease holder.
    pub(crate) fn leader_vm(&self) -> Option<&VmId> {
        self.lease.holder().map(|holder| &holder.vm)
    }

    /// The RPC address of the leader; `None` if it is unknown or this process.
    pub(crate) fn leader_addr(&self) -> Option<SocketAddr> {
        let holder = self.lease.holder().filter(|holder| **holder != self.own)?;
        self.entry_vms().find(|entry| entry.vm == holder.vm)?.controller
    }

    /// HTTP address of an upstream: as declared, or as on the VM list if the sheet no longer declares it.
    pub(crate) fn upstream_addr(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        let declared = self.sheet.as_ref().and_then(|loaded| loaded.sheet.upstream(upstream));
        if let Some(row) = declared {
            return Some(row.address);
        }
        let listed = self
            .vms
            .iter()
            .find(|entry| entry.role == VmRole::Upstream && entry.vm.as_str() == upstream.as_str());
        listed.map(|entry| entry.address)
    }

    /// Applies a change of the view to the version tracker and the planner, and records what has returned to
    /// service.
    pub(crate) fn view_changed(&mut self, before: &FleetView, now: ClockTime) {
        self.tracker.view_changed(&self.view);
        for domain in before.domains_out().iter().filter(|domain| !self.view.is_domain_out(domain)) {
            self.returned_domains.retain(|(known, _)| known != domain);
            self.returned_domains.push((domain.clone(), now));
        }
        for upstream in before.upstreams_out().iter().filter(|upstream| !self.view.is_upstream_out(upstream))
        {
            self.returned_upstreams.retain(|(known, _)| known != upstream);
            self.returned_upstreams.push((upstream.clone(), now));
        }
        let Self { leader, view, .. } = self;
        if let Some(leader) = leader {
            if before.members() != view.members() {
                leader.planner.set_members(view.members(), now);
            }
            let same =
                before.domains_out() == view.domains_out() && before.upstreams_out() == view.upstreams_out();
            if !same {
                leader.planner.set_out_of_service(view.domains_out(), view.upstreams_out(), now);
            }
        }
    }

    /// Puts a parsed sheet in force.
    pub(crate) fn set_sheet(&mut self, loaded: LoadedSheet, now: ClockTime) {
        if let Some(leader) = &mut self.leader {
            leader.planner.set_sheet(loaded.sheet.clone(), now);
            leader.planner.set_out_of_service(self.view.domains_out(), self.view.upstreams_out(), now);
        }
        self.sheet = Some(loaded);
    }
}
