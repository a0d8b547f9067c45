//! Tests of the weight store's limits and the plain service's effects.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::time::{Duration, Instant};

use common::TestCaller;
use cowslip_standins::{PlatformServer, ServiceServer};
use rstest::rstest;
use serde_json::{Value, json};

/// Guards against a weight store without limits, on which queued loads would take no extra time. Only lower
/// bounds are checked, so a slow machine cannot fail the test.
#[rstest]
#[case::full_speed_limit("", 4, 0, 200)]
#[case::slower_in_proportion("", 8, 0, 400)]
#[case::starts_limited("", 4, 100, 500)]
#[case::adapters_full_speed("adapter/", 32, 0, 200)]
#[case::adapters_slower_in_proportion("adapter/", 64, 0, 400)]
#[tokio::test]
async fn transfers_are_throttled(
    #[case] kind: &str,
    #[case] transfers: usize,
    #[case] loads_per_10s: u64,
    #[case] least_ms: u128,
) {
    let platform = PlatformServer::new().with_loads_per_10s(loads_per_10s).start().unwrap();
    let caller = TestCaller::new(platform.addr);
    let started = Instant::now();
    let calls: Vec<_> = (0..transfers)
        .map(|number| {
            let (caller, path) = (caller.clone(), format!("/weights/{kind}c{number}?ms=200"));
            tokio::spawn(
                async move { caller.send("POST", &path, &[], String::new()).await.unwrap().status() },
            )
        })
        .collect();
    for call in calls {
        assert_eq!(call.await.unwrap(), 200);
    }
    // 5 ms of tolerance: the stand-in's clock counts whole ms.
    assert!(started.elapsed().as_millis() >= least_ms - 5, "{:?}", started.elapsed());
}

/// Guards against transfers that keep their share of the bandwidth after the caller has disconnected.
#[tokio::test]
async fn abandoned_transfer_frees_bandwidth() {
    let platform = PlatformServer::new().with_loads_per_10s(0).with_loads_at_once(1).start().unwrap();
    let caller = TestCaller::new(platform.addr);
    for number in 0..50 {
        let path = format!("/weights/c{number}?ms=60000");
        let call = caller.send("POST", &path, &[], String::new());
        assert!(tokio::time::timeout(Duration::from_millis(5), call).await.is_err());
    }
    // If the 50 abandoned transfers kept their share, this would take 51 times as long, beyond the 10 s
    // timeout.
    let done = caller.send("POST", "/weights/last?ms=300", &[], String::new()).await.unwrap();
    assert_eq!(done.status(), 200);
}

/// Guards against effects that are not counted when their response is lost, and against counting lookups.
#[rstest]
#[case::order("POST", "/work-orders", "none", true, 1)]
#[case::order_below("POST", "/work-orders/7/lines?x=1", "none", true, 1)]
#[case::certificate("POST", "/certificates", "none", true, 1)]
#[case::answer_lost("POST", "/work-orders", "cut", false, 1)]
#[case::refused("POST", "/work-orders", "refuse", false, 0)]
#[case::lookup("GET", "/work-orders", "none", true, 0)]
#[case::other_path("POST", "/work-ordersx", "none", true, 0)]
#[tokio::test]
async fn effects_are_counted(
    #[case] method: &str,
    #[case] path: &str,
    #[case] mode: &str,
    #[case] answered: bool,
    #[case] effects: u64,
) {
    let service = ServiceServer::new("service").start().unwrap();
    let caller = TestCaller::new(service.addr);
    caller.put_fault(json!({"mode": mode})).await;
    let response = caller.send(method, path, &[("x-request-id", "r1")], "body".to_owned()).await.unwrap();
    assert_eq!(response.headers()["x-request-id"], "r1");
    let body = http_body_util::BodyExt::collect(response.into_body()).await.ok();
    let body: Option<Value> = body.and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
    let valid =
        body.filter(|body| body["request_id"] == "r1" && body["path"] == path && body["sequence"] == 1);
    assert_eq!(valid.is_some(), answered);
    let journal = caller.journal().await;
    assert_eq!(journal["effects"], effects);
    assert_eq!(journal["requests"][0]["effect"], effects == 1);
}

/// Guards against effects that are lost when the caller disconnects before the response.
#[tokio::test]
async fn effect_does_not_depend_on_connection() {
    let service = ServiceServer::new("service").with_latency_ms(300).start().unwrap();
    let caller = TestCaller::new(service.addr);
    let call = caller.send("POST", "/work-orders", &[("x-request-id", "r1")], String::new());
    assert!(tokio::time::timeout(Duration::from_millis(100), call).await.is_err());
    caller.wait_outcome("r1", "ran").await;
    assert_eq!(caller.journal().await["effects"], 1);
}
