//! Calls that run at most once, and reports that survive their router.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{FARM_KEY, TestFleet, chat_body, expected_text};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

const ORDERS: &str = "/work-orders?site=groyne";

/// Guards against a work order that takes effect twice when it is repeated through another router.
#[rstest]
#[tokio::test]
async fn a_repeated_key_runs_once(#[values(true, false)] at_once: bool) {
    let fleet = TestFleet::start_ready(2).await;
    let headers = [("idempotency-key", "order-7")];
    let (one, two) = (fleet.caller(0), fleet.caller(1));
    let (first, second) = if at_once {
        let first = one.send("POST", ORDERS, &headers, "rock");
        tokio::join!(first, two.send("POST", ORDERS, &headers, "rock"))
    } else {
        let first = one.send("POST", ORDERS, &headers, "rock").await;
        (first, two.send("POST", ORDERS, &headers, "rock").await)
    };
    assert_eq!((first.0.as_u16(), second.0.as_u16()), (200, 200), "{} {}", first.2, second.2);
    assert_eq!(first.2, second.2, "both get the same response");
    assert_eq!((&first.2["path"], fleet.effects().await), (&json!(ORDERS), 1));
    let (status, _, answer) = two.send("POST", ORDERS, &headers, "timber").await;
    assert_eq!((status.as_u16(), &answer["error"]["kind"]), (422, &json!("idempotency_key_reused")));
    assert_eq!(one.send("POST", ORDERS, &[("idempotency-key", "order-8")], "rock").await.0, 200);
    assert_eq!(fleet.effects().await, 2);
    fleet.assert_no_violations();
}

/// Guards against a second run after the response to the first one was lost.
#[rstest]
#[case::cut(json!({"mode": "cut"}), "unknown", 1)]
#[case::wrong_id(json!({"mode": "wrong_id"}), "unknown", 1)]
#[case::busy(json!({"mode": "refuse"}), "not_run", 0)]
#[tokio::test]
async fn a_call_without_a_response_is_not_sent_again(
    #[case] fault: Value,
    #[case] ran: &str,
    #[case] effects: u64,
) {
    let fleet = TestFleet::start_ready(1).await;
    fleet.service_fault(fault).await;
    let headers = [("idempotency-key", "order-7")];
    let caller = fleet.caller(0);
    let (_, _, answer) = caller.send("POST", ORDERS, &headers, "rock").await;
    assert_eq!((&answer["error"]["ran"], fleet.effects().await), (&json!(ran), effects), "{answer}");
    fleet.service_fault(json!({"mode": "none"})).await;
    let (status, _, answer) = caller.send("POST", ORDERS, &headers, "rock").await;
    if effects == 0 {
        assert_eq!((status.as_u16(), fleet.effects().await), (200, 1), "{answer}");
    } else {
        assert_eq!(answer["error"]["kind"], "outcome_unknown");
        assert_eq!(fleet.effects().await, effects, "it is not sent again");
    }
    fleet.assert_no_violations();
}

/// Guards against running a call whose claim could not be written, and against a rejection after the
/// deadline.
#[rstest]
#[case::down("down")]
#[case::lost_answers("lose_answers")]
#[tokio::test]
async fn a_call_without_a_claim_is_not_sent(#[case] mode: &str) {
    let fleet = TestFleet::start_ready(1).await;
    fleet.platform_fault("table", mode).await;
    let headers = [("idempotency-key", "order-7"), ("x-deadline-ms", "1000")];
    let caller = fleet.caller(0);
    let (status, _, answer) = caller.send("POST", ORDERS, &headers, "rock").await;
    if mode == "down" {
        assert_eq!((status.as_u16(), &answer["error"]["kind"]), (503, &json!("store_unavailable")));
        assert_eq!((&answer["error"]["ran"], fleet.effects().await), (&json!("not_run"), 0));
    } else {
        assert_eq!(
            (status.as_u16(), fleet.effects().await),
            (200, 1),
            "a write in doubt is read back: {answer}"
        );
    }
    fleet.platform_fault("table", "none").await;
    // The abandoned claim is released in the background; then the key can be used again.
    for _ in 0..40 {
        if caller.send("POST", ORDERS, &headers, "rock").await.0 == 200 {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(fleet.effects().await, 1);
    fleet.assert_no_violations();
}

async fn post_report(caller: &common::TestCaller, prompt: &str) -> String {
    let body = chat_body("warm", prompt, 8, false);
    let (status, _, answer) = caller.send("POST", "/v1/reports", &[], &body).await;
    assert_eq!(status, 202, "{answer}");
    answer["id"].as_str().unwrap().to_owned()
}

/// Guards against reports that only the accepting router can return, or that another team can fetch.
#[tokio::test]
async fn a_report_is_fetched_from_another_router() {
    let fleet = TestFleet::start_ready(2).await;
    let id = post_report(&fleet.caller(0), "season").await;
    let path = format!("/v1/reports/{id}?wait_ms=5000");
    let (status, _, answer) = fleet.caller(1).send("GET", &path, &[], "").await;
    assert_eq!((status.as_u16(), &answer["state"]), (200, &json!("done")), "{answer}");
    let text = &answer["result"]["choices"][0]["message"]["content"];
    assert_eq!(*text, expected_text("warm", "season", 8));
    let (status, _, answer) = fleet.caller(1).with_key(Some(FARM_KEY)).send("GET", &path, &[], "").await;
    assert_eq!((status.as_u16(), &answer["error"]["kind"]), (404, &json!("report_not_found")));
    fleet.assert_no_violations();
}

/// Guards against losing a report together with the router that accepted it; here the report still waits for
/// its model.
#[tokio::test]
async fn a_report_of_a_stopped_router_is_taken_over() {
    let mut fleet = TestFleet::start_ready(2).await;
    let body = chat_body("cold", "season", 4, false);
    let (status, _, answer) = fleet.caller(0).send("POST", "/v1/reports", &[], &body).await;
    assert_eq!(status, 202);
    sleep(Duration::from_millis(300)).await;
    let router = fleet.routers.remove(0);
    let core = Arc::clone(router.core());
    router.stop().await;
    assert_eq!(core.state().violations, 0);
    fleet.load("cold").await;
    let path = format!("/v1/reports/{}?wait_ms=15000", answer["id"].as_str().unwrap());
    let (_, _, answer) = fleet.caller(0).send("GET", &path, &[], "").await;
    assert_eq!(answer["state"], "done", "{answer}");
    fleet.assert_no_violations();
}

/// Guards against running a cancelled report, and against status 202 for a report that is not durable.
#[tokio::test]
async fn a_report_is_cancelled_or_rejected() {
    let fleet = TestFleet::start_ready(1).await;
    let caller = fleet.caller(0);
    let body = chat_body("cold", "season", 4, false);
    let (_, _, answer) = caller.send("POST", "/v1/reports", &[], &body).await;
    let path = format!("/v1/reports/{}", answer["id"].as_str().unwrap());
    assert_eq!(caller.send("DELETE", &path, &[], "").await.2["state"], "cancelled");
    assert_eq!(caller.send("GET", &path, &[], "").await.2["state"], "cancelled");
    fleet.platform_fault("table", "down").await;
    let headers = [("x-deadline-ms", "1000")];
    let (status, _, answer) = caller.send("POST", "/v1/reports", &headers, &body).await;
    assert_eq!((status.as_u16(), &answer["error"]["kind"]), (503, &json!("store_unavailable")));
    assert_eq!(answer["error"]["ran"], "not_run");
    fleet.assert_no_violations();
}
