//! Contract tests of the table service, with injected faults.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::net::SocketAddr;

use common::{
    Failure, TIMEOUT_MS, closed_addr, eventually, failure, journal, pause_ms, put_fault, raw_server,
    start_platform,
};
use cowslip_platform::{PlatformClient, TableService, TableTransaction};
use rstest::rstest;
use serde_json::json;

fn client(addr: SocketAddr) -> PlatformClient {
    PlatformClient::new(addr).with_timeout_ms(TIMEOUT_MS)
}

fn put_new(key: &str, value: &str) -> TableTransaction {
    TableTransaction::new().with_absent(key).with_put(key, value.to_owned())
}

async fn value_of(client: &PlatformClient, key: &str) -> Option<String> {
    client.read(key).await.unwrap().map(|row| row.value)
}

/// Guards against a wrong classification of failed writes: a write that is not `InDoubt` must not have taken
/// effect, and one that is can be read back.
#[rstest]
#[case::none("none", 0, None, true)]
#[case::down("down", 0, Some(Failure::Refused(503)), false)]
#[case::answer_lost("lose_answers", 0, Some(Failure::InDoubt), true)]
#[case::slower_than_timeout("slow", TIMEOUT_MS + 200, Some(Failure::InDoubt), true)]
#[case::slow_within_timeout("slow", 50, None, true)]
#[case::connection_dropped("drop_connection", 0, Some(Failure::InDoubt), false)]
#[case::delivered_again_later("duplicate", 100, None, true)]
#[tokio::test]
async fn commit_under_fault(
    #[case] mode: &str,
    #[case] ms: u64,
    #[case] expected: Option<Failure>,
    #[case] takes_effect: bool,
) {
    let platform = start_platform();
    let client = client(platform.addr);
    put_fault(platform.addr, json!({"service": "table", "mode": mode, "ms": ms})).await;
    let outcome = client.commit(&put_new("row", "1")).await;
    assert_eq!(failure(&outcome), expected, "{outcome:?}");
    put_fault(platform.addr, json!({"service": "table", "mode": "none"})).await;
    if takes_effect {
        eventually("the row is there", || async { value_of(&client, "row").await.is_some() }).await;
    } else {
        pause_ms(TIMEOUT_MS).await;
        assert_eq!(value_of(&client, "row").await, None);
    }
    assert_eq!(journal(platform.addr).await["calls"]["table_commit"], 1, "a write is never repeated");
}

/// Guards against reads that fail although a retry would succeed, and against a wrong classification of
/// failed reads.
#[rstest]
#[case::none("none", 0, 0, None, 2)]
#[case::down("down", 0, 0, Some(Failure::Refused(503)), 2)]
#[case::slower_than_timeout("slow", TIMEOUT_MS + 200, 0, Some(Failure::InDoubt), 2)]
#[case::connection_dropped_once("drop_connection", 0, 2, None, 3)]
#[case::connection_dropped_always("drop_connection", 0, 1, Some(Failure::InDoubt), 4)]
#[case::answers_to_writes_lost("lose_answers", 0, 0, None, 2)]
#[tokio::test]
async fn read_under_fault(
    #[case] mode: &str,
    #[case] ms: u64,
    #[case] every: u64,
    #[case] expected: Option<Failure>,
    #[case] calls: u64,
) {
    let platform = start_platform();
    let client = client(platform.addr);
    client.commit(&put_new("row", "1")).await.unwrap();
    put_fault(platform.addr, json!({"service": "table", "mode": mode, "ms": ms, "every": every})).await;
    let first = client.read("row").await;
    let second = client.read("row").await;
    assert_eq!(failure(&second), expected, "{second:?}");
    if expected.is_none() {
        assert_eq!(first.unwrap().unwrap().value, "1");
        assert_eq!(second.unwrap().unwrap().value, "1");
    }
    assert_eq!(journal(platform.addr).await["calls"]["table_row"], calls);
}

