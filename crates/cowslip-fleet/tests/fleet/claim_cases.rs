//! Claims and reports with single faults.

use cowslip_fleet::{
    AnswerBody, ClaimKey, ClaimRow, ClaimState, ClaimStep, ClaimTable, FleetView, ReportRow, ReportState,
    ReportStep, ReportTable, StoredAnswer, report_key,
};
use cowslip_messages::{AttemptStatus, ClaimStatusRequest, FleetChange};
use cowslip_platform::PlatformError;
use cowslip_units::{InvariantName, ReportId, UpstreamId, drain_violations};
use rstest::rstest;

use crate::fake_table::FakeTable;
use crate::fixtures::{at, attempt, members, node, record, team};

fn lost() -> PlatformError {
    PlatformError::InDoubt("lost".into())
}

fn key() -> ClaimKey {
    ClaimKey::new(Some(&team("t")), &"orders".parse().unwrap(), "k1")
}

fn answer() -> StoredAnswer {
    StoredAnswer { status: 201, headers: Vec::new(), body: AnswerBody::Text("order 7".into()) }
}

/// Carries out store steps without faults.
fn drive_at(
    now: u64,
    claims: &mut ClaimTable,
    name: &str,
    mut step: ClaimStep,
    table: &mut FakeTable,
) -> ClaimStep {
    for _ in 0..20 {
        step = match step {
            ClaimStep::Commit(transaction) | ClaimStep::Takeover(transaction) => {
                let outcome = table.commit(&transaction);
                claims.commit_answered(&attempt(name), &Ok(outcome), at(now))
            }
            ClaimStep::Read(key) => claims.read_answered(&attempt(name), &Ok(table.read(&key)), at(now)),
            ended => return ended,
        };
    }
    panic!("the attempt has not ended after 20 steps");
}

fn drive(claims: &mut ClaimTable, name: &str, step: ClaimStep, table: &mut FakeTable) -> ClaimStep {
    drive_at(0, claims, name, step, table)
}

/// Does all background work that is due.
fn settle(now: u64, claims: &mut ClaimTable, table: &mut FakeTable) {
    while let Some((name, step)) = claims.next_background(at(now)) {
        assert_eq!(drive_at(now, claims, name.as_str(), step, table), ClaimStep::Ended);
    }
}

fn begin(claims: &mut ClaimTable, name: &str, table: &mut FakeTable) -> ClaimStep {
    let step = claims.begin(attempt(name), key(), "body".into(), at(0));
    drive(claims, name, step, table)
}

/// Teams and routes with slashes in their names must not share rows.
#[test]
fn claim_keys_are_unambiguous() {
    let one = ClaimKey::new(Some(&team("a/b")), &"c".parse().unwrap(), "k");
    let other = ClaimKey::new(Some(&team("a")), &"b/c".parse().unwrap(), "k");
    assert_ne!(one, other);
    assert_eq!(key().as_str(), "claim/t/orders/k1");
}

#[test]
fn a_claim_is_dispatched_once_and_replayed() {
    let (mut one, mut other) = (ClaimTable::new(node("vm1:1")), ClaimTable::new(node("vm2:1")));
    let mut table = FakeTable::default();
    assert_eq!(begin(&mut one, "a1", &mut table), ClaimStep::Dispatch);
    assert!(one.start_dispatch(&attempt("a1")));
    let status_request = ClaimStatusRequest { owner: node("vm1:1"), attempt: attempt("a1") };
    assert_eq!(begin(&mut other, "a2", &mut table), ClaimStep::Ask(status_request.clone()));
    assert_eq!(one.attempt_status(&status_request), AttemptStatus::Running);
    let step = one.answered(&attempt("a1"), answer(), at(0));
    assert_eq!(drive(&mut one, "a1", step, &mut table), ClaimStep::Replay(answer()));
    assert_eq!(begin(&mut other, "a3", &mut table), ClaimStep::Replay(answer()));
    let step = other.begin(attempt("a4"), key(), "another body".into(), at(0));
    assert_eq!(drive(&mut other, "a4", step, &mut table), ClaimStep::Reused);
    assert_eq!(drain_violations(), []);
}

