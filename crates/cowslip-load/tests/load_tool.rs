//! Tests of the load tool's verification: accepting wrong responses or miscounting would hide faults.

#![allow(clippy::unwrap_used)]

use std::path::PathBuf;

use cowslip_config::FleetSheet;
use cowslip_load::{
    EventReader, JournalCheck, JournalFault, LoadOptions, LoadPlan, RateAccount, TeamTarget, expected_text,
    load_command,
};
use cowslip_units::{ClockTime, ModelId, TokenCount, TokenRate};
use rstest::rstest;

fn options(extra: &[&str]) -> LoadOptions {
    let base = ["cowslip-load", "--urls", "127.0.0.1:1,127.0.0.1:2", "--keys", "a=x,b=y", "--sheet", "s.csv"];
    let arguments: Vec<&str> = base.iter().chain(extra).copied().collect();
    LoadOptions::new(&load_command().try_get_matches_from(arguments).unwrap()).unwrap()
}

#[test]
fn command_line_is_parsed() {
    let options = options(&["--seed", "7", "--hot-team", "b", "--json"]);
    assert_eq!(options.urls.len(), 2);
    assert_eq!(options.seed, 7);
    assert_eq!(options.sheet, PathBuf::from("s.csv"));
    assert!(options.json);
}

/// Guards against losing or joining events that are split over several reads.
#[rstest]
#[case(1)]
#[case(3)]
#[case(100)]
fn events_survive_any_split(#[case] size: usize) {
    let body = b"data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";
    let mut reader = EventReader::new();
    let events: Vec<String> = body.chunks(size).flat_map(|part| reader.push(part)).collect();
    assert_eq!(events, ["{\"a\":1}", "{\"b\":2}", "[DONE]"]);
}

#[test]
fn expected_text_depends_on_model_and_prompt() {
    assert_ne!(expected_text("a", "p", 2), expected_text("b", "p", 2));
    assert_ne!(expected_text("a", "p", 2), expected_text("a", "q", 2));
    assert!(expected_text("a", "p", 2).starts_with("word0-"));
}

/// Guards against counting a rejection as wrongful when the team had used up its burst.
#[test]
fn account_detects_wrongful_rejections() {
    let at = ClockTime::new;
    let mut account = RateAccount::new(TokenRate::new(10), TokenCount::new(100), at(0));
    account.take(95, at(0));
    assert!(!account.has_tokens(10, at(400)));
    assert!(account.has_tokens(10, at(500)));
    account.return_tokens(1_000, at(500));
    assert!(account.has_tokens(100, at(500)));
    assert!(!account.has_tokens(101, at(10_000)));
}

/// Guards against missing repeated executions and API keys in the journals.
#[test]
fn journal_check_finds_violations() {
    let mut check = JournalCheck::new(vec!["secret".to_owned()]);
    check.add(r#"{"requests":[{"outcome":"ran","idempotency_key":"k","headers":[["x-a","has secret"]]}]}"#);
    check.add(r#"{"requests":[{"outcome":"ran","idempotency_key":"k"},{"outcome":"refused","idempotency_key":"r"}]}"#);
    check.add("not json");
    let faults = check.faults();
    assert!(faults.contains(&JournalFault::KeySeen { header: "x-a".to_owned() }));
    assert!(faults.contains(&JournalFault::RanTwice { key: "k".to_owned(), runs: 2 }));
    assert_eq!(faults.len(), 3);
}

/// Guards against bursts to models that the rest of the plan has already loaded, which would not measure cold
/// starts.
#[test]
fn bursts_use_idle_models() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/kusweg/sheet.csv");
    let sheet = FleetSheet::from_csv(&std::fs::read_to_string(path).unwrap()).unwrap();
    let teams: Vec<String> = sheet.teams.iter().map(|row| format!("{}=key", row.team)).collect();
    let mut options = options(&["--bursts", "3", "--burst-size", "5", "--models", "4", "--drafts-only"]);
    options.keys =
        teams.iter().map(|pair| (pair.split('=').next().unwrap().parse().unwrap(), "key".into())).collect();
    let targets = TeamTarget::from_sheet(&sheet, &options);
    let plan = LoadPlan::new(&options, &targets);
    let used: Vec<&ModelId> = targets.iter().flat_map(|target| &target.models).collect();
    let burst: Vec<_> =
        plan.calls.iter().filter(|call| !used.contains(&call.model.as_ref().unwrap())).collect();
    assert_eq!(burst.len(), 15);
    assert!(burst.iter().all(|call| call.leave_after_ms.is_none()));
}
