//! The task that follows the platform's VM list.

use cowslip_placement::ListAbsence;
use cowslip_platform::{EngineOrders, VmEntry, VmRole, VmState};
use cowslip_units::{IncarnationId, UpstreamId, VmId};

use crate::{ControllerCore, PlatformServices};

/// Period in which the VM list is read, in ms.
const LIST_PERIOD_MS: u64 = 1_000;

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Reads the VM list every second; never returns.
    pub(crate) async fn watch_vms(self) {
        loop {
            match self.platform.list().await {
                Ok(vms) => self.update_vms(vms),
                Err(error) => slog::debug!(self.logger, "VM list not read"; "error" => %error),
            }
            self.clock.sleep_ms(LIST_PERIOD_MS).await;
        }
    }

    fn update_vms(&self, vms: Vec<VmEntry>) {
        let now = self.now();
        let mut state = self.lock();
        let entries = |vms: &[VmEntry]| -> Vec<VmId> {
            let entries = vms.iter().filter(|entry| entry.role == VmRole::Entry);
            entries.map(|entry| entry.vm.clone()).collect()
        };
        let (before, present) = (entries(&state.vms), entries(&vms));
        let holder_vm = state.lease.holder().map(|holder| holder.vm.clone());
        let issuers: Vec<VmId> = match &state.leader {
            Some(leader) => {
                leader.planner.ledger().foreign_issuers().map(|issuer| issuer.vm.clone()).collect()
            }
            None => Vec::new(),
        };
        let members: Vec<VmId> = state.view.members().iter().map(|member| member.vm.clone()).collect();
        state.missing_vms.retain(|(vm, _)| !present.contains(vm));
        state.missing_vms.iter_mut().for_each(|(_, absence)| absence.record_miss(now));
        for vm in before.into_iter().chain(holder_vm).chain(issuers).chain(members) {
            if !present.contains(&vm) && !state.missing_vms.iter().any(|(known, _)| *known == vm) {
                state.missing_vms.push((vm, ListAbsence::new(now)));
            }
        }
        let listed = listed_upstreams(&vms);
        state.vms = vms;
        let ended: Vec<IncarnationId> = state
            .view
            .members()
            .iter()
            .filter(|member| is_gone(&state.missing_vms, &member.vm))
            .map(|member| member.incarnation.clone())
            .collect();
        for incarnation in ended {
            state.tracker.ended(&incarnation);
        }
        if let Some(leader) = &mut state.leader {
            leader.planner.set_listed(&listed, now);
        }
    }
}

/// Upstreams on the VM list, each with false if it is leaving, sorted.
pub(crate) fn listed_upstreams(vms: &[VmEntry]) -> Vec<(UpstreamId, bool)> {
    let upstreams = vms.iter().filter(|entry| entry.role == VmRole::Upstream);
    let named = upstreams.filter_map(|entry| {
        let upstream = UpstreamId::new(entry.vm.as_str()).ok()?;
        Some((upstream, entry.state == VmState::Live))
    });
    let mut listed: Vec<(UpstreamId, bool)> = named.collect();
    listed.sort();
    listed
}

/// Whether a VM has been missing from the VM list for long enough to count as gone.
pub(crate) fn is_gone(missing: &[(VmId, ListAbsence)], vm: &VmId) -> bool {
    missing.iter().any(|(known, absence)| known == vm && absence.is_gone())
}
