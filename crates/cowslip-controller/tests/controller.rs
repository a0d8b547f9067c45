//! Controllers over sockets with the stand-ins; every wait has a time limit.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use common::{FakeRouter, TOKEN, TestFleet, apply, eventually, is_loaded, pause_ms};
use cowslip_messages::{KeyRequest, KeyState, ReplicaState, SwitchRequest, WatchRequest};
use cowslip_platform::{PlatformClient, TableService, TableTransaction};
use cowslip_rpc::{ControllerApiClient, fault_from_error};
use cowslip_standins::StandinClient;
use cowslip_units::{ErrorKind, KeyDigest, ModelId, TeamId};
use rstest::rstest;

/// Guards against a demanded model that is not loaded or not shown to routers, and against an adapter without
/// its model.
#[tokio::test]
async fn demanded_model_is_loaded() {
    let mut fleet = TestFleet::start(200).await;
    fleet.apply_sheet().await;
    fleet.demand_until("m1", 10_000, |table| is_loaded(table, "m1")).await;
    let adapter = |table: &cowslip_messages::PlacementTable| {
        table
            .adapters
            .iter()
            .any(|place| place.adapter.as_str() == "a0" && place.state == ReplicaState::Loaded)
    };
    fleet.demand_until("a0", 10_000, adapter).await;
    let loaded: Vec<String> = fleet.journals().await.into_iter().flat_map(|journal| journal.loaded).collect();
    assert!(["m0", "m1", "a0"].iter().all(|name| loaded.contains(&(*name).to_owned())), "{loaded:?}");
    let leader = fleet.leader().await;
    let explained = fleet.controllers[leader].client().explain(ModelId::new("m1").unwrap()).await.unwrap();
    assert!(explained.lines.iter().any(|line| line.contains("decided")), "{explained:?}");
}

/// Guards against followers that answer calls for the leader, and against routers that cannot find the
/// leader.
#[tokio::test]
async fn follower_names_the_leader() {
    let fleet = TestFleet::start(200).await;
    fleet.apply_sheet().await;
    let leader = fleet.leader().await;
    let other = fleet.controllers[1 - leader].client();
    let request = WatchRequest { since: Default::default(), wait_ms: 0 };
    let leader_addr = eventually("the follower names the leader", 5_000, || async {
        let error = other.placement_watch(request.clone()).await.unwrap_err();
        let fault = fault_from_error(&error).unwrap();
        assert_eq!(fault.kind, ErrorKind::NotLeader);
        fault.leader
    })
    .await;
    assert_eq!(leader_addr.as_str(), fleet.controllers[leader].addr.to_string());
    assert_eq!(other.status().await.unwrap().leader.unwrap().as_str(), format!("e{leader}"));
}

/// Guards against a second load of a model whose order was in doubt when its leader died, also when the next
/// leader reads an old state of the table, or when its writes take effect late or twice.
#[rstest]
#[case::no_fault("none", 0)]
#[case::stale_reads("stale", 2_500)]
#[case::slow("slow", 200)]
#[case::repeated_later("duplicate", 700)]
#[tokio::test]
async fn load_in_doubt_is_adopted(#[case] mode: &str, #[case] fault_ms: u64) {
    let mut fleet = TestFleet::start(3_000).await;
    fleet.apply_sheet().await;
    let leader = fleet.leader().await;
    let ordered = |table: &cowslip_messages::PlacementTable| {
        table
            .replicas
            .iter()
            .any(|place| place.model.as_str() == "m2" && place.state == ReplicaState::Ordered)
    };
    fleet.demand_until("m2", 10_000, ordered).await;
    // The order must have been sent before the leader dies.
    eventually("the order arrives", 3_000, || async {
        fleet.journals().await.iter().any(|journal| !journal.orders.is_empty()).then_some(())
    })
    .await;
    let fault = serde_json::json!({"service": "table", "mode": mode, "ms": fault_ms});
    StandinClient::new(fleet.platform.addr).put_fault(&fault).await.unwrap();
    fleet.controllers[leader].kill();
    fleet.demand_until("m2", 25_000, |table| is_loaded(table, "m2")).await;
    pause_ms(500).await;
    let journals = fleet.journals().await;
    let orders = journals.iter().flat_map(|journal| &journal.orders).filter(|order| order.name == "m2");
    let mut ids: Vec<&str> = orders.map(|order| order.order.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), 1, "one decision, one order: {journals:?}");
    assert!(journals.iter().all(|journal| journal.peak_memory_mib <= 1_000), "{journals:?}");
}

