//! Answers that begin in time and take long to arrive, and callers that are delayed themselves.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cowslip_platform::{CallKind, CallRequest, HttpCaller};
use http::Method;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const TIMEOUT_MS: u64 = 200;

fn read_of(address: SocketAddr) -> CallRequest {
    CallRequest {
        kind: CallKind::Read,
        method: Method::GET,
        uri: format!("http://{address}/rows"),
        body: Bytes::new(),
        content_type: "application/json",
    }
}

/// Answers one call: the head after `head_ms`, the last bytes of the body another `rest_ms` later.
async fn slow_server(head_ms: u64, rest_ms: u64) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        sleep(Duration::from_millis(head_ms)).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nrows").await.unwrap();
        sleep(Duration::from_millis(rest_ms)).await;
        // The caller may already have disconnected.
        drop(stream.write_all(b"more").await);
    });
    address
}

/// Guards against a large answer that is cut off by the time-out for a silent service: the answer to each
/// retry was as large and was cut off as well, so the caller never received a change. Also guards against
/// waiting for ever.
#[rstest]
#[case::begun_in_time(0, 400, Some("rowsmore"))]
#[case::begun_late(400, 0, None)]
#[case::never_complete(0, 1_500, None)]
#[tokio::test]
async fn slow_body_is_read_to_its_end(
    #[case] head_ms: u64,
    #[case] rest_ms: u64,
    #[case] expected: Option<&str>,
) {
    let address = slow_server(head_ms, rest_ms).await;
    let outcome = HttpCaller::new().with_body_timeout_ms(800).call_any(read_of(address), TIMEOUT_MS).await;
    match (outcome, expected) {
        (Ok((_, body)), Some(expected)) => assert_eq!(body, expected),
        // A service whose answer has begun counts as reachable.
        (Err(error), None) => {
            assert!(error.in_doubt(), "{error}");
            assert_eq!(error.has_answer(), head_ms < TIMEOUT_MS, "{error}");
        }
        (outcome, expected) => panic!("{outcome:?} instead of {expected:?}"),
    }
}

/// A server on a thread of its own that answers each call at once.
fn prompt_server() -> SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 1024];
            // The caller may already have disconnected.
            if stream.read(&mut request).unwrap_or(0) > 0 {
                drop(
                    stream
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nrows"),
                );
            }
        }
    });
    address
}

/// Guards against a process that was delayed for longer than its own time-out and treats the service as
/// silent.
#[rstest]
#[case::while_connecting(0)]
#[case::after_some_turns(3)]
#[tokio::test]
async fn delayed_caller_still_gets_its_answer(#[case] turns: usize) {
    let address = prompt_server();
    let caller = HttpCaller::new();
    let delay = async {
        for _ in 0..turns {
            tokio::task::yield_now().await;
        }
        std::thread::sleep(Duration::from_millis(3 * TIMEOUT_MS));
    };
    let (outcome, ()) = tokio::join!(caller.call_any(read_of(address), TIMEOUT_MS), delay);
    assert_eq!(outcome.unwrap().1, "rows");
}