/// Guards against a write that is retried because its pooled connection was closed.
#[tokio::test]
async fn write_on_closed_pooled_connection_is_in_doubt() {
    let platform = start_platform();
    let client = client(platform.addr);
    put_fault(platform.addr, json!({"service": "table", "mode": "drop_connection", "every": 2})).await;
    client.commit(&put_new("first", "1")).await.unwrap();
    let outcome = client.commit(&put_new("second", "1")).await;
    assert_eq!(failure(&outcome), Some(Failure::InDoubt));
    assert_eq!(journal(platform.addr).await["calls"]["table_commit"], 2);
}

/// Guards against a client that mistakes its own write, delivered twice, for the write of another client.
#[tokio::test]
async fn duplicate_delivery_shows_own_row_as_conflict() {
    let platform = start_platform();
    let client = client(platform.addr);
    put_fault(platform.addr, json!({"service": "table", "mode": "duplicate"})).await;
    let outcome = client.commit(&put_new("claim", "attempt-1")).await.unwrap();
    assert!(!outcome.committed);
    assert_eq!(outcome.rows.first().unwrap().value, "attempt-1");
}

/// Guards against a late duplicate that overwrites newer writes unnoticed; a condition on the version
/// prevents that.
#[rstest]
#[case::unconditional(false, "old")]
#[case::conditional(true, "new")]
#[tokio::test]
async fn late_duplicate_is_rejected_by_condition(#[case] conditional: bool, #[case] expected: &str) {
    let platform = start_platform();
    let client = client(platform.addr);
    let first = if conditional {
        put_new("row", "old")
    } else {
        TableTransaction::new().with_put("row", "old".to_owned())
    };
    put_fault(platform.addr, json!({"service": "table", "mode": "duplicate", "ms": 800})).await;
    client.commit(&first).await.unwrap();
    put_fault(platform.addr, json!({"service": "table", "mode": "none"})).await;
    client.commit(&TableTransaction::new().with_put("row", "new".to_owned())).await.unwrap();
    assert_eq!(value_of(&client, "row").await.as_deref(), Some("new"));
    pause_ms(1_200).await;
    assert_eq!(value_of(&client, "row").await.as_deref(), Some(expected));
}

/// Guards against a stand-in whose stale reads are current or inconsistent.
#[tokio::test]
async fn stale_read_shows_earlier_state() {
    let platform = start_platform();
    let client = client(platform.addr);
    client.commit(&put_new("row", "old")).await.unwrap();
    pause_ms(1_200).await;
    client.commit(&TableTransaction::new().with_put("row", "new".to_owned())).await.unwrap();
    put_fault(platform.addr, json!({"service": "table", "mode": "stale", "ms": 1_000})).await;
    assert_eq!(value_of(&client, "row").await.as_deref(), Some("old"));
    let scanned = client.scan("", "", 10).await.unwrap();
    assert_eq!(scanned.first().unwrap().value, "old");
    let conflict = client.commit(&put_new("row", "x")).await.unwrap();
    assert_eq!(conflict.rows.first().unwrap().value, "new", "conditions are checked on the present state");
}

