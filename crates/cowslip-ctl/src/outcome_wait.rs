//! Reports the outcome of a change and waits until it is in force everywhere.

use cowslip_messages::{ChangeOutcome, StatusReply};
use cowslip_rpc::ControllerApiClient;
use cowslip_runtime::ProcessClock;
use cowslip_units::VmId;
use serde_json::json;

use crate::command_report::CommandReport;
use crate::exit_kind::ExitKind;
use crate::operator_client::OperatorClient;

/// Interval in ms between status calls.
const POLL_MS: u64 = 250;
/// Time in ms after which a router that does not answer either has the change or admits no requests: the view
/// window of 3,000 ms plus 2% for the drift between two clocks.
const SILENT_MS: u64 = 3_060;

/// Creates the report of a change with its version, and exit code 4 while a router may still lack it.
pub(crate) fn report_outcome(outcome: &ChangeOutcome, subject: &str) -> CommandReport {
    let version = outcome.version;
    let mut text = if outcome.changed {
        format!("{subject}: accepted as version {version} after {} ms", outcome.took_ms)
    } else {
        format!("{subject}: nothing to change, in force already (version {version})")
    };
    let exit = if outcome.everywhere {
        text.push_str(", in force everywhere");
        ExitKind::Done
    } else {
        let pending: Vec<&str> = outcome.pending.iter().map(VmId::as_str).collect();
        text.push_str(&format!(", not yet in force everywhere; waiting for: {}", pending.join(", ")));
        ExitKind::Pending
    };
    CommandReport::new(text, json!(outcome)).with_exit(exit)
}

/// Waits up to `wait_ms` until every router has the change, or has been unreachable for so long that it
/// admits no requests without it.
pub(crate) async fn wait_everywhere(client: &OperatorClient, outcome: &mut ChangeOutcome, wait_ms: u64) {
    let clock = ProcessClock::new();
    let start = clock.now();
    while !outcome.everywhere && clock.now().since_ms(start) < wait_ms {
        clock.sleep_ms(POLL_MS.min(wait_ms)).await;
        let status = client.pool.call(None, async |rpc| rpc.status().await).await;
        // A failed status call provides no information about the routers; the next one may succeed.
        if let Ok(status) = status {
            let count_silent = clock.now().since_ms(start) < SILENT_MS;
            outcome.pending = pending_vms(&status, outcome, count_silent);
            outcome.everywhere = outcome.pending.is_empty();
        }
    }
}

fn pending_vms(status: &StatusReply, outcome: &ChangeOutcome, count_silent: bool) -> Vec<VmId> {
    let outdated = status.routers.iter().filter(|router| router.version < outcome.version);
    let mut vms: Vec<VmId> = outdated.map(|router| router.vm.clone()).collect();
    if count_silent {
        vms.extend(status.silent.iter().cloned());
    }
    vms.sort();
    vms
}
