//! Ramps, permit owners and borrowed permits with single faults.

use cowslip_config::{EngineKind, UpstreamRow};
use cowslip_fleet::{
    FleetView, HeldPermit, MemberSeeds, PermitCall, PermitMap, PermitStep, RampBudget,
    SHARE_HANDOFF_DELAY_MS, UpstreamPermits, VersionTracker,
};
use cowslip_messages::{FleetChange, PeerReport, PermitGrant};
use cowslip_units::{MemorySize, ViewVersion, drain_violations};
use rstest::rstest;

use crate::fixtures::{at, member, members, node, record, upstream};

/// Budgets of 2 fresh and 10 warm slots over 8,000 ms; 2.5% of the time since the last update is not counted.
#[rstest]
#[case::fresh(Some(0), 0, 2)]
#[case::reported_half(Some(4_000), 0, 6)]
#[case::time_passes(Some(4_000), 2_000, 7)]
#[case::over(Some(4_000), 4_200, 10)]
#[case::warm(None, 0, 10)]
fn a_budget_grows_with_the_ramp(#[case] reported: Option<u64>, #[case] after: u64, #[case] budget: u32) {
    let mut ramp = RampBudget::new(10, 2, 8_000, at(0));
    assert_eq!(ramp.budget(at(0)), 2, "without a reported age the ramp starts at zero");
    ramp.set_ramp_age(reported, at(1_000));
    assert_eq!(ramp.budget(at(1_000 + after)), budget);
    ramp.mark_fresh(at(1_000 + after));
    assert_eq!(ramp.budget(at(1_000 + after)), 2, "a restart counts before the leader reports it");
}

/// Every process must compute the same owners, and a member that leaves moves only its own permits.
#[test]
fn permits_have_one_stable_owner() {
    let names = ["vm1:1", "vm2:1", "vm3:1"];
    let entries: Vec<_> = names.iter().map(|name| member(name)).collect();
    let map = PermitMap::new(&upstream("u"), 32, &MemberSeeds::new(&entries));
    let owned: Vec<usize> = names.iter().map(|name| map.owned_by(&node(name)).len()).collect();
    assert_eq!(owned, [11, 10, 11]);
    let fewer = PermitMap::new(&upstream("u"), 32, &MemberSeeds::new(&entries[..2]));
    for permit in (0..32).filter(|permit| map.owner(*permit) != Some(&node("vm3:1"))) {
        assert_eq!(map.owner(permit), fewer.owner(permit));
    }
    assert_eq!(map.owner(32), None);
}

struct Pair {
    view: FleetView,
    nodes: [UpstreamPermits; 2],
    tracker: VersionTracker,
}

fn row() -> UpstreamRow {
    UpstreamRow {
        upstream: upstream("u"),
        domain: "d1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        engine: EngineKind::Service,
        memory: MemorySize::ZERO,
        slots: 8,
        fresh_slots: 1,
        ramp_ms: 1_000,
    }
}

/// Two members that own all 8 permits of a warm upstream between them from 10,000 ms on.
fn pair() -> Pair {
    let mut view = FleetView::new();
    view.apply(&record(1, members(&["a", "b"])));
    view.apply(&record(2, FleetChange::SheetApplied { digest: "s".into() }));
    let mut tracker = VersionTracker::new(node("a"), &view);
    tracker.on_report(&node("b"), view.version());
    let nodes = ["a", "b"].map(|name| {
        let mut permits = UpstreamPermits::new(node(name));
        permits.configure(&view, &[row()], at(0));
        permits.tick(&tracker, at(0));
        permits.tick(&tracker, at(SHARE_HANDOFF_DELAY_MS));
        permits.set_ramp_age(&upstream("u"), None, at(10_000));
        permits
    });
    Pair { view, nodes, tracker }
}

/// Acquires own permits until none is left.
fn use_up(permits: &mut UpstreamPermits, now: u64) -> (Vec<HeldPermit>, Option<PermitCall>) {
    let mut held = Vec::new();
    loop {
        match permits.acquire(&upstream("u"), at(now)) {
            PermitStep::Granted(permit) => held.push(permit),
            PermitStep::Borrow(call) => return (held, Some(call)),
            PermitStep::Full => return (held, None),
        }
    }
}

#[test]
fn both_nodes_together_have_every_permit() {
    let [mut one, mut other] = pair().nodes;
    let (own_permits, call) = use_up(&mut one, 10_000);
    let (theirs, _) = use_up(&mut other, 10_000);
    assert_eq!(own_permits.len() + theirs.len(), 8);
    let grant = other.lend(&call.unwrap().request, true, at(10_000));
    assert_eq!(grant, PermitGrant { granted: false, left: 0 });
    assert_eq!(drain_violations(), []);
}