/// Guards against callers that wait for cold models while the store is down, and against a leader that does
/// not continue after the outage.
#[tokio::test]
async fn store_outage_refuses_cold_models() {
    let mut fleet = TestFleet::start(100).await;
    fleet.apply_sheet().await;
    fleet.demand_until("m0", 10_000, |table| is_loaded(table, "m0")).await;
    fleet.platform_fault("table", "down").await;
    let refused = |table: &cowslip_messages::PlacementTable| {
        table.refused.iter().any(|(model, retry_ms)| model.as_str() == "m1" && *retry_ms > 0)
    };
    fleet.demand_until("m1", 5_000, refused).await;
    // Longer than the lease: the warm model must stay in the table although no leader may act.
    pause_ms(4_000).await;
    let table = fleet.demand_until("m1", 3_000, refused).await;
    assert!(is_loaded(&table, "m0") && !is_loaded(&table, "m1"), "{table:#?}");
    fleet.platform_fault("table", "none").await;
    fleet.demand_until("m1", 15_000, |table| is_loaded(table, "m1")).await;
}

/// Guards against a ledger write or lease renewal that counts as failed, or is made twice, when its answer is
/// lost.
#[tokio::test]
async fn lost_answers_are_read_back() {
    let mut fleet = TestFleet::start(100).await;
    fleet.apply_sheet().await;
    fleet.leader().await;
    let fault = serde_json::json!({"service": "table", "mode": "lose_answers", "every": 2});
    StandinClient::new(fleet.platform.addr).put_fault(&fault).await.unwrap();
    for model in ["m0", "m1"] {
        fleet.demand_until(model, 15_000, |table| is_loaded(table, model)).await;
    }
    let journals = fleet.journals().await;
    assert!(journals.iter().all(|journal| journal.loaded.len() == 1), "{journals:?}");
}

/// Guards against two operators who silently replace each other's sheets.
#[tokio::test]
async fn concurrent_sheet_is_rejected() {
    let fleet = TestFleet::start(100).await;
    let base = Some(fleet.apply_sheet().await.version);
    let one = format!("{}\n", fleet.sheet);
    let other = format!("{}\n\n", fleet.sheet);
    let (first, second) = (fleet.controllers[0].client(), fleet.controllers[1].client());
    let (first, second) =
        tokio::join!(apply(&first, "race-1", &one, base), apply(&second, "race-2", &other, base));
    let outcomes = [first, second];
    let lost: Vec<_> = outcomes.iter().filter_map(|outcome| outcome.as_ref().err()).collect();
    assert_eq!(lost.len(), 1, "{outcomes:?}");
    assert_eq!(lost[0].kind, ErrorKind::ChangeConflict, "{outcomes:?}");
    assert!(lost[0].messages[0].contains("lost"), "{outcomes:?}");
}

