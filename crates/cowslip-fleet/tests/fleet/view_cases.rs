//! View, confirmation, handoff gate and change commit with single faults.

use cowslip_fleet::{
    ApplyOutcome, ChangeFault, CommitProtocol, CommitStep, ConfirmOutcome, FleetView, HANDOFF_DELAY_MS,
    HEAD_KEY, HandoffGate, SNAPSHOT_KEY, VIEW_WINDOW_MS, VersionTracker, ViewConfirmation,
    next_member_change, snapshot_transaction,
};
use cowslip_messages::{ConfirmReply, FleetChange, KeyState, ViewSnapshot};
use cowslip_platform::PlatformError;
use cowslip_units::{InvariantName, ViewVersion, drain_violations};
use rstest::rstest;

use crate::fake_table::FakeTable;
use crate::fixtures::{at, change_id, digest, drifting, members, node, record, team};

fn sheet(digest: &str) -> FleetChange {
    FleetChange::SheetApplied { digest: digest.into() }
}

fn given(number: u8, to: &str) -> FleetChange {
    FleetChange::KeyGiven { digest: digest(number), team: team(to) }
}

fn withdrawn(number: u8) -> FleetChange {
    FleetChange::KeyWithdrawn { digest: digest(number) }
}

fn view_of(changes: Vec<FleetChange>) -> FleetView {
    let mut view = FleetView::new();
    for (version, change) in (1..).zip(changes) {
        assert_eq!(view.apply(&record(version, change)), ApplyOutcome::Applied);
    }
    view
}

#[rstest]
#[case::next(3, ApplyOutcome::Applied)]
#[case::known(2, ApplyOutcome::AlreadyApplied)]
#[case::later(4, ApplyOutcome::Gap)]
fn only_the_next_change_is_applied(#[case] version: u64, #[case] outcome: ApplyOutcome) {
    let mut view = view_of(vec![given(1, "t"), withdrawn(1)]);
    let change = if version == 2 { withdrawn(1) } else { given(2, "t") };
    assert_eq!(view.apply(&record(version, change)), outcome);
    assert_eq!(view.version().get(), if outcome == ApplyOutcome::Applied { 3 } else { 2 });
    assert_eq!(drain_violations(), []);
}

#[test]
fn another_change_at_a_known_version_is_a_violation() {
    let mut view = view_of(vec![given(1, "t"), withdrawn(1)]);
    assert_eq!(view.apply(&record(2, given(2, "t"))), ApplyOutcome::AlreadyApplied);
    assert_eq!(
        view.adopt(ViewSnapshot { version: view.version(), ..ViewSnapshot::default() }),
        ApplyOutcome::AlreadyApplied
    );
    let promises: Vec<_> = drain_violations().into_iter().map(|violation| violation.invariant).collect();
    assert_eq!(promises, [InvariantName::ConfigOrdered; 2]);
}

/// A key that is given again must stay withdrawn.
#[test]
fn a_withdrawn_key_stays_withdrawn() {
    let view = view_of(vec![given(1, "t"), withdrawn(1), given(1, "t")]);
    assert_eq!(view.key(&digest(1)).map(|key| key.state), Some(KeyState::Withdrawn));
}

#[test]
fn a_snapshot_and_the_changes_after_it_make_the_same_view() {
    let changes = vec![members(&["a", "b"]), given(1, "t"), sheet("s"), withdrawn(1)];
    let whole = view_of(changes.clone());
    let mut view = FleetView::from_snapshot(view_of(changes[..2].to_vec()).to_snapshot());
    for change in whole.changes_since(ViewVersion::new(2)).unwrap() {
        view.apply(&change);
    }
    assert_eq!(view.to_snapshot(), whole.to_snapshot());
    assert_eq!(view.changes_since(ViewVersion::new(1)), None, "changes before the snapshot are not kept");
}

#[test]
fn the_snapshot_row_is_written_after_64_changes() {
    let mut table = FakeTable::default();
    let mut view = view_of(vec![given(0, "t"); 64]);
    table.commit(&snapshot_transaction(&view, None).unwrap());
    assert_eq!(snapshot_transaction(&view, table.read(SNAPSHOT_KEY).as_ref()), None);
    for version in 65..=128 {
        view.apply(&record(version, given(0, "t")));
    }
    let transaction = snapshot_transaction(&view, table.read(SNAPSHOT_KEY).as_ref()).unwrap();
    assert!(table.commit(&transaction).committed);
}

