//! Bucket owners, buckets and borrowed tokens with single faults.

use cowslip_config::TeamRow;
use cowslip_fleet::{
    BucketOwners, FleetView, LEND_HELD_MS, LEND_USABLE_MS, MAX_BUCKET_OWNERS, MemberSeeds, ReserveStep,
    SHARE_HANDOFF_DELAY_MS, TeamShares, TokenBucket, TokenCall, TokenShare, VIEW_WINDOW_MS, VersionTracker,
};
use cowslip_messages::{FleetChange, TokenGrant};
use cowslip_units::{TokenCount, TokenRate, drain_violations};
use rstest::rstest;

use crate::fixtures::{at, member, members, node, record, team};

fn tokens(count: u64) -> TokenCount {
    TokenCount::new(count)
}

fn bucket(rate: u64, cap: u64) -> TokenBucket {
    TokenBucket::new(TokenShare { rate_milli: rate * 1_000, cap_milli: cap * 1_000 }, at(0))
}

/// Fractions of a token must not be lost to rounding, nor be available early.
#[rstest]
#[case::slow(1_250, 799, 0)]
#[case::slow_full_token(1_250, 800, 1)]
#[case::one_a_second(1_000, 10_000, 10)]
#[case::capped(50_000, 10_000, 100)]
fn a_bucket_fills_exactly(#[case] rate_milli: u64, #[case] until: u64, #[case] level: u64) {
    let mut bucket = TokenBucket::new(TokenShare { rate_milli, cap_milli: 100_000 }, at(0));
    (0..until).for_each(|now| assert!(bucket.level(at(now)) <= tokens(level)));
    assert_eq!(bucket.level(at(until)), tokens(level));
}

/// A lender that refills while its tokens are lent would let the team use them twice.
#[test]
fn lent_tokens_occupy_capacity_until_they_are_settled() {
    let mut bucket = bucket(100, 50);
    assert_eq!(bucket.lend(tokens(40), at(1_000)), tokens(40));
    assert_eq!(bucket.level(at(9_000)), tokens(10));
    bucket.settle(tokens(40), at(9_000));
    assert_eq!(bucket.level(at(9_000)), tokens(10), "the loan occupied capacity until now");
    assert_eq!(bucket.level(at(9_100)), tokens(20));
    bucket.put_back(tokens(500), at(9_100));
    assert_eq!(bucket.level(at(9_100)), tokens(50));
}

#[test]
fn a_bucket_shrinks_at_once_even_while_it_has_lent() {
    let mut bucket = bucket(100, 50);
    bucket.lend(tokens(40), at(1_000));
    bucket.set_share(TokenShare { rate_milli: 100_000, cap_milli: 20_000 }, at(1_000));
    assert_eq!(bucket.level(at(5_000)), tokens(0));
    bucket.settle(tokens(40), at(5_000));
    assert_eq!(bucket.level(at(9_000)), tokens(20));
    assert_eq!(drain_violations(), []);
}

/// Every process must compute the same bucket owners; these hashes must not change between versions of the
/// program.
#[test]
fn bucket_owners_are_stable_and_their_shares_add_up() {
    let names: Vec<String> = (0..12).map(|vm| format!("vm{vm:02}:1")).collect();
    let entries: Vec<_> = names.iter().map(|name| member(name)).collect();
    let owners = BucketOwners::new(&team("t"), &MemberSeeds::new(&entries));
    assert_eq!(owners.owners().len(), MAX_BUCKET_OWNERS);
    let first: Vec<_> = owners.owners().iter().take(3).map(|owner| owner.as_str()).collect();
    assert_eq!(first, ["vm01:1", "vm05:1", "vm06:1"]);
    let shares = owners.owners().iter().map(|owner| owners.share(owner, TokenRate::new(100), tokens(101)));
    assert_eq!(shares.map(|share| share.cap_milli).sum::<u64>(), 101_000);
    let fewer: Vec<_> =
        entries.iter().filter(|entry| entry.incarnation != owners.owners()[0]).cloned().collect();
    let after = BucketOwners::new(&team("t"), &MemberSeeds::new(&fewer));
    assert_eq!(
        after.owners()[..7],
        owners.owners()[1..],
        "only the position of the member that left is reassigned"
    );
}

struct Pair {
    view: FleetView,
    nodes: [TeamShares; 2],
    trackers: [VersionTracker; 2],
}

fn row(rate: u64, burst: u64) -> TeamRow {
    TeamRow { team: team("t"), rate: TokenRate::new(rate), burst: tokens(burst) }
}

