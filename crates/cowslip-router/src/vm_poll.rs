//! Polls the VM list.

use std::sync::Arc;

use cowslip_platform::VmList;
use tokio::time::{Duration, sleep};

use crate::{RouterCore, VmDirectory};

/// Interval in ms between reads.
const PERIOD_MS: u64 = 1_000;

/// Task that reads the VM list every [`PERIOD_MS`]. If a read fails, the last list stays in use.
pub(crate) async fn run_vm_poll(core: Arc<RouterCore>) {
    loop {
        read_vms(&core).await;
        sleep(Duration::from_millis(PERIOD_MS)).await;
    }
}

async fn read_vms(core: &RouterCore) {
    let Ok(entries) = core.platform.list().await else {
        core.metrics.count("vm_list_failures", 1);
        return;
    };
    let mut state = core.state();
    let state = &mut *state;
    state.vms = VmDirectory::new(entries);
    for member in state.view.members() {
        if state.vms.is_gone(&member.incarnation) {
            state.version_tracker.ended(&member.incarnation);
        }
    }
    core.signals.dispatch.notify_one();
}