#[rstest]
#[case::confirmed(true, 2, "a", true)]
#[case::not_confirmed(false, 2, "a", false)]
#[case::older_view_than_borrower(true, 3, "a", false)]
#[case::no_member(true, 2, "x", false)]
fn a_lender_lends_to_members_while_confirmed(
    #[case] can_admit: bool,
    #[case] version: u64,
    #[case] borrower: &str,
    #[case] granted: bool,
) {
    let [mut one, mut other] = pair().nodes;
    let mut request = use_up(&mut one, 10_000).1.unwrap().request;
    request.version = ViewVersion::new(version);
    request.borrower = node(borrower);
    assert_eq!(other.lend(&request, can_admit, at(10_000)).granted, granted);
}

/// A permit that was held for some time may have moved to another member.
#[rstest]
#[case::in_time(999, true)]
#[case::late(1_000, false)]
fn a_borrowed_permit_starts_a_request_in_time(#[case] after: u64, #[case] starts: bool) {
    let [mut one, mut other] = pair().nodes;
    let call = use_up(&mut one, 10_000).1.unwrap();
    let grant = other.lend(&call.request, true, at(10_000));
    let again = other.lend(&call.request, true, at(10_000));
    assert_eq!((again.granted, again.left), (true, grant.left), "a repeated call takes no second permit");
    let permit = one.borrow_answered(&node("b"), call.request.sequence, Some(&grant)).unwrap();
    assert_eq!(one.borrow_answered(&node("b"), call.request.sequence, Some(&again)), None);
    assert_eq!(one.start(&permit, at(10_000 + after)), starts);
    assert_eq!(one.held_from(&node("b")), [call.request.sequence]);
    let (lender, message) = one.finish(permit).unwrap();
    assert_eq!(lender, node("b"));
    other.returned(&message);
    other.returned(&message);
    assert_eq!(other.hints(at(10_000))[0].free, grant.left + 1);
}

fn report(from: &str, held: Vec<u64>, done_before: u64) -> PeerReport {
    PeerReport {
        incarnation: node(from),
        version: ViewVersion::new(2),
        tokens: Vec::new(),
        permits: Vec::new(),
        settled: Vec::new(),
        permits_held: held,
        permits_done_before: done_before,
    }
}

/// A lost grant or return must not lose the permit forever, and no report may reclaim one that is in use.
#[rstest]
#[case::still_held(vec![1], 1, 0)]
#[case::not_answered_yet(vec![], 0, 0)]
#[case::timed_out(vec![], 1, 1)]
fn a_report_frees_what_is_not_held(#[case] held: Vec<u64>, #[case] done_before: u64, #[case] freed: u32) {
    let [mut one, mut other] = pair().nodes;
    let call = use_up(&mut one, 10_000).1.unwrap();
    assert_eq!(call.request.sequence, 1);
    assert_eq!(one.done_before(), 0);
    let left = other.lend(&call.request, true, at(10_000)).left;
    other.on_report(&report("a", held, done_before));
    assert_eq!(other.hints(at(10_000))[0].free, left + freed);
    one.borrow_answered(&node("b"), 1, None);
    assert_eq!(one.done_before(), 1);
}

/// The permits of a member that left, and those lent to it, return after the delay.
#[test]
fn permits_move_after_the_handoff_delay() {
    let Pair { mut view, nodes: [mut one, mut other], mut tracker } = pair();
    let call = use_up(&mut one, 10_000).1.unwrap();
    let left = other.lend(&call.request, true, at(10_000)).left;
    let owned = other.hints(at(10_000))[0].free + 1;
    assert_eq!(left + 1, owned);
    view.apply(&record(3, members(&["b"])));
    other.configure(&view, &[row()], at(10_000));
    tracker.view_changed(&view);
    tracker.on_report(&node("b"), view.version());
    other.tick(&tracker, at(10_000));
    other.tick(&tracker, at(10_000 + SHARE_HANDOFF_DELAY_MS - 1));
    assert_eq!(use_up(&mut other, 10_000 + SHARE_HANDOFF_DELAY_MS - 1).0.len() as u32, left);
    other.tick(&tracker, at(10_000 + SHARE_HANDOFF_DELAY_MS));
    assert_eq!(use_up(&mut other, 10_000 + SHARE_HANDOFF_DELAY_MS).0.len() as u32, 8 - left);
    one.configure(&view, &[row()], at(10_000));
    assert!(use_up(&mut one, 10_000).0.is_empty(), "permits that are lost are gone at once");
}

/// A view replaced by a snapshot may have skipped a change by which others held the permits temporarily.
#[test]
fn no_own_permit_is_used_after_a_skipped_change() {
    let Pair { mut view, nodes: [mut one, _], mut tracker } = pair();
    let mut newer = view.to_snapshot();
    newer.version = ViewVersion::new(9);
    view.adopt(newer);
    one.configure(&view, &[row()], at(10_000));
    assert!(use_up(&mut one, 10_000).0.is_empty());
    tracker.view_changed(&view);
    tracker.on_report(&node("b"), view.version());
    one.tick(&tracker, at(10_000));
    one.tick(&tracker, at(10_000 + SHARE_HANDOFF_DELAY_MS));
    assert!(!use_up(&mut one, 10_000 + SHARE_HANDOFF_DELAY_MS).0.is_empty());
}
