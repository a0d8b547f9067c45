//! What the leader of an epoch keeps.

use cowslip_placement::PlacementPlanner;
use cowslip_units::{ClockTime, FencingToken, IncarnationId, UpstreamId, VmId};
use tokio::task::JoinSet;

use crate::PolicyChoice;
use crate::router_contact::RouterContact;
use crate::stored_ledger::StoredLedger;

/// State of the leader; dropping it ends its order calls and commits.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Its epoch.
    pub(crate) epoch: FencingToken,
    /// When it took over.
    pub(crate) since: ClockTime,
    /// True when its ledger was taken over.
    pub(crate) superseded: bool,
    /// Decisions.
    pub(crate) planner: PlacementPlanner<PolicyChoice>,
    /// The ledger as written.
    pub(crate) stored: StoredLedger,
    /// Routers that answered, sorted by incarnation.
    pub(crate) routers: Vec<RouterContact>,
    /// Upstreams whose report is being read, sorted.
    pub(crate) reading: Vec<UpstreamId>,
    /// Order calls, commits and report calls under way.
    pub(crate) tasks: JoinSet<()>,
}

impl LeaderState {
    /// The leader of `epoch` with an adopted ledger.
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

    /// Notes an answer of a router.
    pub(crate) fn router_answered(&mut self, incarnation: &IncarnationId, vm: &VmId, now: ClockTime) {
        match self.routers.binary_search_by(|seen| seen.incarnation.cmp(incarnation)) {
            Ok(at) => self.routers[at].last_contact_at = now,
            Err(at) => {
                // A VM runs one router: a new incarnation means that the old one has ended.
                let seen =
                    RouterContact { incarnation: incarnation.clone(), vm: vm.clone(), last_contact_at: now };
                self.routers.insert(at, seen);
                self.routers.retain(|other| other.vm != *vm || other.incarnation == *incarnation);
            }
        }
    }
}