/// Two bucket owners with their shares of 100 tokens/s and 60 tokens, full at 20,000 ms.
fn pair() -> Pair {
    let mut view = FleetView::new();
    view.apply(&record(1, members(&["a", "b"])));
    view.apply(&record(2, FleetChange::SheetApplied { digest: "s".into() }));
    let mut pair = Pair {
        nodes: ["a", "b"].map(|name| TeamShares::new(node(name))),
        trackers: ["a", "b"].map(|name| VersionTracker::new(node(name), &view)),
        view,
    };
    for (shares, tracker) in pair.nodes.iter_mut().zip(&mut pair.trackers) {
        shares.configure(&pair.view, &[row(100, 60)], at(0));
        ["a", "b"].iter().for_each(|name| tracker.on_report(&node(name), pair.view.version()));
        shares.tick(tracker, at(0));
        shares.tick(tracker, at(SHARE_HANDOFF_DELAY_MS));
        shares.tick(tracker, at(20_000));
    }
    pair
}

fn borrow(shares: &mut TeamShares, amount: u64, now: u64) -> TokenCall {
    match shares.reserve(&team("t"), tokens(amount), at(now)) {
        ReserveStep::Borrow(mut calls) if calls.len() == 1 => calls.remove(0),
        step => panic!("expected one borrow call, got {step:?}"),
    }
}

#[rstest]
#[case::own(30, ReserveStep::Reserved)]
#[case::too_large(61, ReserveStep::TooLarge)]
fn requests_are_limited_by_the_burst(#[case] amount: u64, #[case] step: ReserveStep) {
    let [mut one, _] = pair().nodes;
    assert_eq!(one.reserve(&team("t"), tokens(amount), at(20_000)), step);
    assert_eq!(one.reserve(&team("x"), tokens(1), at(20_000)), ReserveStep::UnknownTeam);
}

/// The whole burst can be borrowed; after that, the wait is the deficit divided by the team's rate.
#[test]
fn the_whole_burst_can_be_borrowed() {
    let [mut one, mut other] = pair().nodes;
    let call = borrow(&mut one, 60, 20_000);
    assert_eq!(call.request.amount, tokens(30));
    let grant = other.lend(&call.request, true, at(20_000));
    one.borrow_answered(&node("b"), call.request.sequence, Some(&grant), at(20_010));
    assert_eq!(one.reserve(&team("t"), tokens(60), at(20_010)), ReserveStep::Reserved);
    assert_eq!(one.reserve(&team("t"), tokens(50), at(20_010)), ReserveStep::Wait(500));
    assert_eq!(one.wait_ms(&team("t"), tokens(50), at(20_010)), Some(500));
}

/// Each case sends the same borrow call twice; the second answer must not grant more tokens.
#[rstest]
#[case::repeated(0)]
#[case::repeated_later(LEND_HELD_MS - 1)]
fn a_repeated_call_gets_the_same_answer(#[case] later: u64) {
    let [mut one, mut other] = pair().nodes;
    let call = borrow(&mut one, 50, 20_000);
    let grant = other.lend(&call.request, true, at(20_000));
    let again = other.lend(&call.request, true, at(20_000 + later));
    assert_eq!((grant.granted, again.granted), (tokens(20), tokens(20)));
    one.borrow_answered(&node("b"), call.request.sequence, Some(&grant), at(20_010));
    one.borrow_answered(&node("b"), call.request.sequence, Some(&again), at(20_020));
    assert_eq!(one.reserve(&team("t"), tokens(50), at(20_020)), ReserveStep::Reserved);
    assert!(!matches!(one.reserve(&team("t"), tokens(10), at(20_020)), ReserveStep::Reserved));
}

/// A late answer is not used: the lender may have reclaimed the tokens.
#[rstest]
#[case::in_time(999, true)]
#[case::late(1_000, false)]
fn a_late_answer_is_not_used(#[case] after: u64, #[case] usable: bool) {
    let [mut one, mut other] = pair().nodes;
    assert_eq!(one.reserve(&team("t"), tokens(30), at(20_000)), ReserveStep::Reserved);
    let call = borrow(&mut one, 30, 20_000);
    let grant = other.lend(&call.request, true, at(20_000));
    let rate_stopped = [row(0, 60)];
    let mut view = pair().view;
    view.apply(&record(3, FleetChange::SheetApplied { digest: "s2".into() }));
    one.configure(&view, &rate_stopped, at(20_000));
    one.borrow_answered(&node("b"), call.request.sequence, Some(&grant), at(20_000 + after));
    let step = one.reserve(&team("t"), tokens(30), at(20_000 + after));
    assert_eq!(step == ReserveStep::Reserved, usable);
}

#[rstest]
#[case::not_confirmed(false, 2)]
#[case::older_view_than_borrower(true, 3)]
fn a_lender_that_may_be_out_of_date_lends_nothing(#[case] can_admit: bool, #[case] version: u64) {
    let [mut one, mut other] = pair().nodes;
    let mut call = borrow(&mut one, 50, 20_000);
    call.request.version = cowslip_units::ViewVersion::new(version);
    assert_eq!(other.lend(&call.request, can_admit, at(20_000)).granted, tokens(0));
}

