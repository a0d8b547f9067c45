//! Runs `cowslipctl trace` and `cowslipctl quarantine` on log files.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

fn log_file(name: &str, lines: &[&str]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("cowslip-trace-{}-{name}", std::process::id()));
    fs::write(&path, lines.join("\n")).expect("log file");
    path
}

fn trace(args: &[&str], files: &[&PathBuf]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cowslipctl"));
    command.arg("trace").args(args);
    for file in files {
        command.arg(file);
    }
    command.output().expect("cowslipctl")
}

/// Guards against missing lines of a VM, wrong order, and missing state changes of a VM.
#[test]
fn lines_of_a_request_are_ordered_across_vms() {
    let first = log_file(
        "a",
        &[
            r#"{"msg":"leader_lost","ts":"2026-01-01T00:00:01.5Z","vm":"a","leader":"x"}"#,
            r#"12.1 a {"msg":"wait_rejected","ts":"2026-01-01T00:00:02.1Z","vm":"a","request":"r1","cause":"NoModel"}"#,
            "not json",
            r#"{"msg":"leader_heard","ts":"2026-01-01T00:00:09.0Z","vm":"a"}"#,
        ],
    );
    let second = log_file(
        "b",
        &[
            r#"{"msg":"request_answered","ts":"2026-01-01T00:00:02.9Z","vm":"b","request":"r1","status":200}"#,
            r#"{"msg":"request_answered","ts":"2026-01-01T00:00:02.8Z","vm":"b","request":"r2","status":200}"#,
        ],
    );
    let output = trace(&["--context", "r1"], &[&second, &first]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let messages: Vec<&str> = text.lines().filter_map(|line| line.split(' ').nth(2)).collect();
    assert_eq!(messages, ["leader_lost", "wait_rejected", "request_answered", "of"], "{text}");
    assert!(text.contains("cause=NoModel") && text.contains("1 lines are not JSON"), "{text}");
    fs::remove_file(first).expect("removed");
    fs::remove_file(second).expect("removed");
}

/// Guards against an unknown request id or an unreadable file that is not reported as a failure.
#[test]
fn an_unknown_id_and_a_missing_file_fail() {
    let file = log_file("c", &["{}"]);
    assert_eq!(trace(&["r9"], &[&file]).status.code(), Some(1));
    assert_eq!(trace(&["r9"], &[&PathBuf::from("/nowhere/log")]).status.code(), Some(2));
    fs::remove_file(file).expect("removed");
}

/// Guards against a part that is shown as quarantined after its release or a restart, or without its cause.
#[test]
fn quarantined_parts_are_shown_with_their_cause() {
    let first = log_file(
        "h1",
        &[
            r#"{"msg":"part_quarantined","ts":"2026-01-01T00:00:01.0Z","vm":"a","part":"p1","crashes":2,"upstreams":"i-2 i-1"}"#,
            r#"{"msg":"part_quarantined","ts":"2026-01-01T00:00:01.2Z","vm":"a","part":"p2","crashes":2,"upstreams":"i-3"}"#,
            r#"{"msg":"request_quarantined","ts":"2026-01-01T00:00:02.0Z","vm":"a","request":"r1","part":"p1","crashes":3,"upstreams":"i-9"}"#,
            r#"{"msg":"part_released","ts":"2026-01-01T00:01:02.0Z","vm":"a","part":"p2"}"#,
        ],
    );
    let second = log_file(
        "h2",
        &[
            r#"{"msg":"part_quarantined","ts":"2026-01-01T00:00:01.1Z","vm":"b","part":"p1","crashes":2,"upstreams":"i-1"}"#,
            r#"{"msg":"started","ts":"2026-01-01T00:00:05.0Z","vm":"b"}"#,
        ],
    );
    let mut command = Command::new(env!("CARGO_BIN_EXE_cowslipctl"));
    let output = command.arg("held").arg(&first).arg(&second).output().expect("cowslipctl");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let rows: Vec<Vec<&str>> = text.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(
        rows[1],
        ["p1", "held", "2026-01-01T00:00:01.0Z", "1", "3", "i-1", "i-2", "i-9", "r1"],
        "{text}"
    );
    assert_eq!(rows[2][..2], ["p2", "released"], "{text}");
    fs::remove_file(first).expect("removed");
    fs::remove_file(second).expect("removed");
}
