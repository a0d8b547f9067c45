//! Maintains the member list: the routers that hold shares of quotas and permits.

use cowslip_fleet::{CommitProtocol, next_member_change};
use cowslip_messages::{FleetChange, MemberEntry, RouterStatus};
use cowslip_platform::{EngineOrders, VmEntry};
use cowslip_rpc::RouterApiClient;
use cowslip_runtime::random_hex;
use cowslip_units::{ChangeId, ClockTime};
use futures::future::join_all;

use crate::change_commit::{CommitOutcome, CommitRight};
use crate::change_propagation::PropagationGoal;
use crate::vm_watch::is_gone;
use crate::{ControllerCore, PlatformServices};

/// Period of status calls to routers, in ms.
const STATUS_PERIOD_MS: u64 = 1_000;
/// A router is removed from the members after this time in ms without an answer.
const MEMBER_TIMEOUT_MS: u64 = 10_000;
/// Most changes of the member list, each by one member, in one round.
const MAX_STEPS: usize = 64;

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Polls the status of the routers every second and updates the member list, while this process is the
    /// leader.
    pub(crate) async fn maintain_members(self) {
        loop {
            let is_leading = {
                let now = self.now();
                let state = self.lock();
                state.leader.is_some() && state.lease.is_leader(now)
            };
            if is_leading {
                self.poll_routers().await;
                self.change_members().await;
            }
            self.clock.sleep_ms(STATUS_PERIOD_MS).await;
        }
    }

    /// Status of all routers on the VM list; `None` for those that do not answer.
    pub(crate) async fn router_statuses(&self) -> Vec<(VmEntry, Option<RouterStatus>)> {
        let entries: Vec<VmEntry> = self.lock().entry_vms().cloned().collect();
        let calls = entries.into_iter().map(|entry| async {
            let status = match self.peers.get(entry.address) {
                Some(client) => client.router_status().await.ok(),
                None => None,
            };
            (entry, status)
        });
        join_all(calls).await
    }

    async fn poll_routers(&self) {
        let statuses = self.router_statuses().await;
        let now = self.now();
        let mut state = self.lock();
        for (entry, status) in statuses {
            let Some(status) = status else {
                continue;
            };
            state.tracker.on_report(&status.incarnation, status.version);
            let replaced: Vec<MemberEntry> = state
                .view
                .members()
                .iter()
                .filter(|member| member.vm == entry.vm && member.incarnation != status.incarnation)
                .cloned()
                .collect();
            for member in replaced {
                state.tracker.ended(&member.incarnation);
            }
            if let Some(leader) = &mut state.leader {
                leader.router_answered(&status.incarnation, &entry.vm, now);
            }
        }
    }

    async fn change_members(&self) {
        for _ in 0..MAX_STEPS {
            let now = self.now();
            let change = {
                let state = self.lock();
                let desired = desired_members(&state, now);
                next_member_change(&state.view, &desired, &state.tracker)
            };
            let Some(change) = change else {
                return;
            };
            let FleetChange::MembersSet { members } = &change else {
                return;
            };
            let names: Vec<&str> = members.iter().map(|member| member.incarnation.as_str()).collect();
            slog::info!(self.logger, "members change"; "members" => names.join(" "));
            let Ok(change_id) = ChangeId::new(&format!("members-{}", random_hex(16))) else {
                return;
            };
            let protocol = CommitProtocol::new(change_id, self.settings.vm.as_str().into(), change);
            match self.commit_change(protocol, CommitRight::Leader).await {
                CommitOutcome::Done(version) | CommitOutcome::Unchanged(version) => {
                    self.propagate_change(version, now, PropagationGoal::Accepted).await;
                }
                outcome => {
                    slog::warn!(self.logger, "members not changed"; "outcome" => format!("{outcome:?}"));
                    return;
                }
            }
        }
    }
}

/// Routers on listed VMs that answered recently; existing members have the full time-out to answer a new
/// leader.
fn desired_members(state: &crate::ControllerState, now: ClockTime) -> Vec<MemberEntry> {
    let Some(leader) = &state.leader else {
        return Vec::new();
    };
    let mut desired: Vec<MemberEntry> = Vec::new();
    for contact in
        leader.routers.iter().filter(|contact| now.since_ms(contact.last_contact_at) <= MEMBER_TIMEOUT_MS)
    {
        if let Some(entry) = state.entry_vms().find(|entry| entry.vm == contact.vm) {
            desired.push(MemberEntry {
                incarnation: contact.incarnation.clone(),
                vm: entry.vm.clone(),
                domain: entry.domain.clone(),
                rpc_addr: entry.address,
            });
        }
    }
    if now.since_ms(leader.since) <= MEMBER_TIMEOUT_MS {
        for member in state.view.members() {
            let replaced = leader.routers.iter().any(|contact| contact.vm == member.vm);
            if !replaced && !is_gone(&state.missing_vms, &member.vm) {
                desired.push(member.clone());
            }
        }
    }
    desired.sort();
    desired.dedup_by(|one, other| one.incarnation == other.incarnation);
    desired
}
