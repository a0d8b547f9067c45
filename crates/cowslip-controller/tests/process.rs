//! The controller binary: settings, exit codes and signals.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};

use cowslip_controller::ControllerSettings;
use cowslip_standins::PlatformServer;
use rstest::rstest;

const VALID_SETTINGS: &str = "[controller]\nvm = e0\ndomain = d0\nrpc_addr = 127.0.0.1:0\nplatform = 127.0.0.1:1\n\
                     operator_token = 0123456789abcdef\n";

/// Guards against invalid settings that are accepted, and against faults that are reported one at a time.
#[rstest]
#[case::no_fault("", 0)]
#[case::metrics("metrics_addr = 127.0.0.1:8125\nlog_level = debug\npolicy = first_fit\n", 0)]
#[case::unknown_key("metrics = 127.0.0.1:8125\n", 1)]
#[case::several("metrics_addr = here\nlog_level = loud\npolicy = best\n", 3)]
fn settings_are_checked(#[case] more: &str, #[case] faults: usize) {
    let result = ControllerSettings::from_text(Path::new("c.ini"), &format!("{VALID_SETTINGS}{more}"));
    assert_eq!(result.as_ref().err().map_or(0, Vec::len), faults, "{result:?}");
}

/// Guards against an operator token that could be guessed, and against missing keys.
#[test]
fn missing_settings_are_reported_at_once() {
    let text = VALID_SETTINGS
        .replace("0123456789abcdef", "short")
        .replace("vm = e0\n", "")
        .replace("domain = d0\n", "");
    let faults = ControllerSettings::from_text(Path::new("c.ini"), &text).unwrap_err();
    assert_eq!(faults.len(), 3, "{faults:?}");
}

/// Guards against a stop that leaves the lease held or ends with another exit code, and against a check that
/// starts the process.
#[test]
fn check_and_terminate() {
    let platform = PlatformServer::new().start().unwrap();
    let dir = std::env::temp_dir().join(format!("cowslip-controller-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("controller.ini");
    std::fs::write(&file, VALID_SETTINGS.replace("127.0.0.1:1\n", &format!("{}\n", platform.addr))).unwrap();
    let binary = env!("CARGO_BIN_EXE_cowslip-controller");
    let check = Command::new(binary).arg("--settings").arg(&file).arg("--check").output().unwrap();
    assert!(check.status.success(), "{check:?}");
    let mut child = Command::new(binary).arg("--settings").arg(&file).stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines().map(Result::unwrap);
    assert!(lines.any(|line| line.contains("\"leading\"")), "never leads");
    let killed = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status().unwrap();
    assert!(killed.success());
    let rest: Vec<String> = lines.collect();
    let status = child.wait().unwrap();
    assert_eq!(status.code(), Some(0), "{rest:?}");
    assert!(rest.iter().any(|line| line.contains("\"stepped down\"")), "{rest:?}");
    assert!(!rest.iter().any(|line| line.contains("not released")), "{rest:?}");
    std::fs::remove_dir_all(&dir).unwrap();
}
