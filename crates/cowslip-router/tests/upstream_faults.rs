//! Whatever an upstream does, the caller gets the complete response to its own request or an error, nothing
//! in between.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use common::{TestFleet, expected_text};
use rstest::rstest;
use serde_json::{Value, json};

/// Guards against invalid, incomplete, foreign or truncated responses that look complete to the caller.
#[rstest]
#[case::garbage(json!({"mode": "garbage"}), None)]
#[case::stall(json!({"mode": "stall", "ms": 0}), None)]
#[case::cut(json!({"mode": "cut"}), None)]
#[case::wrong_id(json!({"mode": "wrong_id"}), None)]
#[case::cross(json!({"mode": "cross"}), None)]
#[case::gap(json!({"mode": "gap"}), None)]
#[case::truncate(json!({"mode": "truncate"}), None)]
#[case::every_second_cut(json!({"mode": "cut", "every": 2}), Some(true))]
#[case::busy(json!({"mode": "refuse"}), Some(false))]
#[case::slow(json!({"mode": "slow", "ms": 200}), Some(true))]
#[tokio::test]
async fn a_faulty_response_never_looks_complete(#[case] fault: Value, #[case] whole: Option<bool>) {
    let fleet = TestFleet::start_ready(1).await;
    let caller = fleet.caller(0);
    // A response to another request can only be returned once there has been one.
    assert!(caller.stream("warm", "earlier", 3).await.done);
    assert_eq!(caller.chat("warm", "earlier", 3).await.0, 200);
    fleet.engine_fault(fault).await;

    let read = caller.stream("warm", "mine", 6).await;
    let expected = expected_text("warm", "mine", 6);
    assert!(expected.starts_with(&read.text), "got {:?}", read.text);
    assert_eq!(read.done, read.error.is_none(), "an end marker or an error, not both: {read:?}");
    if read.done {
        assert_eq!(read.text, expected);
    }
    let (status, _, answer) = caller.chat("warm", "mine", 6).await;
    if status == 200 {
        assert_eq!(answer["choices"][0]["message"]["content"], expected);
    } else {
        assert!(answer["error"]["kind"].is_string(), "{answer}");
    }
    if let Some(whole) = whole {
        assert_eq!((read.done, status == 200), (whole, whole), "{read:?} {answer}");
    }
    fleet.assert_no_violations();
}

/// Guards against a stream that ends with an error although its engine can resume it.
#[tokio::test]
async fn an_interrupted_stream_is_resumed() {
    let fleet = TestFleet::start_ready(1).await;
    fleet.engine_fault(json!({"mode": "cut", "every": 1})).await;
    let caller = fleet.caller(0);
    let reading = tokio::spawn(async move { caller.stream("warm", "long", 60).await });
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    fleet.engine_fault(json!({"mode": "none"})).await;
    let read = reading.await.unwrap();
    assert_eq!((read.done, read.error), (true, None));
    assert_eq!(read.text, expected_text("warm", "long", 60));
    fleet.assert_no_violations();
}

/// Guards against the statement "not run" for a request that was sent, and the reverse.
#[rstest]
#[case::busy(json!({"mode": "refuse"}), "not_run")]
#[case::dies(json!({"mode": "cut"}), "unknown")]
#[tokio::test]
async fn a_rejection_states_whether_the_request_ran(#[case] fault: Value, #[case] ran: &str) {
    let fleet = TestFleet::start_ready(1).await;
    fleet.engine_fault(fault).await;
    let (_, _, answer) = fleet.caller(0).chat("warm", "mine", 3).await;
    assert_eq!(answer["error"]["ran"], ran, "{answer}");
    fleet.assert_no_violations();
}

/// Guards against a repeatable request that is not retried on another upstream after a failure.
#[tokio::test]
async fn an_idempotent_request_is_retried_elsewhere() {
    let mut fleet = TestFleet::start_ready(1).await;
    let caller = fleet.caller(0);
    drop(fleet.engines.remove(0));
    for number in 0..6 {
        let (status, _, answer) = caller.chat("warm", &format!("p{number}"), 3).await;
        assert_eq!(status, 200, "{answer}");
    }
    fleet.assert_no_violations();
}

/// Guards against repeatedly sending requests to an engine that no longer has the model loaded.
#[tokio::test]
async fn requests_for_an_evicted_model_move_to_another_engine() {
    let fleet = TestFleet::start_ready(1).await;
    let caller = fleet.caller(0);
    let standin = cowslip_standins::StandinClient::new(fleet.engines[0].addr);
    standin.put_fault(&json!({"mode": "evict", "model": "warm"})).await.unwrap();
    for number in 0..6 {
        assert_eq!(caller.chat("warm", &format!("p{number}"), 2).await.0, 200);
    }
    let journal = standin.journal().await.unwrap();
    let received = journal["requests"].as_array().unwrap().len();
    assert!(received <= 2, "{received} requests to the engine that lost the model");
    fleet.assert_no_violations();
}
