//! State of the leader of an epoch.

use cowslip_placement::PlacementPlanner;
use cowslip_units::{ClockTime, FencingToken, IncarnationId, UpstreamId, VmId};
use tokio::task::JoinSet;

use crate::PolicyChoice;
use crate::router_contact::RouterContact;
use crate::stored_ledger::StoredLedger;

/// State of the leader; dropping it cancels its order calls and commits.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) epoch: FencingToken,
    /// Time of the takeover.
    pub(crate) since: ClockTime,
    /// True when another leader has taken over the ledger.
    pub(crate) superseded: bool,
    pub(crate) planner: PlacementPlanner<PolicyChoice>,
    /// The ledger as last committed.
    pub(crate) stored: StoredLedger,
    /// Last contact with each router that has answered, sorted by incarnation.
    pub(crate) routers: Vec<RouterContact>,
    /// Upstreams whose report is being read, sorted.
    pub(crate) reading: Vec<UpstreamId>,
    /// Order calls, commits and report calls in flight.
    pub(crate) tasks: JoinSet<()>,
}

impl LeaderState {
    /// Creates the state of the leader of `epoch` with an adopted ledger.
    pub(crate) fn new(
        epoch: FencingToken,
        planner: PlacementPlanner<PolicyChoice>,
        stored: StoredLedger,
        now: ClockTime,
    ) -> Self {
        Self {
            epoch,
            since: now,
            superseded: false,
            planner,
            stored,
            routers: Vec::new(),
            reading: Vec::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Records an answer of a router.
    pub(crate) fn router_answered(&mut self, incarnation: &IncarnationId, vm: &VmId, now: ClockTime) {
        match self.routers.binary_search_by(|contact| contact.incarnation.cmp(incarnation)) {
            Ok(at) => self.routers[at].last_contact_at = now,
            Err(at) => {
                // A VM runs one router, so a new incarnation means that the old one has ended.
                let contact =
                    RouterContact { incarnation: incarnation.clone(), vm: vm.clone(), last_contact_at: now };
                self.routers.insert(at, contact);
                self.routers.retain(|other| other.vm != *vm || other.incarnation == *incarnation);
            }
        }
    }
}
