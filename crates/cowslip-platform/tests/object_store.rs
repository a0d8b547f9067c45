//! Contract tests of the object store, with injected faults.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use bytes::Bytes;
use common::{Failure, TIMEOUT_MS, closed_addr, eventually, failure, pause_ms, put_fault, start_platform};
use cowslip_platform::{ObjectStore, PlatformClient};
use rstest::rstest;
use serde_json::json;

const OLD: Bytes = Bytes::from_static(b"old");
const NEW: Bytes = Bytes::from_static(b"\x00\xffnew");

/// Guards against a wrong classification of failed writes and deletions.
#[rstest]
#[case::none("none", 0, None, true)]
#[case::down("down", 0, Some(Failure::Refused(503)), false)]
#[case::answer_lost("lose_answers", 0, Some(Failure::InDoubt), true)]
#[case::slower_than_timeout("slow", TIMEOUT_MS + 200, Some(Failure::InDoubt), true)]
#[case::connection_dropped("drop_connection", 0, Some(Failure::InDoubt), false)]
#[case::duplicate_delivery("duplicate", 0, None, true)]
#[tokio::test]
async fn write_under_fault(
    #[case] mode: &str,
    #[case] ms: u64,
    #[case] expected: Option<Failure>,
    #[case] takes_effect: bool,
    #[values(Some(NEW), None)] body: Option<Bytes>,
) {
    let platform = start_platform();
    let client = PlatformClient::new(platform.addr).with_timeout_ms(TIMEOUT_MS);
    client.put("sheet/a b", OLD).await.unwrap();
    put_fault(platform.addr, json!({"service": "objects", "mode": mode, "ms": ms})).await;
    let outcome = match &body {
        Some(body) => client.put("sheet/a b", body.clone()).await,
        None => client.delete("sheet/a b").await,
    };
    assert_eq!(failure(&outcome), expected, "{outcome:?}");
    put_fault(platform.addr, json!({"service": "objects", "mode": "none"})).await;
    if takes_effect {
        eventually("the write shows", || async { client.get("sheet/a b").await.unwrap() == body }).await;
    } else {
        pause_ms(TIMEOUT_MS).await;
        assert_eq!(client.get("sheet/a b").await.unwrap(), Some(OLD));
    }
}

/// Guards against a wrong classification of failed reads.
#[rstest]
#[case::down("down", 0, 0, Some(Failure::Refused(503)), None)]
#[case::slower_than_timeout("slow", TIMEOUT_MS + 200, 0, Some(Failure::InDoubt), None)]
#[case::connection_dropped_always("drop_connection", 0, 1, Some(Failure::InDoubt), None)]
#[case::connection_dropped_every_other("drop_connection", 0, 2, None, Some(NEW))]
#[case::stale("stale", 1_000, 0, None, Some(OLD))]
#[tokio::test]
async fn read_under_fault(
    #[case] mode: &str,
    #[case] ms: u64,
    #[case] every: u64,
    #[case] expected: Option<Failure>,
    #[case] body: Option<Bytes>,
) {
    let platform = start_platform();
    let client = PlatformClient::new(platform.addr).with_timeout_ms(TIMEOUT_MS);
    client.put("object", OLD).await.unwrap();
    pause_ms(1_200).await;
    client.put("object", NEW).await.unwrap();
    put_fault(platform.addr, json!({"service": "objects", "mode": mode, "ms": ms, "every": every})).await;
    for _ in 0..2 {
        let outcome = client.get("object").await;
        assert_eq!(failure(&outcome), expected, "{outcome:?}");
        assert_eq!(outcome.ok().flatten(), body);
    }
}

/// Guards against errors for absent objects and for names with special characters.
#[tokio::test]
async fn absent_object_is_no_error() {
    let platform = start_platform();
    let client = PlatformClient::new(platform.addr);
    assert_eq!(client.get("../vms?a=b#c").await.unwrap(), None);
    client.delete("../vms?a=b#c").await.unwrap();
    client.put("../vms?a=b#c", NEW).await.unwrap();
    assert_eq!(client.get("../vms?a=b#c").await.unwrap(), Some(NEW));
    let closed = PlatformClient::new(closed_addr());
    assert_eq!(failure(&closed.put("object", NEW).await), Some(Failure::NotConnected));
}