#[rstest]
#[case::edge_of_window(3_000, true, false)]
#[case::stale(3_001, false, false)]
#[case::edge_of_streams(4_000, false, false)]
#[case::streams_end(4_001, false, true)]
fn a_store_read_confirms_from_its_send(#[case] age: u64, #[case] can_admit: bool, #[case] ends: bool) {
    let view = view_of(vec![given(1, "t")]);
    let mut confirmation = ViewConfirmation::new(node("a"));
    assert!(confirmation.is_past_stream_end(at(0)) && !confirmation.can_admit(at(0)));
    let ticket = confirmation.ticket(&view, at(1_000));
    assert_eq!(confirmation.store_answered(ticket, view.version(), &view), ConfirmOutcome::Current);
    let now = at(1_000 + age);
    assert_eq!((confirmation.can_admit(now), confirmation.is_past_stream_end(now)), (can_admit, ends));
    assert_eq!(confirmation.age_ms(now), Some(age));
    assert!(!confirmation.is_degraded(now));
}

/// A stale read of the store must not confirm; a newer head confirms once its changes are applied.
#[test]
fn a_head_confirms_only_with_its_changes() {
    let mut view = view_of(vec![given(1, "t"), given(2, "t")]);
    let mut confirmation = ViewConfirmation::new(node("a"));
    let ticket = confirmation.ticket(&view, at(100));
    assert_eq!(confirmation.store_answered(ticket, ViewVersion::new(1), &view), ConfirmOutcome::Ignored);
    let head = ViewVersion::new(3);
    assert_eq!(confirmation.store_answered(ticket, head, &view), ConfirmOutcome::Fetch(head));
    assert!(!confirmation.can_admit(at(200)));
    view.apply(&record(3, withdrawn(1)));
    confirmation.view_changed(&view, at(300));
    assert_eq!(confirmation.age_ms(at(300)), Some(200));
}

fn reply(from: &str, version: u64, age_ms: Option<u64>) -> ConfirmReply {
    ConfirmReply { incarnation: node(from), version: ViewVersion::new(version), age_ms }
}

/// Answers of peers (name, version, age), sent at 1,000 ms, to a member of `a`..`e` at version 1.
#[rstest]
#[case::age_counts(&[("b", 1, Some(700))], Some(1_000), false)]
#[case::no_majority(&[("b", 1, None)], None, false)]
#[case::majority(&[("b", 1, None), ("c", 1, None)], Some(300), true)]
#[case::one_knows_more(&[("d", 2, None), ("b", 1, None), ("c", 1, None)], None, false)]
#[case::older_version_counts(&[("b", 0, None), ("c", 1, None)], Some(300), true)]
#[case::not_a_member(&[("b", 1, None), ("x", 1, None)], None, false)]
#[case::same_peer_twice(&[("b", 1, None), ("b", 1, None)], None, false)]
fn peers_confirm(
    #[case] answers: &[(&str, u64, Option<u64>)],
    #[case] age: Option<u64>,
    #[case] degraded: bool,
) {
    let view = view_of(vec![members(&["a", "b", "c", "d", "e"])]);
    let mut confirmation = ViewConfirmation::new(node("a"));
    let ticket = confirmation.ticket(&view, at(1_000));
    for (from, version, age_ms) in answers {
        confirmation.peer_answered(ticket, &reply(from, *version, *age_ms), &view, at(1_300));
    }
    let now = at(1_300);
    assert_eq!((confirmation.age_ms(now), confirmation.is_degraded(now)), (age, degraded));
    // A degraded confirmation that is passed on would look like a confirmation by the store.
    assert_eq!(confirmation.reply(&view, now).age_ms, age.filter(|_| !degraded).map(|age| age + 1));
}

#[test]
fn a_gain_waits_for_a_majority_and_the_window() {
    let view = view_of(vec![members(&["a", "b", "c"])]);
    let mut tracker = VersionTracker::new(node("a"), &view);
    let mut gate = HandoffGate::new(view.version(), at(0));
    gate.observe(&tracker, at(100));
    assert_eq!(gate.usable_from(), None);
    tracker.on_report(&node("x"), view.version());
    gate.observe(&tracker, at(200));
    assert_eq!(gate.majority_seen_at(), None, "a process that is not a member does not count");
    tracker.on_report(&node("b"), view.version());
    gate.observe(&tracker, at(300));
    assert!(!gate.is_open(at(300 + HANDOFF_DELAY_MS - 1)) && gate.is_open(at(300 + HANDOFF_DELAY_MS)));
    assert_eq!(tracker.pending(view.version()), [node("c")]);
}

