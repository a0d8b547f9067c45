//! Helpers of the contract tests; every wait has a time limit.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use cowslip_platform::PlatformError;
use cowslip_standins::{PlatformServer, RunningServer, StandinClient};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Time-out of the clients under test in ms, far above the duration of a call over loopback.
pub(crate) const TIMEOUT_MS: u64 = 800;

/// Classification of a failure, without its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    NotConnected,
    InDoubt,
    Refused(u16),
    Malformed,
}

/// Classification of a call's failure; `None` if it succeeded.
pub(crate) fn failure<T>(outcome: &Result<T, PlatformError>) -> Option<Failure> {
    match outcome {
        Ok(_) => None,
        Err(PlatformError::NotConnected(_)) => Some(Failure::NotConnected),
        Err(PlatformError::InDoubt(_) | PlatformError::Unfinished(_)) => Some(Failure::InDoubt),
        Err(PlatformError::Refused { status, .. }) => Some(Failure::Refused(*status)),
        Err(PlatformError::Malformed(_)) => Some(Failure::Malformed),
    }
}

/// A platform whose VM list has no lag and whose load starts are not limited.
pub(crate) fn start_platform() -> RunningServer {
    PlatformServer::new().with_loads_per_10s(0).with_vm_list_lag_ms(0).start().unwrap()
}

pub(crate) async fn put_fault(addr: SocketAddr, fault: Value) {
    StandinClient::new(addr).put_fault(&fault).await.unwrap();
}

pub(crate) async fn journal(addr: SocketAddr) -> Value {
    StandinClient::new(addr).journal().await.unwrap()
}

pub(crate) async fn pause_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Repeats `check` until it returns true; panics after 5 s.
pub(crate) async fn eventually<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    for _ in 0..250 {
        if check().await {
            return;
        }
        pause_ms(20).await;
    }
    panic!("not within 5 s: {what}");
}

/// An address on which nothing listens.
pub(crate) fn closed_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A server that answers each connection's first request with `answer` and closes the connection.
pub(crate) async fn raw_server(answer: &'static str) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    addr
}