#[test]
fn a_second_dispatch_is_refused_and_recorded() {
    let (mut claims, mut table) = (ClaimTable::new(node("vm1:1")), FakeTable::default());
    begin(&mut claims, "a1", &mut table);
    assert!(claims.start_dispatch(&attempt("a1")) && !claims.start_dispatch(&attempt("a1")));
    assert_eq!(drain_violations()[0].invariant, InvariantName::RunsOnce);
}

/// A claim in doubt must not be dispatched before the row is known to contain the attempt.
#[rstest]
#[case::took_effect(true)]
#[case::was_lost(false)]
fn a_claim_in_doubt_is_read_back(#[case] took_effect: bool) {
    let (mut claims, mut table) = (ClaimTable::new(node("vm1:1")), FakeTable::default());
    let ClaimStep::Commit(transaction) = claims.begin(attempt("a1"), key(), "body".into(), at(0)) else {
        panic!("no commit")
    };
    if took_effect {
        table.commit(&transaction);
    }
    assert!(matches!(claims.commit_answered(&attempt("a1"), &Err(lost()), at(0)), ClaimStep::Wait(_)));
    assert!(!claims.start_dispatch(&attempt("a1")));
    let step = claims.poll(&attempt("a1"), at(100));
    assert!(matches!(step, ClaimStep::Read(_)));
    assert_eq!(drive(&mut claims, "a1", step, &mut table), ClaimStep::Dispatch);
}

/// A late write of an abandoned attempt is deleted, and until then another router may take the claim over.
#[test]
fn an_abandoned_claim_is_released() {
    let (mut one, mut other) = (ClaimTable::new(node("vm1:1")), ClaimTable::new(node("vm2:1")));
    let mut table = FakeTable::default();
    let ClaimStep::Commit(late) = one.begin(attempt("a1"), key(), "body".into(), at(0)) else {
        panic!("no commit")
    };
    one.commit_answered(&attempt("a1"), &Err(lost()), at(0));
    assert_eq!(one.abandon(&attempt("a1"), at(0)), ClaimStep::NotRun);
    assert!(!one.start_dispatch(&attempt("a1")));
    settle(0, &mut one, &mut table);
    table.commit(&late);
    let status_request = ClaimStatusRequest { owner: node("vm1:1"), attempt: attempt("a1") };
    assert_eq!(begin(&mut other, "a2", &mut table), ClaimStep::Ask(status_request.clone()));
    let takeover = other.owner_answered(&attempt("a2"), Some(one.attempt_status(&status_request)), at(0));
    assert!(matches!(takeover, ClaimStep::Takeover(_)));
    // The owner deletes the row between the answer and the takeover.
    settle(5_000, &mut one, &mut table);
    assert_eq!(table.read(key().as_str()), None);
    assert_eq!(drive(&mut other, "a2", takeover, &mut table), ClaimStep::Dispatch);
    // The owner's later polls do not touch the other attempt's row.
    settle(700_000, &mut one, &mut table);
    assert_eq!(table.parsed::<ClaimRow>(key().as_str()).unwrap().attempt, attempt("a2"));
    assert!(one.is_empty(), "a released attempt must be removed eventually");
}

/// Guards against a row that is never deleted when the deadline passes during the write and its answer never
/// arrives.
#[test]
fn a_claim_abandoned_during_its_write_is_released() {
    let (mut claims, mut table) = (ClaimTable::new(node("vm1:1")), FakeTable::default());
    let ClaimStep::Commit(late) = claims.begin(attempt("a1"), key(), "body".into(), at(0)) else {
        panic!("no commit")
    };
    assert_eq!(claims.abandon(&attempt("a1"), at(0)), ClaimStep::NotRun);
    settle(0, &mut claims, &mut table);
    table.commit(&late);
    settle(5_000, &mut claims, &mut table);
    assert_eq!(table.read(key().as_str()), None);
}