/// A gaining member's fast clock must not end the delay before a losing member's slow clock ends its view
/// window.
#[rstest]
#[case::window_and_two_percent(3_060, false)]
#[case::handoff_delay(HANDOFF_DELAY_MS, true)]
fn the_handoff_delay_covers_drift(#[case] wait: u64, #[case] covered: bool) {
    let starts = [0, 33, 77, 99];
    let ends = starts.map(|start| {
        let loser = |real| drifting(real, 0, 9_900).since_ms(drifting(start, 0, 9_900));
        let gainer = |real| drifting(real, 0, 10_100).since_ms(drifting(start, 0, 10_100));
        let lost = (start..).take_while(|real| loser(*real) <= VIEW_WINDOW_MS).last();
        lost < (start..).find(|real| gainer(*real) >= wait)
    });
    assert_eq!(ends, [covered; 4]);
}

/// Members that are certain to have ended must not block acceptance forever.
#[test]
fn ended_members_count_as_having_the_change() {
    let view = view_of(vec![members(&["a", "b", "c", "d", "e"])]);
    let mut tracker = VersionTracker::new(node("a"), &view);
    tracker.ended(&node("b"));
    tracker.ended(&node("c"));
    assert!(tracker.has_majority(view.version()));
}

/// With steps of two, a majority of the old list and one of the new list need not intersect.
#[rstest]
#[case::removal_first(&["a", "b", "d", "e"], &["a", "b"])]
#[case::addition(&["a", "b", "c", "d"], &["a", "b", "c", "d"])]
#[case::all_replaced(&["x", "y"], &["b", "c"])]
fn members_change_one_at_a_time(#[case] wanted: &[&str], #[case] next: &[&str]) {
    let view = view_of(vec![members(&["a", "b", "c"])]);
    let FleetChange::MembersSet { members: wanted } = members(wanted) else { return };
    let mut tracker = VersionTracker::new(node("a"), &view);
    assert_eq!(next_member_change(&view, &wanted, &tracker), None, "the last change is not accepted yet");
    tracker.on_report(&node("b"), view.version());
    assert_eq!(next_member_change(&view, &wanted, &tracker), Some(members(next)));
}

/// Carries out steps without faults.
fn drive(log: &mut CommitProtocol, view: &mut FleetView, table: &mut FakeTable) -> CommitStep {
    for _ in 0..20 {
        match log.next(view) {
            CommitStep::ReadApplied(key) => log.applied_answered(table.read(&key).as_ref()),
            CommitStep::ReadHead => log.head_answered(table.read(HEAD_KEY).as_ref()),
            CommitStep::CatchUp(version) => {
                let versions = view.version().get() + 1..=version.get();
                versions.for_each(|version| {
                    let key = cowslip_fleet::change_key(ViewVersion::new(version));
                    view.apply(&table.parsed(&key).unwrap());
                });
            }
            CommitStep::Commit(transaction) => {
                let outcome = table.commit(&transaction);
                log.commit_answered(&Ok(outcome));
            }
            ended => return ended,
        }
    }
    panic!("the change has not ended after 20 steps");
}

fn log(id: &str, change: FleetChange) -> CommitProtocol {
    CommitProtocol::new(change_id(id), "operator".into(), change)
}

