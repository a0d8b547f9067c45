//! Requests from a caller's socket to an upstream and back, and the fleet state that the router depends on.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::time::{Duration, Instant};

use common::{FARM_KEY, KEY, TestCaller, TestFleet, chat_body, expected_text};
use cowslip_messages::ReplicaState;
use futures::future::join_all;
use serde_json::{Value, json};
use tokio::time::sleep;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

/// Guards against missing or wrong responses, a lost trace context, and a key that is forwarded to an
/// upstream.
#[tokio::test]
async fn a_chat_is_answered_whole_and_streamed() {
    let fleet = TestFleet::start_ready(1).await;
    let caller = fleet.caller(0);
    let parent = format!("00-{TRACE}-b7ad6b7169203331-01");
    let headers = [("traceparent", parent.as_str()), ("cookie", KEY), ("x-api-key", KEY)];
    let body = chat_body("warm", "hello", 4, false);
    let (status, head, answer) = caller.send("POST", "/v1/chat/completions", &headers, &body).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["choices"][0]["message"]["content"], expected_text("warm", "hello", 4));
    assert_eq!(answer["id"], head["x-request-id"].to_str().unwrap());
    assert!(head["traceparent"].to_str().unwrap().starts_with(&format!("00-{TRACE}-")));
    let read = caller.stream("fine", "hello", 5).await;
    assert_eq!((read.done, read.text, read.error), (true, expected_text("fine", "hello", 5), None));
    let (status, _, answer) = caller.send("GET", "/lookups/17?full=yes", &[("x-secret", KEY)], "").await;
    assert_eq!((status.as_u16(), &answer["path"]), (200, &json!("/lookups/17?full=yes")));
    let (status, _, answer) = caller.with_key(None).send("GET", "/notices", &[], "").await;
    assert_eq!(status, 200, "an open route needs no key: {answer}");

    let journal = fleet.journal().await;
    assert_eq!(journal.len(), 4);
    assert!(!has_leaked_key(&journal), "an upstream saw the key: {journal:?}");
    let traced = journal.iter().filter(|request| request["headers"].to_string().contains(TRACE));
    assert_eq!(traced.count(), 1, "the trace context is forwarded upstream");
    let allowed = [
        "content-type",
        "accept",
        "content-length",
        "traceparent",
        "x-request-id",
        "x-priority",
        "x-deadline-ms",
        "x-fleet-prefix",
        "idempotency-key",
        "host",
    ];
    for header in journal.iter().flat_map(|request| request["headers"].as_array().unwrap()) {
        assert!(allowed.contains(&header[0].as_str().unwrap()), "{header}");
    }
    fleet.assert_no_violations();
}

/// True if any request in the upstreams' journals contains the caller's key.
fn has_leaked_key(journal: &[Value]) -> bool {
    journal.iter().any(|request| request.to_string().contains(KEY))
}

/// Verifies the key check itself: a request that is sent to an upstream with the caller's headers must be
/// detected.
#[tokio::test]
async fn a_forwarded_key_is_detected() {
    let fleet = TestFleet::start(1).await;
    let forwarded = TestCaller::new(fleet.engines[0].addr, Some(KEY));
    forwarded.chat("warm", "hello", 1).await;
    assert!(has_leaked_key(&fleet.journal().await));
}

/// Guards against listing models that the team's routes do not include.
#[tokio::test]
async fn models_are_listed_by_team() {
    let fleet = TestFleet::start(1).await;
    let names = |answer: &Value| -> Vec<String> {
        let data = answer["data"].as_array().unwrap();
        data.iter().map(|model| model["id"].as_str().unwrap().to_owned()).collect()
    };
    let (_, _, answer) = fleet.caller(0).send("GET", "/v1/models", &[], "").await;
    assert_eq!(names(&answer), ["cold", "fine", "warm"]);
    let (_, _, answer) = fleet.caller(0).with_key(Some(FARM_KEY)).send("GET", "/v1/models", &[], "").await;
    assert_eq!(names(&answer), ["other", "warm"]);
}

/// Guards against demand for an unloaded model that is not reported, and against waiting longer than the load
/// takes.
#[tokio::test]
async fn an_unloaded_model_is_demanded_and_served_once_loaded() {
    let fleet = TestFleet::start_ready(1).await;
    let caller = fleet.caller(0);
    let calling = tokio::spawn(async move { caller.chat("cold", "p", 2).await });
    sleep(Duration::from_millis(150)).await;
    let reports = fleet.leader.demand();
    let waiting =
        reports.iter().flat_map(|report| &report.models).find(|model| model.model.as_str() == "cold");
    assert_eq!(waiting.unwrap().waiting[0].urgent, 1);
    fleet.load("cold").await;
    let (status, _, answer) = calling.await.unwrap();
    assert_eq!(status, 200, "{answer}");
    fleet.assert_no_violations();
}

