//! Connection pool for upstreams: which requests may be sent on which connection, and when.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cowslip_adapter::header_names::ATTEMPT_ID;
use cowslip_adapter_standins::{RawBehaviour, RawUpstream};
use cowslip_gateway::{SendFault, UpstreamPool};
use cowslip_runtime::ProcessClock;
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use tokio::time::sleep;

fn request(id: &str) -> Request<Full<Bytes>> {
    Request::get("/lookup/1")
        .header("host", "a.example")
        .header(ATTEMPT_ID, id)
        .body(Full::new(Bytes::new()))
        .expect("request")
}

/// Sends a request, reads its response, and returns the connection to the pool.
async fn send_and_return(pool: &UpstreamPool, address: SocketAddr, id: &str) {
    let (response, connection) = pool.send(address, request(id), || true).await.expect("answer");
    response.into_body().collect().await.expect("body");
    pool.return_connection(connection, None);
}

/// Guards against sending a request whose permission expired while its connection was opened or taken from
/// the pool.
#[rstest]
#[case::new_connection(false)]
#[case::idle_connection(true)]
#[tokio::test]
async fn a_request_that_is_no_longer_allowed_is_not_sent(#[case] idle: bool) {
    let upstream = RawUpstream::start("u", "", RawBehaviour::Valid).await.expect("upstream");
    let pool = UpstreamPool::new(ProcessClock::new());
    if idle {
        send_and_return(&pool, upstream.address, "before").await;
    }
    let checks = Cell::new(0);
    let outcome = pool
        .send(upstream.address, request("id-1"), || {
            checks.set(checks.get() + 1);
            false
        })
        .await;
    assert!(matches!(outcome, Err(SendFault::Withheld)), "{outcome:?}");
    assert_eq!(checks.get(), 1);
    send_and_return(&pool, upstream.address, "after").await;
    assert!(!upstream.seen().contains(&"id-1".to_owned()));
}

/// Guards against sending a refused attempt again on its connection, where a duplicate of the refusal would
/// be taken for the response. Other attempts may use the connection.
#[tokio::test]
async fn a_refused_attempt_is_sent_on_another_connection() {
    let upstream = RawUpstream::start("u", "", RawBehaviour::DuplicatesRefusal).await.expect("upstream");
    let pool = UpstreamPool::new(ProcessClock::new());
    let attempt = HeaderValue::from_static("id-1");
    let (response, connection) =
        pool.send(upstream.address, request("id-1"), || true).await.expect("refusal");
    assert_eq!(response.status().as_u16(), 503);
    pool.return_refused(connection, response.into_body(), Some(&attempt), None).await;
    let (response, connection) = pool.send(upstream.address, request("id-1"), || true).await.expect("answer");
    assert_eq!(response.status().as_u16(), 200, "a duplicate of the refusal was taken for the response");
    drop(connection);
    upstream.set_behaviour(RawBehaviour::Valid);
    let connections = upstream.connections();
    send_and_return(&pool, upstream.address, "id-2").await;
    assert_eq!(upstream.connections(), connections, "the connection was not reused");
}

/// Guards against a process that is suspended between check and write and sends on an expired permission: an
/// order of a frozen leader reached an engine after its successor's.
#[rstest]
#[case::new_connection(false)]
#[case::idle_connection(true)]
#[tokio::test]
async fn a_request_is_not_written_long_after_it_was_allowed(#[case] idle: bool) {
    let upstream = RawUpstream::start("u", "", RawBehaviour::Valid).await.expect("upstream");
    let pool = UpstreamPool::new(ProcessClock::new());
    if idle {
        send_and_return(&pool, upstream.address, "before").await;
    }
    let before = upstream.seen();
    let allowed_and_suspended = || {
        std::thread::sleep(Duration::from_millis(600));
        true
    };
    let outcome = pool.send(upstream.address, request("id-1"), allowed_and_suspended).await;
    assert!(matches!(outcome, Err(SendFault::Withheld)), "{outcome:?}");
    sleep(Duration::from_millis(50)).await;
    assert_eq!(upstream.seen(), before);
    send_and_return(&pool, upstream.address, "after").await;
}