/// Guards against a withdrawal that is reported as accepted before the routers have it, and against changes
/// without the operators' token.
#[tokio::test]
async fn withdrawal_reaches_the_routers() {
    let fleet = TestFleet::start(100).await;
    let (one, _one_server) = FakeRouter::start("e0", fleet.routers[0]).await;
    let (_, _other_server) = FakeRouter::start("e1", fleet.routers[1]).await;
    fleet.apply_sheet().await;
    eventually("both routers are members", 10_000, || async {
        (one.view.lock().unwrap().members().len() == 2).then_some(())
    })
    .await;
    let digest = "ab".repeat(32);
    let mut request = KeyRequest {
        token: TOKEN.into(),
        change_id: "give-1".into(),
        author: "operator".into(),
        digest: digest.as_str().into(),
        team: Some(TeamId::new("crew").unwrap()),
    };
    let client = fleet.controllers[0].client();
    let outcome = client.key_give(request.clone()).await.unwrap();
    assert!(outcome.everywhere && outcome.changed, "{outcome:?}");
    request.change_id = "withdraw-1".into();
    let outcome = client.key_withdraw(request.clone()).await.unwrap();
    let digest: KeyDigest = digest.parse().unwrap();
    let state = one.view.lock().unwrap().key(&digest).map(|key| key.state);
    assert!(outcome.everywhere && state == Some(KeyState::Withdrawn), "{outcome:?} {state:?}");
    request.token = "another token of some length".into();
    request.change_id = "withdraw-2".into();
    let error = client.key_withdraw(request).await.unwrap_err();
    assert_eq!(fault_from_error(&error).unwrap().kind, ErrorKind::OperatorUnknown);
}

/// Guards against a planned stop that leaves the fleet without a leader until the lease expires, and against
/// loads on an upstream that is out of service.
#[tokio::test]
async fn stop_hands_over_and_out_is_respected() {
    let mut fleet = TestFleet::start(100).await;
    fleet.apply_sheet().await;
    let request = SwitchRequest {
        token: TOKEN.into(),
        change_id: "out-1".into(),
        author: "operator".into(),
        name: "u0".into(),
        out: true,
    };
    fleet.controllers[0].client().set_upstream(request).await.unwrap();
    let leader = fleet.leader().await;
    fleet.controllers[leader].stop();
    let started = std::time::Instant::now();
    assert_eq!(fleet.leader().await, 1 - leader);
    assert!(started.elapsed().as_millis() < 2_500, "handed over after {:?}", started.elapsed());
    fleet.demand_until("m0", 10_000, |table| is_loaded(table, "m0")).await;
    let journals = fleet.journals().await;
    assert!(journals[0].orders.is_empty() && journals[1].loaded == ["m0"], "{journals:?}");
}

/// Guards against sheet faults that are reported one at a time, and against a faulty sheet that is applied.
#[tokio::test]
async fn sheet_faults_are_reported_at_once() {
    let fleet = TestFleet::start(100).await;
    let client = fleet.controllers[0].client();
    let text = fleet.sheet.replace("adapter,a0,,,,,20", "adapter,a0,,,,,x").replace("m1;m2", "m9;m8");
    let fault = apply(&client, "bad-1", &text, None).await.unwrap_err();
    assert_eq!(fault.kind, ErrorKind::SheetInvalid);
    assert!(fault.messages.len() >= 2, "{fault:?}");
    assert_eq!(client.sheet_text().await.unwrap(), "");
}

/// Guards against a new leader that accepts a scan of the ledger in which a row is missing, as in a stale
/// read, and against a ledger that cannot be repaired by hand.
#[tokio::test]
async fn ledger_read_must_match_its_head() {
    let mut fleet = TestFleet::start(100).await;
    fleet.apply_sheet().await;
    fleet.demand_until("m1", 10_000, |table| is_loaded(table, "m1")).await;
    // The confirmation is written only after the table shows it.
    pause_ms(500).await;
    let platform = PlatformClient::new(fleet.platform.addr);
    let rows = platform.scan("replica/", "replica/", 10).await.unwrap();
    assert_eq!(rows.len(), 1, "{rows:?}");
    platform.commit(&TableTransaction::new().with_delete(&rows[0].key)).await.unwrap();
    let leader = fleet.leader().await;
    fleet.controllers[leader].stop();
    let request = WatchRequest { since: Default::default(), wait_ms: 0 };
    let other = fleet.controllers[1 - leader].client();
    pause_ms(3_000).await;
    assert!(other.placement_watch(request).await.is_err(), "leads with a ledger that lacks a row");
    platform.commit(&TableTransaction::new().with_delete("ledger/head")).await.unwrap();
    assert_eq!(fleet.leader().await, 1 - leader);
    // The engine still holds the model, so the leader adds its row again from the load report.
    fleet.demand_until("m2", 10_000, |table| is_loaded(table, "m1")).await;
}
