//! Callers that disconnect, withdrawn keys, and graceful shutdown.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{FARM_KEY, KEY, SECOND_KEY, TestCaller, TestFleet, chat_body, expected_text, read_stream};
use cowslip_messages::FleetChange;
use cowslip_platform::{VmRole, VmState};
use cowslip_router::{CallFlight, DispatchParams};
use cowslip_routing::{RequestClass, WaitTarget};
use cowslip_runtime::sha256_hex;
use cowslip_units::{InvariantName, TokenCount, UpstreamId, drain_violations};
use http_body_util::BodyExt;
use rstest::rstest;
use serde_json::Value;
use tokio::time::{sleep, timeout};

async fn outcomes(fleet: &TestFleet) -> Vec<String> {
    let journal = fleet.journal().await;
    journal.iter().map(|request| request["outcome"].as_str().unwrap().to_owned()).collect()
}

async fn wait_outcome(fleet: &TestFleet, outcome: &str) {
    for _ in 0..100 {
        if outcomes(fleet).await == [outcome] {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the request is not {outcome}: {:?}", outcomes(fleet).await);
}

/// Guards against generating tokens for a caller that has disconnected.
#[rstest]
#[tokio::test]
async fn a_disconnected_caller_cancels_its_request(#[values(true, false)] stream: bool) {
    let fleet = TestFleet::start_ready(1).await;
    let caller = fleet.caller(0);
    let body = chat_body("warm", "long", 2_000, stream);
    if stream {
        let mut response = caller.open("POST", "/v1/chat/completions", &[], &body).await;
        assert!(response.frame().await.unwrap().is_ok());
        drop(response);
        drop(caller);
    } else {
        let call = caller.send("POST", "/v1/chat/completions", &[], &body);
        assert!(timeout(Duration::from_millis(200), call).await.is_err());
        drop(caller);
    }
    wait_outcome(&fleet, "cancelled").await;
    fleet.wait_until(|core| core.state().running.is_empty() && core.state().in_flight.is_empty()).await;
    fleet.assert_no_violations();
}

/// Guards against charging a team for tokens that its cancelled streams did not use.
#[tokio::test]
async fn unused_tokens_of_a_cancelled_stream_are_returned() {
    let fleet = TestFleet::start_ready(1).await;
    // A burst of 2,000 tokens refills at 1,000 tokens/s.
    sleep(Duration::from_millis(2_200)).await;
    let caller = fleet.caller(0).with_key(Some(FARM_KEY));
    for _ in 0..4 {
        let body = chat_body("warm", "p", 1_900, true);
        let headers = [("x-deadline-ms", "300")];
        let mut response = caller.open("POST", "/v1/chat/completions", &headers, &body).await;
        assert_eq!(response.status(), 200);
        assert!(response.frame().await.unwrap().is_ok());
        drop(response);
        fleet.wait_until(|core| core.state().running.is_empty()).await;
    }
    fleet.assert_no_violations();
}

/// Guards against a queued request that outlives its caller, and against demand that is not withdrawn.
#[tokio::test]
async fn a_disconnected_caller_withdraws_its_demand() {
    let fleet = TestFleet::start_ready(1).await;
    let caller = fleet.caller(0);
    let call = caller.chat("cold", "p", 2);
    assert!(timeout(Duration::from_millis(400), call).await.is_err());
    let demand_listed = |waits: bool| {
        let reports = fleet.leader.demand();
        let last = reports.last().unwrap();
        last.models.iter().any(|model| model.model.as_str() == "cold" && !model.waiting.is_empty()) == waits
    };
    assert!(demand_listed(true), "the leader has received the demand");
    drop(caller);
    fleet.wait_until(|core| core.state().queue.is_empty()).await;
    fleet.wait_until(|_| demand_listed(false)).await;
    assert!(fleet.journal().await.is_empty());
    fleet.assert_no_violations();
}

/// Guards against a stream that continues with a withdrawn key, and against cancelling streams of the team's
/// other keys.
#[tokio::test]
async fn a_withdrawn_key_cancels_only_its_streams() {
    let mut fleet = TestFleet::start_ready(1).await;
    let caller = fleet.caller(0);
    let body = chat_body("warm", "long", 700, true);
    let first = caller.open("POST", "/v1/chat/completions", &[], &body).await;
    let second = caller.with_key(Some(SECOND_KEY)).open("POST", "/v1/chat/completions", &[], &body).await;
    fleet.withdraw(KEY).await;
    let read = read_stream(first).await;
    assert_eq!(read.error.unwrap()["error"]["kind"], "key_withdrawn");
    assert!(!read.done && expected_text("warm", "long", 700).starts_with(&read.text));
    let (status, _, answer) = caller.chat("warm", "p", 1).await;
    assert_eq!((status.as_u16(), &answer["error"]["kind"]), (401, &Value::from("key_withdrawn")));
    assert!(read_stream(second).await.done);
    fleet.assert_no_violations();
}

/// Guards against requests to a failure domain or upstream that the operator has taken out of service.
#[rstest]
#[case::domain(FleetChange::DomainSwitched { domain: "west".parse().unwrap(), out: true })]
#[case::upstream(FleetChange::UpstreamSwitched { upstream: "engine-2".parse().unwrap(), out: true })]
#[tokio::test]
async fn an_upstream_out_of_service_gets_no_requests(#[case] change: FleetChange) {
    let mut fleet = TestFleet::start_ready(1).await;
    fleet.change(change).await;
    fleet.wait_until(|core| core.state().view.version().get() >= 8).await;
    for number in 0..10 {
        assert_eq!(fleet.caller(0).chat("warm", &format!("p{number}"), 1).await.0, 200);
    }
    assert_eq!(requests_at(&fleet, 1).await, 0);
    fleet.assert_no_violations();
}

/// Number of requests received by an engine.
async fn requests_at(fleet: &TestFleet, engine: usize) -> usize {
    let journal = cowslip_standins::StandinClient::new(fleet.engines[engine].addr).journal().await.unwrap();
    journal["requests"].as_array().unwrap().len()
}

/// Guards against requests to an upstream whose VM is leaving. The last part verifies the check itself: a
/// request that bypasses the VM list shows up in the journal.
#[tokio::test]
async fn a_leaving_upstream_gets_no_requests() {
    let fleet = TestFleet::start_ready(1).await;
    fleet.list_vm("engine-2", VmRole::Upstream, fleet.engines[1].addr, VmState::Leaving).await;
    let leaving: UpstreamId = "engine-2".parse().unwrap();
    fleet.wait_until(|core| !core.state().vms.is_available(&leaving)).await;
    for number in 0..10 {
        assert_eq!(fleet.caller(0).chat("warm", &format!("p{number}"), 1).await.0, 200);
    }
    assert_eq!(requests_at(&fleet, 1).await, 0);
    let unchecked = TestCaller::new(fleet.engines[1].addr, None);
    unchecked.chat("warm", "sent without checking the VM list", 1).await;
    assert_eq!(requests_at(&fleet, 1).await, 1);
    fleet.assert_no_violations();
}

/// Guards against a request that runs for a team other than that of its key: a dispatch with the wrong team
/// must be rejected and recorded as a violation.
#[rstest]
#[case::own_team("crews", true)]
#[case::other_team("farms", false)]
#[tokio::test]
async fn a_dispatch_for_another_team_is_rejected(#[case] team: &str, #[case] starts: bool) {
    let fleet = TestFleet::start_ready(1).await;
    let core = fleet.routers[0].core();
    let params = DispatchParams {
        team: Some(team.parse().unwrap()),
        key: Some(sha256_hex(KEY.as_bytes()).parse().unwrap()),
        class: RequestClass::Urgent,
        target: WaitTarget::Model("warm".parse().unwrap()),
        cost: TokenCount::new(1),
        deadline: core.now().plus_ms(5_000),
        prefix: None,
        excluded: Vec::new(),
    };
    let permit = params.wait_for_permit(core).await.unwrap();
    let started = CallFlight::start(core, permit, &params);
    let recorded: Vec<_> = drain_violations().iter().map(|violation| violation.invariant).collect();
    assert_eq!(started.is_ok(), starts);
    assert_eq!(recorded, if starts { vec![] } else { vec![InvariantName::TeamIsolated] });
}

/// Guards against a shutdown that cuts a stream, keeps accepting connections, or does not notify the load
/// balancer.
#[tokio::test]
async fn graceful_shutdown_completes_a_running_stream() {
    let mut fleet = TestFleet::start_ready(1).await;
    let caller = fleet.caller(0);
    let body = chat_body("warm", "long", 150, true);
    let running = caller.open("POST", "/v1/chat/completions", &[], &body).await;
    let router = fleet.routers.remove(0);
    let core = Arc::clone(router.core());
    let stopped = tokio::spawn(router.stop());
    sleep(Duration::from_millis(30)).await;
    let (status, head, _) = caller.send("GET", "/healthz", &[], "").await;
    assert_eq!((status.as_u16(), &head["connection"]), (503, &"close".parse().unwrap()));
    let (status, ..) = caller.chat("warm", "served during the notice period", 1).await;
    assert_eq!(status, 200);
    sleep(Duration::from_millis(200)).await;
    assert!(tokio::net::TcpStream::connect(caller.addr).await.is_err(), "no more connections are accepted");
    let read = read_stream(running).await;
    assert_eq!((read.done, read.text), (true, expected_text("warm", "long", 150)));
    timeout(Duration::from_secs(5), stopped).await.expect("shutdown completes").unwrap();
    assert_eq!(core.state().violations, 0);
    fleet.assert_no_violations();
}