/// What a second sender receives for each status reported by the owner.
#[rstest]
#[case::silent(None, "wait")]
#[case::running(Some(AttemptStatus::Running), "wait")]
#[case::unknown(Some(AttemptStatus::OutcomeUnknown), "unknown")]
#[case::gone(Some(AttemptStatus::NotKnown), "unknown")]
#[case::abandoned(Some(AttemptStatus::GivenUp), "dispatch")]
fn a_second_sender_follows_the_owner(#[case] attempt_status: Option<AttemptStatus>, #[case] outcome: &str) {
    let (mut one, mut other) = (ClaimTable::new(node("vm1:1")), ClaimTable::new(node("vm2:1")));
    let mut table = FakeTable::default();
    begin(&mut one, "a1", &mut table);
    begin(&mut other, "a2", &mut table);
    let step = other.owner_answered(&attempt("a2"), attempt_status, at(0));
    let seen = match drive(&mut other, "a2", step, &mut table) {
        ClaimStep::Wait(_) => "wait",
        ClaimStep::Unknown => "unknown",
        ClaimStep::Dispatch => "dispatch",
        step => panic!("unexpected {step:?}"),
    };
    assert_eq!(seen, outcome);
    if outcome == "wait" {
        assert_eq!(other.abandon(&attempt("a2"), at(0)), ClaimStep::Unknown, "the first attempt may run");
    }
}

/// The owner stored its answer and removed the attempt after the second sender read the row.
#[test]
fn an_owner_without_a_record_is_checked_against_the_row() {
    let (mut one, mut other) = (ClaimTable::new(node("vm1:1")), ClaimTable::new(node("vm2:1")));
    let mut table = FakeTable::default();
    begin(&mut one, "a1", &mut table);
    begin(&mut other, "a2", &mut table);
    one.start_dispatch(&attempt("a1"));
    let step = one.answered(&attempt("a1"), answer(), at(0));
    drive(&mut one, "a1", step, &mut table);
    let step = other.owner_answered(&attempt("a2"), Some(AttemptStatus::NotKnown), at(0));
    assert_eq!(drive(&mut other, "a2", step, &mut table), ClaimStep::Replay(answer()));
}

/// The caller's answer and the final row when the attempt ends early.
#[rstest]
#[case::rejected_unrun("refuse", ClaimStep::NotRun, None)]
#[case::upstream_failed("fail", ClaimStep::Unknown, Some(ClaimState::Unknown))]
#[case::answer_not_stored("answer", ClaimStep::Replay(answer()), Some(ClaimState::Done(answer())))]
#[case::deadline("deadline", ClaimStep::Unknown, Some(ClaimState::Unknown))]
fn an_ended_attempt_reports_its_true_outcome(
    #[case] end: &str,
    #[case] returned: ClaimStep,
    #[case] row: Option<ClaimState>,
) {
    let (mut claims, mut table) = (ClaimTable::new(node("vm1:1")), FakeTable::default());
    begin(&mut claims, "a1", &mut table);
    claims.start_dispatch(&attempt("a1"));
    match end {
        "refuse" => assert_eq!(claims.rejected_unrun(&attempt("a1"), at(0)), returned),
        "fail" => drop(claims.failed(&attempt("a1"), at(0))),
        "answer" => drop(claims.answered(&attempt("a1"), answer(), at(0))),
        _ => {}
    }
    if end == "fail" || end == "answer" {
        claims.commit_answered(&attempt("a1"), &Err(lost()), at(0));
    }
    assert_eq!(claims.abandon(&attempt("a1"), at(0)), returned);
    settle(9_000, &mut claims, &mut table);
    assert_eq!(table.parsed::<ClaimRow>(key().as_str()).map(|row| row.state), row);
    assert!(claims.is_empty());
}

fn report() -> ReportId {
    "r1".parse().unwrap()
}

fn report_row(owner: &str) -> ReportRow {
    ReportRow {
        team: team("t"),
        model: "m".parse().unwrap(),
        body: "report/r1/body".into(),
        owner: Some(node(owner)),
        attempt: attempt(&format!("at-{owner}")),
        state: ReportState::Accepted,
        ended_upstreams: Vec::new(),
    }
}

fn drive_report(reports: &mut ReportTable, mut step: ReportStep, table: &mut FakeTable) -> ReportStep {
    for _ in 0..20 {
        step = match step {
            ReportStep::Commit(transaction) => {
                let outcome = table.commit(&transaction);
                reports.commit_answered(&report(), &Ok(outcome))
            }
            ReportStep::Read(key) => reports.read_answered(&report(), &Ok(table.read(&key))),
            ended => return ended,
        };
    }
    panic!("the report has not ended after 20 steps");
}

fn accepted(owner: &str, table: &mut FakeTable) -> ReportTable {
    let mut reports = ReportTable::new(node(owner));
    let step = reports.accept(report(), report_row(owner));
    assert_eq!(drive_report(&mut reports, step, table), ReportStep::Accepted);
    reports
}

