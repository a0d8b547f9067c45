//! Eligibility checks of an upstream at the moment of dispatch.

use cowslip_config::{FleetSheet, RouteRow, RouteTarget, UpstreamRow};
use cowslip_fleet::FleetView;
use cowslip_routing::WaitTarget;
use cowslip_units::{ClockTime, RouteId, UpstreamId};

use crate::{PlacementIndex, VmDirectory};

/// The state that determines whether an upstream may receive a request now.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRules<'a> {
    /// View of the fleet configuration.
    pub view: &'a FleetView,
    /// Sheet in force in the view.
    pub sheet: &'a FleetSheet,
    /// Placement of models and adapters.
    pub placement: &'a PlacementIndex,
    /// Last known VM list.
    pub vms: &'a VmDirectory,
    /// Time of the check.
    pub now: ClockTime,
}

impl<'a> DispatchRules<'a> {
    /// Upstreams that can serve `target`, whether or not they are in service.
    pub fn upstreams(&self, target: &WaitTarget) -> &'a [UpstreamId] {
        match target {
            WaitTarget::Model(model) => self.placement.loaded(model),
            WaitTarget::Service(route) => match route_of(self.sheet, route).map(|row| &row.target) {
                Some(RouteTarget::Services(upstreams)) => upstreams,
                Some(RouteTarget::Models(_)) | None => &[],
            },
        }
    }

    /// Returns the upstream's row if it may receive a request for `target` now: it is declared, it and its
    /// failure domain are in service, its VM is neither leaving nor gone, and the model is loaded.
    pub fn check(&self, target: &WaitTarget, upstream: &UpstreamId) -> Option<&'a UpstreamRow> {
        let row = self.sheet.upstream(upstream)?;
        let in_service = !self.view.is_upstream_out(upstream) && !self.view.is_domain_out(&row.domain);
        let live = self.vms.is_available(upstream) && !self.placement.is_gone(upstream);
        let serves = match target {
            WaitTarget::Model(model) => self.placement.is_loaded(model, upstream, self.now),
            WaitTarget::Service(_) => self.upstreams(target).binary_search(upstream).is_ok(),
        };
        (in_service && live && serves).then_some(row)
    }
}

/// Finds a declared route by name.
pub(crate) fn route_of<'a>(sheet: &'a FleetSheet, route: &RouteId) -> Option<&'a RouteRow> {
    let at = sheet.routes.binary_search_by(|row| row.route.cmp(route)).ok()?;
    sheet.routes.get(at)
}
