//! Tests of the benchmark's verification: counting failed or truncated responses as served would falsify its
//! results.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use cowslip_load::{BenchKind, BenchOptions, BenchRunner, BenchTally, bench_command};
use rstest::rstest;

fn options(arguments: &[&str]) -> BenchOptions {
    let all = ["cowslip-bench"].iter().chain(arguments).copied();
    BenchOptions::new(&bench_command().try_get_matches_from(all).unwrap()).unwrap()
}

/// Starts a server that sends `answer` on its first connection.
fn answer_once(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
    });
    addr
}

#[test]
fn command_line_is_parsed() {
    let options = options(&["--targets", "127.0.0.1:1,127.0.0.1:2", "--kind", "stream", "--rate", "7.5"]);
    assert_eq!(options.targets.len(), 2);
    assert_eq!(options.kind, BenchKind::Stream);
    assert!(options.rate > 7.0);
    assert_eq!(options.key, None);
    let bad = bench_command().try_get_matches_from(["x", "--targets", "127.0.0.1:1", "--kind", "other"]);
    assert!(BenchOptions::new(&bad.unwrap()).is_err());
}

/// Guards against failures that count as served or enter the latencies.
#[test]
fn tally_separates_failures() {
    let mut tally = BenchTally::new();
    tally.add(Ok(3), Duration::from_micros(200));
    tally.add(Err("cut".to_owned()), Duration::from_secs(9));
    let line = tally.to_line(Duration::from_secs(1));
    assert!(line.starts_with("served=1 failed=1 tokens=3 "), "{line}");
    assert!(line.ends_with("p50_us=200 p99_us=200 max_us=200"), "{line}");
}

/// Guards against long latencies being clamped to the initial range of the histogram.
#[test]
fn tally_keeps_long_latencies() {
    let mut tally = BenchTally::new();
    tally.add(Ok(0), Duration::from_secs(5));
    let line = tally.to_line(Duration::from_secs(5));
    let p50: u64 = line.split("p50_us=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap();
    assert!(p50.abs_diff(5_000_000) < 10_000, "{line}");
}

/// Guards against truncated streams, error responses and responses to other requests counted as served.
#[rstest]
#[case("stream", "200 OK", "data: {\"offset\":0}\n\ndata: [DONE]\n\n", true)]
#[case("stream", "200 OK", "data: {\"offset\":0}\n\n", false)]
#[case("stream", "200 OK", "data: [DONE]\n\n", false)]
#[case("stream", "200 OK", "data: {\"offset\":0}\n\ndata: {\"error\":{}}\n\n", false)]
#[case("lookup", "200 OK", "{\"path\":\"/lookups/0\"}", true)]
#[case("lookup", "200 OK", "{\"path\":\"/lookups/1\"}", false)]
#[case("lookup", "503 Service Unavailable", "{\"path\":\"/lookups/0\"}", false)]
fn invalid_responses_count_as_failed(
    #[case] kind: &str,
    #[case] status: &str,
    #[case] body: &str,
    #[case] passed: bool,
) {
    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let addr = answer_once(answer.leak()).to_string();
    let options = options(&["--targets", &addr, "--kind", kind, "--requests", "1"]);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let tally = runtime.block_on(BenchRunner::new(options).run());
    assert_eq!(tally.failures().is_empty(), passed, "{:?}", tally.failures());
}