/// Guards against a rejection that is delayed until shortly before the deadline.
#[tokio::test]
async fn a_request_that_cannot_be_served_in_time_is_rejected_at_once() {
    let fleet = TestFleet::start_ready(1).await;
    fleet.leader.set_replica("cold", "engine-1", ReplicaState::Ordered, 60_000);
    fleet.wait_until(|core| core.state().placement.version().count == 2).await;
    let started = Instant::now();
    let (status, head, answer) = fleet.caller(0).chat("cold", "p", 2).await;
    assert!(started.elapsed() < Duration::from_millis(500), "rejected after {:?}", started.elapsed());
    assert_eq!((status.as_u16(), &answer["error"]["kind"]), (503, &json!("no_capacity")));
    assert!(answer["error"]["retry_after_ms"].as_u64().unwrap() > 50_000);
    assert!(head["retry-after"].to_str().unwrap().parse::<u64>().unwrap() >= 50);
    fleet.assert_no_violations();
}

/// Guards against a team that gets more, or less, than its rate when it uses several routers.
#[tokio::test]
async fn a_team_rate_holds_across_two_routers() {
    let fleet = TestFleet::start_ready(2).await;
    // Burst 2,000 tokens, rate 1,000 tokens/s: the buckets are full 2 s after the shares were received.
    sleep(Duration::from_millis(2_500)).await;
    let headers = [("x-deadline-ms", "300")];
    let body = chat_body("warm", "p", 499, false);
    let calls = (0..12).map(|number| {
        let caller = fleet.caller(number % 2).with_key(Some(FARM_KEY));
        let body = body.clone();
        async move { caller.send("POST", "/v1/chat/completions", &headers, &body).await }
    });
    let answers = join_all(calls).await;
    let limited = |answer: &&(_, _, Value)| answer.2["error"]["kind"] == "rate_limited";
    let rejected = answers.iter().filter(limited).count();
    // Four requests of 500 tokens fit into the burst, whichever router receives them; for the others the
    // tokens would come after the deadline.
    assert_eq!(12 - rejected, 4, "{:?}", answers.iter().map(|answer| &answer.2).collect::<Vec<_>>());
    for answer in answers.iter().filter(limited) {
        assert!(answer.2["error"]["retry_after_ms"].as_u64().unwrap() > 0);
        assert_eq!(answer.2["error"]["ran"], "not_run");
    }
    fleet.assert_no_violations();
}

/// Guards against a router that is limited to its own share of an upstream's permits.
#[tokio::test]
async fn permits_are_borrowed_from_other_routers() {
    let fleet = TestFleet::start_ready(3).await;
    let calls = (0..14).map(|number| {
        let caller = fleet.caller(0);
        async move { caller.chat("warm", &format!("p{number}"), 100).await }
    });
    let started = Instant::now();
    let answers = join_all(calls).await;
    assert!(answers.iter().all(|answer| answer.0 == 200));
    // 16 permits in total: one router alone holds a third and would need three rounds of 0.5 s or more.
    assert!(started.elapsed() < Duration::from_millis(1_600), "{:?}", started.elapsed());
    fleet.wait_until(|core| core.state().running.is_empty()).await;
    fleet.assert_no_violations();
}

/// Guards against a store outage that stops requests to loaded models, and against one that is not detected.
#[tokio::test]
async fn loaded_models_are_served_while_the_store_is_down() {
    let fleet = TestFleet::start_ready(2).await;
    fleet.platform_fault("table", "down").await;
    sleep(Duration::from_millis(4_500)).await;
    let caller = fleet.caller(0);
    assert_eq!(caller.chat("warm", "p", 2).await.0, 200, "a majority of routers confirms the view");
    assert!(fleet.routers[0].core().state().confirmation.is_degraded(fleet.routers[0].core().now()));
    let started = Instant::now();
    let (status, _, answer) = caller.chat("cold", "p", 2).await;
    assert_eq!((status.as_u16(), &answer["error"]["kind"]), (503, &json!("store_unavailable")), "{answer}");
    let order = [("idempotency-key", "order-1")];
    for (path, body) in
        [("/work-orders", "rock".to_owned()), ("/v1/reports", chat_body("warm", "p", 2, false))]
    {
        let (_, _, answer) = caller.send("POST", path, &order, &body).await;
        assert_eq!(
            (&answer["error"]["kind"], &answer["error"]["ran"]),
            (&json!("store_unavailable"), &json!("not_run"))
        );
    }
    assert!(started.elapsed() < Duration::from_millis(1_000), "rejected at once: {:?}", started.elapsed());
    assert_eq!(fleet.effects().await, 0);
    fleet.assert_no_violations();
}

/// Guards against a router that serves requests although neither the store nor enough peers confirm its view.
#[tokio::test]
async fn an_unconfirmed_router_rejects_requests() {
    let mut fleet = TestFleet::start_ready(2).await;
    fleet.platform_fault("table", "down").await;
    let other = fleet.routers.remove(1);
    other.stop().await;
    sleep(Duration::from_millis(4_000)).await;
    let (status, _, answer) = fleet.caller(0).chat("warm", "p", 2).await;
    assert_eq!((status.as_u16(), &answer["error"]["kind"]), (503, &json!("view_stale")));
    assert_eq!(fleet.caller(0).send("GET", "/readyz", &[], "").await.0, 503);
    fleet.platform_fault("table", "none").await;
    fleet.wait_until(|core| core.state().confirmation.can_admit(core.now())).await;
    assert_eq!(fleet.caller(0).chat("warm", "p", 2).await.0, 200);
}
