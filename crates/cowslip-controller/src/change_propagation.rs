//! Pushes committed changes to the members' routers, and to listed routers that are not members yet.
//!
//! A router that is not a member also admits requests, confirmed by the store, so a change is in force
//! everywhere only when those routers have it as well.

use std::net::SocketAddr;

use cowslip_fleet::{VIEW_WINDOW_MS, with_drift};
use cowslip_messages::{ChangeRecord, PushReply, PushRequest};
use cowslip_platform::EngineOrders;
use cowslip_rpc::RouterApiClient;
use cowslip_units::{ClockTime, ViewVersion, VmId};
use futures::future::join_all;

use crate::{ControllerCore, PlatformServices};

/// Longest time in ms to wait for acknowledgements.
const PROPAGATION_TIMEOUT_MS: u64 = 4_000;
/// Pause in ms between two rounds of pushes.
const ROUND_PAUSE_MS: u64 = 50;

/// How far a change has been propagated.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PropagationOutcome {
    /// Whether a majority of the members has the change, which makes it accepted.
    pub(crate) accepted: bool,
    /// Whether the change is accepted, and every router has it or has been silent for so long that it admits
    /// no requests without it.
    pub(crate) everywhere: bool,
    /// VMs of the routers that have not acknowledged the change.
    pub(crate) pending: Vec<VmId>,
}

/// How far a change must be propagated before the call returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PropagationGoal {
    /// To a majority of the members.
    Accepted,
    /// To every member, and to the listed routers that are not members.
    Everywhere,
}

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Pushes all changes up to `version` until the goal is reached, for at most 4 s.
    pub(crate) async fn propagate_change(
        &self,
        version: ViewVersion,
        committed_at: ClockTime,
        goal: PropagationGoal,
    ) -> PropagationOutcome {
        let end = self.now().plus_ms(PROPAGATION_TIMEOUT_MS);
        let unconfirmed_at = committed_at.plus_ms(with_drift(VIEW_WINDOW_MS));
        let mut acks: Vec<RouterAck> = Vec::new();
        loop {
            let pending = self.pending_routers(version, &acks);
            let calls = pending.iter().map(|router| self.push_to(router));
            for (router, reply) in pending.iter().zip(join_all(calls).await) {
                let Some(reply) = reply else {
                    continue;
                };
                self.lock().tracker.on_report(&reply.incarnation, reply.version);
                acks.retain(|known| known.vm != router.vm);
                acks.push(RouterAck { vm: router.vm.clone(), version: reply.version });
            }
            let pending = self.pending_routers(version, &acks);
            let silent = pending.iter().all(|router| acks.iter().all(|known| known.vm != router.vm));
            let everywhere = pending.is_empty() || (silent && self.now() >= unconfirmed_at);
            let accepted = self.lock().tracker.has_majority(version);
            let reached = everywhere || (accepted && goal == PropagationGoal::Accepted);
            if reached || self.now() >= end {
                let pending = pending.into_iter().map(|router| router.vm).collect();
                return PropagationOutcome { accepted, everywhere: everywhere && accepted, pending };
            }
            self.clock.sleep_ms(ROUND_PAUSE_MS).await;
        }
    }

    /// Routers that may lack `version`: members, and listed routers on VMs without a member.
    fn pending_routers(&self, version: ViewVersion, acks: &[RouterAck]) -> Vec<PendingRouter> {
        let state = self.lock();
        let members = state.tracker.pending(version);
        let members = members.iter().filter_map(|incarnation| {
            let member = state.view.member(incarnation)?;
            let known = state.tracker.version_of(incarnation);
            Some(PendingRouter { vm: member.vm.clone(), addr: member.rpc_addr, known })
        });
        let others = state.entry_vms().filter_map(|entry| {
            let known = acks.iter().find(|known| known.vm == entry.vm).map(|known| known.version);
            let is_member = state.view.members().iter().any(|member| member.vm == entry.vm);
            let has_version = known.is_some_and(|known| known >= version);
            (!is_member && !has_version).then(|| PendingRouter {
                vm: entry.vm.clone(),
                addr: entry.address,
                known,
            })
        });
        members.chain(others).collect()
    }

    /// Pushes the missing changes to one router; `None` if it does not answer.
    async fn push_to(&self, router: &PendingRouter) -> Option<PushReply> {
        let changes = self.changes_for(router.known)?;
        let client = self.peers.get(router.addr)?;
        client.view_push(PushRequest { changes }).await.ok()
    }

    fn changes_for(&self, known: Option<ViewVersion>) -> Option<Vec<ChangeRecord>> {
        let state = self.lock();
        let last = ViewVersion::new(state.view.version().get().saturating_sub(1));
        state.view.changes_since(known.unwrap_or(last)).or_else(|| state.view.changes_since(last))
    }
}

/// The acknowledgement of a push.
#[derive(Clone, Debug, PartialEq)]
struct RouterAck {
    vm: VmId,
    version: ViewVersion,
}

/// A router that has not acknowledged the change.
#[derive(Clone, Debug, PartialEq)]
struct PendingRouter {
    vm: VmId,
    addr: SocketAddr,
    /// Latest version that it has acknowledged or reported; `None` if there is none.
    known: Option<ViewVersion>,
}