fn view(names: &[&str]) -> FleetView {
    let mut view = FleetView::new();
    let change: FleetChange = members(names);
    view.apply(&record(1, change));
    view
}

/// A report must be durable before it is accepted, and a write in doubt must not create it twice.
#[rstest]
#[case::took_effect(true)]
#[case::was_lost(false)]
fn an_acceptance_in_doubt_is_read_back(#[case] took_effect: bool) {
    let (mut reports, mut table) = (ReportTable::new(node("vm1:1")), FakeTable::default());
    let ReportStep::Commit(transaction) = reports.accept(report(), report_row("vm1:1")) else {
        panic!("no commit")
    };
    if took_effect {
        table.commit(&transaction);
    }
    assert!(matches!(reports.commit_answered(&report(), &Err(lost())), ReportStep::Wait(_)));
    let step = reports.poll(&report());
    assert_eq!(drive_report(&mut reports, step, &mut table), ReportStep::Accepted);
}

#[rstest]
#[case::owner_is_member(&["vm1:1", "vm2:1"], false)]
#[case::owner_has_left(&["vm2:1"], true)]
fn reports_of_members_that_left_are_taken_over(#[case] names: &[&str], #[case] taken: bool) {
    let mut table = FakeTable::default();
    let mut first = accepted("vm1:1", &mut table);
    let mut second = ReportTable::new(node("vm2:1"));
    let found = table.read(&report_key(&report())).unwrap();
    let step = second.take_over(report(), &found, attempt("b1"), &view(names));
    assert_eq!(step.is_some(), taken);
    if let Some(step) = step {
        assert_eq!(drive_report(&mut second, step, &mut table), ReportStep::Run);
        // One result is kept: the first owner returns with its own.
        let step = first.complete(&report(), ReportState::Done("old".into()));
        assert_eq!(drive_report(&mut first, step, &mut table), ReportStep::Superseded);
        let step = second.complete(&report(), ReportState::Done("new".into()));
        assert_eq!(drive_report(&mut second, step, &mut table), ReportStep::Stored);
        let row: ReportRow = table.parsed(&report_key(&report())).unwrap();
        assert_eq!(row.state, ReportState::Done("new".into()));
    }
}

#[test]
fn a_planned_stop_releases_reports() {
    let mut table = FakeTable::default();
    let mut first = accepted("vm1:1", &mut table);
    let ended: [UpstreamId; 2] = ["e1".parse().unwrap(), "e2".parse().unwrap()];
    let step = first.abandon(&report(), &ended);
    assert_eq!(drive_report(&mut first, step, &mut table), ReportStep::Stored);
    let found = table.read(&report_key(&report())).unwrap();
    let mut second = ReportTable::new(node("vm2:1"));
    let step = second.take_over(report(), &found, attempt("b1"), &view(&["vm1:1", "vm2:1"])).unwrap();
    assert_eq!(drive_report(&mut second, step, &mut table), ReportStep::Run);
    let row: ReportRow = serde_json::from_str(&table.read(&report_key(&report())).unwrap().value).unwrap();
    assert_eq!(row.ended_upstreams, ended, "the next owner knows of the upstreams that ended");
}

/// Guards against a row of an earlier version that a router cannot read.
#[test]
fn a_row_without_ended_upstreams_is_read() {
    let mut row = serde_json::to_value(report_row("vm1:1")).unwrap();
    row.as_object_mut().unwrap().remove("ended_upstreams");
    let read: ReportRow = serde_json::from_value(row).unwrap();
    assert_eq!(read, report_row("vm1:1"));
}

/// Only the report's own team may cancel it, and a cancelled report keeps no result.
#[rstest]
#[case::own_team("t", true)]
#[case::other_team("u", false)]
fn a_team_cancels_its_own_report(#[case] by: &str, #[case] cancelled: bool) {
    let mut table = FakeTable::default();
    let mut reports = accepted("vm1:1", &mut table);
    let found = table.read(&report_key(&report())).unwrap();
    let transaction = ReportTable::cancel(&report(), &found, &team(by));
    assert_eq!(transaction.is_some(), cancelled);
    table.commit(&transaction.unwrap_or_default());
    let step = reports.complete(&report(), ReportState::Done("late".into()));
    let expected = if cancelled { ReportStep::Superseded } else { ReportStep::Stored };
    assert_eq!(drive_report(&mut reports, step, &mut table), expected);
}
