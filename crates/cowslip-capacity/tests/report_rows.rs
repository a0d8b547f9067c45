//! Tests of the binary's report in a quick run.

// `allow-unwrap-in-tests` in clippy.toml covers test functions but not the helpers.
#![allow(clippy::unwrap_used)]

use std::process::Command;

use serde_json::Value;

/// The rows cited by docs/CAPACITY.md.
const ROWS: &[&str] = &[
    "view.apply_key",
    "view.find_key",
    "view.snapshot_bytes",
    "view.copy",
    "view.apply_day",
    "view.apply_members",
    "view.members_bytes",
    "view.majority",
    "view.next_members",
    "view.confirm_answer",
    "shares.reserve",
    "shares.tick",
    "shares.configure",
    "shares.report_bytes",
    "shares.compose",
    "shares.reserve_by_members",
    "shares.borrow_by_members",
    "shares.tick_by_members",
    "shares.configure_by_members",
    "shares.report_bytes_by_homes",
    "shares.lend",
    "permits.acquire",
    "permits.acquire_first",
    "permits.acquire_all",
    "permits.configure",
    "permits.heard",
    "permits.report_bytes",
    "permits.compose",
    "permits.acquire_by_members",
    "permits.acquire_all_by_members",
    "permits.acquire_first_by_lists",
    "planner.step_idle",
    "planner.report",
    "planner.set_listed",
    "planner.set_sheet",
    "planner.adopt",
    "planner.table",
    "planner.step_wake",
    "planner.step_silent",
    "planner.step_full_new",
    "planner.step_full",
    "planner.step_waiting",
    "planner.step_by_adapters",
    "planner.step_by_models",
    "table.bytes_by_adapters",
    "table.bytes_by_upstreams",
    "table.index",
    "table.read",
    "demand.by_routers",
    "demand.by_streams",
    "demand.bytes",
    "wakes.transactions",
    "wakes.rows_written",
    "wakes.row_bytes",
    "wakes.orders",
    "wakes.table_versions",
    "wakes.demand_reports",
    "wakes.loaded_rows",
    "routing.choose",
    "routing.choose_by_upstreams",
    "routing.choose_none",
    "routing.choose_own",
    "routing.sent_ended",
    "routing.push_next",
    "routing.next_blocked",
    "routing.refuse_hopeless",
    "routing.demand",
    "sheet.bytes",
    "sheet.read",
    "vms.bytes",
    "vms.read",
    "engine.report_bytes",
    "engine.report_read",
    "call.micros",
    "call.wire_bytes",
    "call.borrow_micros",
    "memory.view_keys",
    "memory.view_members",
    "memory.view_changes",
    "memory.view_restarts",
    "memory.shares_teams",
    "memory.permits_upstreams",
    "memory.permits_members",
    "memory.permits_hints",
    "memory.sheet_adapters",
    "memory.table_adapters",
    "memory.planner_upstreams",
    "memory.planner_adapters",
    "memory.planner_routers",
    "memory.choice_upstreams",
];

fn report(arguments: &[&str]) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_cowslip-capacity")).args(arguments).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).unwrap()
}

fn points(report: &Value, name: &str) -> Value {
    let slopes = report["slopes"].as_array().unwrap();
    slopes.iter().find(|row| row["name"] == name).map(|row| row["points"].clone()).unwrap()
}

/// Guards against rows that are dropped, renamed or measured as NaN or infinite, which JSON represents as
/// null.
#[test]
fn quick_run_has_every_row() {
    let report = report(&["--quick", "--json", "--seed", "3"]);
    assert_eq!(report["seed"], 3);
    let slopes = report["slopes"].as_array().unwrap();
    let names: Vec<&str> = slopes.iter().filter_map(|row| row["name"].as_str()).collect();
    assert_eq!(names, ROWS);
    for row in slopes {
        let points = row["points"].as_array().unwrap();
        assert!(!points.is_empty(), "{row} has no points");
        assert!(points.iter().all(|point| point["value"].is_number()), "{row}");
        assert!(row["fit"]["slope"].is_number() && row["at_target"].is_number(), "{row}");
    }
    let counts = report["counts"].as_array().unwrap();
    assert!(counts.iter().all(|row| row["value"].as_f64().is_some_and(|value| value > 0.0)), "{counts:?}");
}

/// Guards against counts that depend on time or on an unseeded draw; docs/CAPACITY.md states that they are
/// reproducible.
#[test]
fn counts_and_sizes_are_reproducible() {
    let arguments = ["--quick", "--json", "--seed", "5", "--part", "wakes", "--part", "sheet"];
    let (first, second) = (report(&arguments), report(&arguments));
    for name in ["wakes.transactions", "wakes.table_versions", "wakes.demand_reports", "sheet.bytes"] {
        assert_eq!(points(&first, name), points(&second, name), "{name}");
    }
}