/// A lost answer costs the tokens until they expire, and never doubles them.
#[test]
fn a_lost_answer_expires_at_the_lender() {
    let Pair { nodes: [mut one, mut other], trackers: [_, tracker], .. } = pair();
    let call = borrow(&mut one, 60, 20_000);
    other.lend(&call.request, true, at(20_000));
    one.borrow_answered(&node("b"), call.request.sequence, None, at(20_500));
    other.tick(&tracker, at(20_000 + LEND_HELD_MS - 1));
    assert_eq!(other.hints(at(20_000 + LEND_HELD_MS - 1))[0].level, tokens(0));
    other.tick(&tracker, at(20_000 + LEND_HELD_MS));
    assert_eq!(other.hints(at(20_100 + LEND_HELD_MS))[0].level, tokens(5));
}

/// The share of a member that leaves moves to the other one only after the delay, and starts from the present
/// level.
#[test]
fn a_share_grows_after_the_handoff_delay() {
    let Pair { mut view, nodes: [mut one, mut other], trackers: [mut tracker, _] } = pair();
    view.apply(&record(3, members(&["a"])));
    one.configure(&view, &[row(100, 60)], at(20_000));
    other.configure(&view, &[row(100, 60)], at(20_000));
    assert_eq!(other.hints(at(20_000)), [], "a share that shrinks does so at once");
    tracker.view_changed(&view);
    one.tick(&tracker, at(20_000));
    let before = 20_000 + SHARE_HANDOFF_DELAY_MS - 1;
    one.tick(&tracker, at(before));
    assert_eq!(one.hints(at(before))[0].level, tokens(30));
    one.tick(&tracker, at(before + 1));
    assert_eq!(one.hints(at(before + 1))[0].level, tokens(30));
    assert_eq!(one.hints(at(before + 201))[0].level, tokens(50));
}

/// Tokens that a losing member lent at the end of its view window must be used or expired before another's
/// share grows.
#[test]
fn loans_of_a_loser_end_before_shares_grow() {
    let names = ["a", "b", "c"];
    let mut view = FleetView::new();
    view.apply(&record(1, members(&names)));
    view.apply(&record(2, FleetChange::SheetApplied { digest: "s".into() }));
    let sheet = [row(6_000, 60)];
    let mut tracker = VersionTracker::new(node("a"), &view);
    names.iter().for_each(|name| tracker.on_report(&node(name), view.version()));
    let [mut gainer, mut loser, mut borrower] = names.map(|name| {
        let mut shares = TeamShares::new(node(name));
        shares.configure(&view, &sheet, at(0));
        shares.tick(&tracker, at(0));
        shares.tick(&tracker, at(SHARE_HANDOFF_DELAY_MS));
        shares
    });
    let mut newer = view.clone();
    newer.apply(&record(3, members(&["a", "c"])));
    tracker.view_changed(&newer);
    tracker.on_report(&node("c"), newer.version());
    gainer.configure(&newer, &sheet, at(20_000));
    gainer.tick(&tracker, at(20_000));
    // The borrower requests more than it has while its hint for the gainer is zero, and then receives the
    // change.
    let lend_at = 20_000 + VIEW_WINDOW_MS;
    let calls = match borrower.reserve(&team("t"), tokens(60), at(lend_at)) {
        ReserveStep::Borrow(calls) => calls,
        step => panic!("expected borrow calls, got {step:?}"),
    };
    let call = calls.into_iter().find(|call| call.lender == node("b")).unwrap();
    let grant = loser.lend(&call.request, true, at(lend_at));
    assert_eq!(grant.granted, tokens(20));
    borrower.borrow_answered(&node("b"), call.request.sequence, Some(&grant), at(lend_at));
    for now in lend_at..lend_at + 2_000 {
        gainer.tick(&tracker, at(now));
        let held = if now < lend_at + LEND_USABLE_MS { 20 } else { 0 };
        let others = gainer.hints(at(now))[0].level.get() + borrower.hints(at(now))[0].level.get();
        assert!(others + held <= 60, "{others} tokens and {held} borrowed ones at {now} ms");
    }
    assert_eq!(gainer.hints(at(lend_at + 2_000))[0].level, tokens(30));
}

/// A view replaced by a snapshot may have skipped a change by which the member lost its share temporarily.
#[test]
fn a_share_stops_after_a_skipped_change() {
    let Pair { mut view, nodes: [mut one, _], .. } = pair();
    let mut newer = view.to_snapshot();
    newer.version = cowslip_units::ViewVersion::new(9);
    view.adopt(newer);
    one.configure(&view, &[row(100, 60)], at(20_000));
    assert_eq!(one.hints(at(20_000))[0].level, tokens(0));
}

#[test]
fn unused_grants_are_settled_with_the_lender() {
    let [mut one, mut other] = pair().nodes;
    let call = borrow(&mut one, 60, 20_000);
    let grant: TokenGrant = other.lend(&call.request, true, at(20_000));
    one.borrow_answered(&node("b"), call.request.sequence, Some(&grant), at(20_010));
    one.tick(&pair().trackers[0], at(20_900));
    assert_eq!(one.take_settled(&node("b"))[0].sequence, call.request.sequence);
    assert_eq!(one.take_settled(&node("b")), []);
}
