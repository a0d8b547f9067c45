//! A leader process that is paused by a signal during a load, replaced by another leader, and resumed.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::process::{Child, Command, Stdio};

use common::{TOKEN, TestFleet, eventually, is_loaded, pause_ms};
use cowslip_messages::ReplicaState;

struct Leader(Child);

impl Leader {
    fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(name).arg(self.0.id().to_string()).status().unwrap();
        assert!(status.success(), "{name}");
    }
}

impl Drop for Leader {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a leader that continues its orders and writes after a pause in which it was replaced, and
/// against a second replica of the model that it had ordered.
#[tokio::test]
async fn resumed_leader_repeats_nothing() {
    let mut fleet = TestFleet::start(2_000).await;
    fleet.apply_sheet().await;
    fleet.controllers[0].stop();
    let dir = std::env::temp_dir().join(format!("cowslip-paused-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("controller.ini");
    let text = format!(
        "[controller]\nvm = e0\ndomain = d0\nrpc_addr = {}\nplatform = {}\noperator_token = {TOKEN}\n",
        fleet.controllers[0].addr, fleet.platform.addr
    );
    std::fs::write(&file, text).unwrap();
    let binary = env!("CARGO_BIN_EXE_cowslip-controller");
    let child = Command::new(binary).arg("--settings").arg(&file).stdout(Stdio::null()).spawn().unwrap();
    let leader = Leader(child);
    pause_ms(500).await;
    // The process is then the only other controller, so it takes the lease that the stopped one releases. The
    // next controller starts only after that, because it reads the lease at once and would take it first.
    fleet.controllers[1].stop();
    let paused = cowslip_rpc::connect(fleet.controllers[0].addr, 1_000).unwrap();
    eventually("the process leads", 10_000, || async {
        let request = cowslip_messages::WatchRequest { since: Default::default(), wait_ms: 0 };
        cowslip_rpc::ControllerApiClient::placement_watch(&paused, request).await.ok()
    })
    .await;
    let addr = fleet.controllers[1].addr;
    fleet.controllers[1] = common::RunningController::start("e1", addr, fleet.platform.addr);
    let ordered = |table: &cowslip_messages::PlacementTable| {
        table
            .replicas
            .iter()
            .any(|place| place.model.as_str() == "m2" && place.state == ReplicaState::Ordered)
    };
    eventually("the process orders the load", 10_000, || async {
        let table = fleet_demand(&paused, "m2").await?;
        let sent = fleet.journals().await.iter().any(|journal| !journal.orders.is_empty());
        (ordered(&table) && sent).then_some(())
    })
    .await;
    leader.signal("-STOP");
    fleet.demand_until("m2", 15_000, |table| is_loaded(table, "m2")).await;
    leader.signal("-CONT");
    for model in ["m0", "m1"] {
        fleet.demand_until(model, 10_000, |table| is_loaded(table, model) || table.replicas.len() >= 2).await;
    }
    pause_ms(1_000).await;
    let journals = fleet.journals().await;
    let orders = journals.iter().flat_map(|journal| &journal.orders);
    let mut ids: Vec<&str> =
        orders.filter(|order| order.name == "m2").map(|order| order.order.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), 1, "{journals:?}");
    let fences = |journal: &cowslip_standins::EngineJournal| {
        let mut fences: Vec<u64> = journal.orders.iter().map(|order| order.fence).collect();
        let sent = fences.clone();
        fences.sort_unstable();
        sent == fences
    };
    assert!(journals.iter().all(fences), "an order of the paused leader came later: {journals:?}");
    std::fs::remove_dir_all(&dir).unwrap();
}

/// Reports a waiting request to one controller, and returns its table.
async fn fleet_demand(
    client: &jsonrpsee::http_client::HttpClient,
    model: &str,
) -> Option<cowslip_messages::PlacementTable> {
    use cowslip_rpc::ControllerApiClient;
    let request = cowslip_messages::WatchRequest { since: Default::default(), wait_ms: 0 };
    let table = client.placement_watch(request).await.ok()?.table.unwrap_or_default();
    let report = common::demand_report("e1:router", table.version, model);
    client.demand(report).await.ok()?;
    Some(table)
}
