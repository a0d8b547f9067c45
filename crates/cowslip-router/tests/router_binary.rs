//! The router binary: settings, graceful shutdown and exit codes.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rstest::rstest;

fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("cowslip-router-{}-{name}.ini", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn router(settings: &PathBuf, more: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cowslip-router"));
    command.arg("--settings").arg(settings).args(more).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

const GOOD: &str = "[router]\nvm=entry-1\ndomain=east\ncallers_addr=127.0.0.1:1\nrpc_addr=127.0.0.1:2\n\
                    platform=127.0.0.1:3\n";

/// Guards against invalid settings that are not detected, reported without a line, or reported one at a time.
#[rstest]
#[case::good("good", GOOD, &[], 0)]
#[case::missing("missing", "[router]\nvm=entry-1\n", &["domain", "callers_addr", "rpc_addr", "platform"], 2)]
#[case::unknown("unknown", &format!("{GOOD}colour=red\n"), &[":7: unknown key \"colour\""], 2)]
#[case::wrong("wrong", &format!("{GOOD}max_waiting=many\nlog_level=loud\n"), &[":7:", ":8:"], 2)]
#[case::address("address", &format!("{GOOD}controllers=127.0.0.1:5, here\n"), &[":7:", "\"here\""], 2)]
#[case::zero("zero", &format!("{GOOD}read_timeout_ms=0\nmax_body_bytes=0\n"), &[":7:", ":8:"], 2)]
fn settings_are_checked(#[case] name: &str, #[case] text: &str, #[case] parts: &[&str], #[case] code: i32) {
    let path = settings_file(name, text);
    let output = router(&path, &["--check"]).output().unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code), "{errors}");
    for part in parts {
        assert!(errors.contains(part), "{part} is not in {errors}");
    }
    std::fs::remove_file(path).unwrap();
}

fn health(addr: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

fn signal(child: &Child) {
    assert!(Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap().success());
}

/// Guards against a shutdown that skips the notice period, is shortened by a second signal, or exits with a
/// failure.
#[test]
fn sigterm_shuts_down_gracefully() {
    let (callers, rpc) = (free_addr(), free_addr());
    let text = format!(
        "[router]\nvm=entry-1\ndomain=east\ncallers_addr={callers}\nrpc_addr={rpc}\nplatform=127.0.0.1:1\n\
         drain_notice_ms=800\n"
    );
    let path = settings_file("stop", &text);
    let mut child = router(&path, &[]).stdout(Stdio::null()).spawn().unwrap();
    let started = Instant::now();
    while !health(callers).is_some_and(|answer| answer.starts_with("HTTP/1.1 200")) {
        assert!(started.elapsed() < Duration::from_secs(10), "the router did not start within 10 s");
        std::thread::sleep(Duration::from_millis(20));
    }
    signal(&child);
    std::thread::sleep(Duration::from_millis(100));
    signal(&child);
    let noticed = Instant::now();
    assert!(health(callers).unwrap().starts_with("HTTP/1.1 503"));
    let status = child.wait().unwrap();
    assert_eq!(status.code(), Some(0));
    assert!(noticed.elapsed() >= Duration::from_millis(600), "the second signal shortened the shutdown");
    std::fs::remove_file(path).unwrap();
}
