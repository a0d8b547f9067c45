//! Requests under which one upstream ends after the other.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::time::Duration;

use common::{FragileUpstream, TestFleet, chat_body};
use rstest::rstest;
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Upstreams that one call may end: the first one, and the one that it was sent to instead.
const MAX_ENDS_OF_CALL: u32 = 2;

/// Upstreams that a report may end over all its runs.
const MAX_ENDS_OF_REPORT: u32 = 4;

/// Replaces all engines by ones that end under each call.
fn fragile_engines(fleet: &mut TestFleet) -> Vec<FragileUpstream> {
    let engines: Vec<_> = fleet.engines.drain(..).map(|engine| engine.addr).collect();
    engines.into_iter().map(|addr| FragileUpstream::start(addr, "/v1/")).collect()
}

fn total_ends(upstreams: &[FragileUpstream]) -> u32 {
    upstreams.iter().map(FragileUpstream::ends).sum()
}

/// Guards against a call that is sent to one upstream after the other while each of them ends under it.
#[rstest]
#[case::whole("chat")]
#[case::stream("stream")]
#[case::service("lookup")]
#[tokio::test]
async fn a_call_that_ends_upstreams_is_not_sent_on_and_on(#[case] call: &str) {
    let mut fleet = TestFleet::start_ready(1).await;
    let caller = fleet.caller(0);
    let upstreams = if call == "lookup" {
        vec![FragileUpstream::start(fleet.stop_service(), "/lookups")]
    } else {
        fragile_engines(&mut fleet)
    };
    sleep(Duration::from_millis(50)).await;
    let (status, answer) = match call {
        "lookup" => {
            let (status, _, answer) = caller.send("GET", "/lookups?site=groyne", &[], "").await;
            (status, answer)
        }
        _ => {
            let body = chat_body("warm", "season", 4, call == "stream");
            let (status, _, answer) = caller.send("POST", "/v1/chat/completions", &[], &body).await;
            (status, answer)
        }
    };
    let ends = total_ends(&upstreams);
    assert!((1..=MAX_ENDS_OF_CALL).contains(&ends), "{ends} upstreams ended, {answer}");
    assert_eq!((status.as_u16(), &answer["error"]["ran"]), (502, &json!("unknown")), "{answer}");
    fleet.assert_no_violations();
}

/// Guards against a report that ends engines for as long as there are any.
#[tokio::test]
async fn a_report_that_ends_engines_fails() {
    let mut fleet = TestFleet::start_ready(1).await;
    let engines = fragile_engines(&mut fleet);
    let caller = fleet.caller(0);
    let body = chat_body("warm", "season", 8, false);
    let (status, _, answer) = caller.send("POST", "/v1/reports", &[], &body).await;
    assert_eq!(status, 202, "{answer}");
    let path = format!("/v1/reports/{}", answer["id"].as_str().unwrap());
    let begun_at = Instant::now();
    let answer = loop {
        let (_, _, answer) = caller.send("GET", &path, &[], "").await;
        if answer["state"] != "accepted" {
            break answer;
        }
        let ends = total_ends(&engines);
        assert!(ends <= MAX_ENDS_OF_REPORT, "{ends} engines ended");
        assert!(begun_at.elapsed() < Duration::from_secs(60), "{ends} engines ended, {answer}");
        sleep(Duration::from_millis(100)).await;
    };
    assert_eq!(answer["state"], "failed", "{answer}");
    assert!(answer["message"].as_str().unwrap().contains("ended"), "{answer}");
    assert!(total_ends(&engines) <= MAX_ENDS_OF_REPORT);
    fleet.assert_no_violations();
}

/// Guards against giving up a report because one engine happened to end while it ran.
#[tokio::test]
async fn a_report_survives_the_end_of_an_engine() {
    let mut fleet = TestFleet::start_ready(1).await;
    let addr = fleet.engines.remove(0).addr;
    let engine = FragileUpstream::start(addr, "/v1/");
    sleep(Duration::from_millis(50)).await;
    let caller = fleet.caller(0);
    let mut paths = Vec::new();
    // Together they need both engines.
    for number in 0..12 {
        let body = chat_body("warm", &format!("season {number}"), 40, false);
        let (status, _, answer) = caller.send("POST", "/v1/reports", &[], &body).await;
        assert_eq!(status, 202, "{answer}");
        paths.push(format!("/v1/reports/{}?wait_ms=15000", answer["id"].as_str().unwrap()));
    }
    for path in &paths {
        let (_, _, answer) = caller.send("GET", path, &[], "").await;
        assert_eq!(answer["state"], "done", "{answer}");
    }
    assert!(engine.ends() > 0, "no report met an engine that ended");
    fleet.assert_no_violations();
}