#[rstest]
#[case::same_sheet(sheet("s1"), None, CommitStep::Unchanged(ViewVersion::new(4)))]
#[case::same_sheet_on_old_base(sheet("s1"), Some(9), CommitStep::Unchanged(ViewVersion::new(4)))]
#[case::right_base(sheet("s2"), Some(3), CommitStep::Done(ViewVersion::new(5)))]
#[case::conflicting_base(sheet("s2"), Some(1), CommitStep::Conflict(ViewVersion::new(3)))]
#[case::any_base(sheet("s2"), None, CommitStep::Done(ViewVersion::new(5)))]
#[case::key_again(given(1, "t"), None, CommitStep::Unchanged(ViewVersion::new(4)))]
#[case::key_of_other_team(given(1, "u"), None, CommitStep::Refused(ChangeFault::KeyOfOtherTeam))]
#[case::unknown_key(withdrawn(7), None, CommitStep::Refused(ChangeFault::KeyUnknown))]
#[case::domain_in_already(
    FleetChange::DomainSwitched { domain: "d".parse().unwrap(), out: false },
    None,
    CommitStep::Unchanged(ViewVersion::new(4))
)]
#[case::two_members(members(&["a", "x", "y"]), None, CommitStep::Refused(ChangeFault::MembersStep))]
fn changes_are_validated_at_the_head(
    #[case] change: FleetChange,
    #[case] base: Option<u64>,
    #[case] ended: CommitStep,
) {
    let (mut view, mut table) = (FleetView::new(), FakeTable::default());
    let before = [members(&["a", "b", "c"]), given(1, "t"), sheet("s1"), given(2, "t")];
    for (number, change) in before.into_iter().enumerate() {
        drive(&mut log(&number.to_string(), change), &mut view, &mut table);
    }
    let mut change = log("x", change).with_base(base.map(ViewVersion::new));
    assert_eq!(drive(&mut change, &mut view, &mut table), ended);
    assert_eq!(drive(&mut change, &mut view, &mut table), ended, "an ended change stays ended");
}

/// Both operators base their sheet on the same one; exactly one of them must get a conflict.
#[test]
fn one_of_two_racing_operators_gets_a_conflict() {
    let mut table = FakeTable::default();
    let (mut one_view, mut other_view) = (FleetView::new(), FleetView::new());
    drive(&mut log("0", sheet("s0")), &mut one_view, &mut table);
    let base = Some(ViewVersion::new(1));
    let mut one = log("1", sheet("s1")).with_base(base);
    let mut other = log("2", sheet("s2")).with_base(base);
    one.next(&one_view);
    one.head_answered(table.read(HEAD_KEY).as_ref());
    one_view.apply(&record(1, sheet("s0")));
    let CommitStep::Commit(transaction) = one.next(&one_view) else { panic!("no commit") };
    assert_eq!(drive(&mut other, &mut other_view, &mut table), CommitStep::Done(ViewVersion::new(2)));
    let outcome = table.commit(&transaction);
    one.commit_answered(&Ok(outcome));
    let mut fresh_view = FleetView::new();
    assert_eq!(drive(&mut one, &mut fresh_view, &mut table), CommitStep::Conflict(ViewVersion::new(2)));
}

/// The author of a change that took effect must not get a conflict with its own or a later sheet.
#[rstest]
#[case::took_effect(true, CommitStep::Done(ViewVersion::new(1)))]
#[case::was_lost(false, CommitStep::Done(ViewVersion::new(2)))]
fn a_write_in_doubt_is_read_back(#[case] took_effect: bool, #[case] ended: CommitStep) {
    let (mut view, mut table) = (FleetView::new(), FakeTable::default());
    let mut change = log("1", sheet("s1"));
    change.next(&view);
    change.head_answered(None);
    let CommitStep::Commit(transaction) = change.next(&view) else { panic!("no commit") };
    if took_effect {
        table.commit(&transaction);
    }
    change.commit_answered(&Err(PlatformError::InDoubt("lost".into())));
    drive(&mut log("2", sheet("s2")), &mut FleetView::new(), &mut table);
    assert_eq!(drive(&mut change, &mut view, &mut table), ended);
    let again = drive(&mut log("1", sheet("s1")).with_base(Some(ViewVersion::new(9))), &mut view, &mut table);
    assert_eq!(again, ended, "the same change sent again has the same result");
    assert!(!table.commit(&transaction).committed, "the late write must not take effect a second time");
}

/// A former leader's change must not be committed.
#[test]
fn a_failed_fence_ends_the_change() {
    let (view, mut table) = (FleetView::new(), FakeTable::default());
    table.commit(&cowslip_platform::TableTransaction::new().with_put("lease/epoch/2", "b".into()));
    let mut change = log("1", members(&["a"]));
    change.next(&view);
    change.head_answered(None);
    let CommitStep::Commit(transaction) = change.next(&view) else { panic!("no commit") };
    let outcome = table.commit(&transaction.with_absent("lease/epoch/2"));
    change.commit_answered(&Ok(outcome));
    assert_eq!(change.next(&view), CommitStep::Fenced);
}