/// Guards against transactions that are committed in part, or although a condition does not hold.
#[rstest]
#[case::absent_but_present(|_| TableTransaction::new().with_absent("a"), false)]
#[case::old_version(|version| TableTransaction::new().with_version("a", version - 1), false)]
#[case::present_but_absent(|version| TableTransaction::new().with_version("b", version), false)]
#[case::one_of_two(|version| TableTransaction::new().with_version("a", version).with_version("b", 9), false)]
#[case::same_version(|version| TableTransaction::new().with_version("a", version).with_absent("b"), true)]
#[tokio::test]
async fn conditions_are_checked(#[case] conditions: fn(u64) -> TableTransaction, #[case] committed: bool) {
    let platform = start_platform();
    let client = client(platform.addr);
    let version = client.commit(&put_new("a", "1")).await.unwrap().versions[0];
    let transaction =
        conditions(version).with_put("c", "1".to_owned()).with_put("d", "1".to_owned()).with_delete("a");
    let outcome = client.commit(&transaction).await.unwrap();
    assert_eq!(outcome.committed, committed);
    assert_eq!(outcome.versions.len(), if committed { 2 } else { 0 });
    assert_eq!(
        outcome.rows.iter().any(|row| row.key == "a"),
        !committed && transaction.conditions[0].key == "a"
    );
    for (key, present) in [("a", !committed), ("c", committed), ("d", committed)] {
        assert_eq!(value_of(&client, key).await.is_some(), present, "{key}");
    }
}

/// Guards against a version that repeats after its row was deleted, so that a stale condition would hold
/// again.
#[tokio::test]
async fn versions_never_repeat() {
    let platform = start_platform();
    let client = client(platform.addr);
    let first = client.commit(&put_new("row", "1")).await.unwrap().versions[0];
    client.commit(&TableTransaction::new().with_delete("row")).await.unwrap();
    client.commit(&put_new("row", "1")).await.unwrap();
    let stale = TableTransaction::new().with_version("row", first).with_put("row", "2".to_owned());
    assert!(!client.commit(&stale).await.unwrap().committed);
}

/// Guards against scans that skip or repeat rows at page boundaries, and against keys with special
/// characters.
#[rstest]
#[case("change/", "", 10, &["change/1", "change/2 &=%", "change/3"])]
#[case("change/", "change/1", 10, &["change/2 &=%", "change/3"])]
#[case("change/", "", 2, &["change/1", "change/2 &=%"])]
#[case("change/", "change/3", 10, &[])]
#[case("z", "", 10, &["zä"])]
#[tokio::test]
async fn scan_is_ordered(
    #[case] prefix: &str,
    #[case] after: &str,
    #[case] limit: usize,
    #[case] expected: &[&str],
) {
    let platform = start_platform();
    let client = client(platform.addr);
    for key in ["change/3", "change/1", "zä", "change/2 &=%", "applied/1"] {
        client.commit(&put_new(key, key)).await.unwrap();
    }
    let rows = client.scan(prefix, after, limit).await.unwrap();
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, expected);
}

/// Guards against a wrong classification of answers that no stand-in gives.
#[rstest]
#[case::too_many("HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n", Failure::Refused(429))]
#[case::unavailable("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n", Failure::Refused(503))]
#[case::server_error("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n", Failure::InDoubt)]
#[case::request_timeout("HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n", Failure::InDoubt)]
#[case::moved("HTTP/1.1 302 Found\r\ncontent-length: 0\r\n\r\n", Failure::Malformed)]
#[case::unexpected_format("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", Failure::Malformed)]
#[case::truncated_body("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"committed\":true", Failure::InDoubt)]
#[case::not_http("garbage\r\n\r\n", Failure::InDoubt)]
#[case::no_answer("", Failure::InDoubt)]
#[tokio::test]
async fn answer_is_classified(#[case] answer: &'static str, #[case] expected: Failure) {
    let client = client(raw_server(answer).await);
    assert_eq!(failure(&client.commit(&put_new("row", "1")).await), Some(expected));
    assert_eq!(failure(&client.scan("", "", 1).await), Some(expected));
}

/// Guards against a failure that is reported as in doubt although nothing was sent, and against futures that
/// are not `Send`.
#[tokio::test]
async fn refused_connection_is_not_connected() {
    fn send<T: Send>(future: T) -> T {
        future
    }
    let client = client(closed_addr());
    let transaction = put_new("row", "1");
    assert_eq!(failure(&send(client.commit(&transaction)).await), Some(Failure::NotConnected));
    assert_eq!(failure(&send(client.read("row")).await), Some(Failure::NotConnected));
}
