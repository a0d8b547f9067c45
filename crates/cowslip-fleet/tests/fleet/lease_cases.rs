//! The leader lease with single faults.

use cowslip_fleet::{
    LEASE_KEY, LEASE_RENEW_MS, LEASE_TAKEOVER_MS, LEASE_VALID_MS, LeaderLease, LeaseHolder, LeaseRow,
    LeaseStep,
};
use cowslip_platform::{PlatformError, TableTransaction};
use cowslip_units::{FencingToken, StoreEra};
use rstest::rstest;

use crate::fake_table::FakeTable;
use crate::fixtures::{at, node};

fn controller(name: &str) -> LeaderLease {
    LeaderLease::new(LeaseHolder { vm: "vm".parse().unwrap(), incarnation: node(name) })
}

fn lost() -> PlatformError {
    PlatformError::InDoubt("time-out".into())
}

/// Carries out steps without faults until the controller is idle.
fn settle(lease: &mut LeaderLease, table: &mut FakeTable, now: u64) {
    for _ in 0..10 {
        match lease.next(at(now)) {
            LeaseStep::Idle(_) => return,
            LeaseStep::Read => lease.read_answered(&Ok(table.read(LEASE_KEY)), StoreEra::ZERO, at(now)),
            LeaseStep::Commit(transaction) => {
                let outcome = table.commit(&transaction);
                lease.commit_answered(&Ok(outcome), StoreEra::ZERO, at(now));
            }
        }
    }
    panic!("the controller is not idle after 10 steps");
}

fn commit(lease: &mut LeaderLease, now: u64) -> TableTransaction {
    match lease.next(at(now)) {
        LeaseStep::Commit(transaction) => transaction,
        step => panic!("expected a commit, got {step:?}"),
    }
}

#[rstest]
#[case::still_valid(LEASE_VALID_MS - 1, true)]
#[case::stopped(LEASE_VALID_MS, false)]
fn a_holder_stops_by_its_own_clock(#[case] after: u64, #[case] acts: bool) {
    let (mut lease, mut table) = (controller("a"), FakeTable::default());
    settle(&mut lease, &mut table, 10_000);
    assert_eq!(lease.is_leader(at(10_000 + after)), acts);
    assert_eq!(lease.fence(TableTransaction::new(), at(10_000 + after)).is_some(), acts);
}

/// A takeover before the wait is over would overlap with a holder that still acts; without a takeover there
/// is no leader.
#[rstest]
#[case::waits(LEASE_TAKEOVER_MS - 1, 1)]
#[case::takes(LEASE_TAKEOVER_MS, 2)]
fn a_candidate_waits_for_an_unchanged_row(#[case] after: u64, #[case] epoch: u64) {
    let (mut holder, mut candidate, mut table) = (controller("a"), controller("b"), FakeTable::default());
    settle(&mut holder, &mut table, 0);
    settle(&mut candidate, &mut table, 7_000);
    settle(&mut candidate, &mut table, 7_000 + after);
    let row: LeaseRow = table.parsed(LEASE_KEY).unwrap();
    assert_eq!(row.epoch, FencingToken::new(epoch));
    assert_eq!(candidate.is_leader(at(7_000 + after)), epoch == 2);
}

#[test]
fn each_renewal_restarts_the_candidates_wait() {
    let (mut holder, mut candidate, mut table) = (controller("a"), controller("b"), FakeTable::default());
    for second in 0..20 {
        settle(&mut holder, &mut table, second * 1_000);
        settle(&mut candidate, &mut table, second * 1_000 + 500);
    }
    assert!(holder.is_leader(at(19_500)) && !candidate.is_leader(at(19_500)));
}

/// A write in doubt counts from its first send: counting from a later one would let the holder act too long.
#[rstest]
#[case::took_effect(true)]
#[case::was_lost(false)]
fn a_renewal_in_doubt_is_read_back(#[case] took_effect: bool) {
    let (mut lease, mut table) = (controller("a"), FakeTable::default());
    settle(&mut lease, &mut table, 0);
    let renewal = commit(&mut lease, 1_000);
    if took_effect {
        table.commit(&renewal);
    }
    lease.commit_answered(&Err(lost()), StoreEra::ZERO, at(1_500));
    settle(&mut lease, &mut table, 1_900);
    let last_send = if took_effect { 1_000 } else { 1_900 };
    assert!(lease.is_leader(at(last_send + 2_999)));
    assert!(!lease.is_leader(at(last_send + 3_000)));
}

#[test]
fn a_takeover_in_doubt_is_not_counted_before_it_is_read_back() {
    let (mut lease, mut table) = (controller("a"), FakeTable::default());
    lease.next(at(0));
    lease.read_answered(&Ok(None), StoreEra::ZERO, at(0));
    let takeover = commit(&mut lease, 0);
    lease.commit_answered(&Err(lost()), StoreEra::ZERO, at(500));
    assert!(!lease.is_leader(at(500)));
    table.commit(&takeover);
    settle(&mut lease, &mut table, 1_000);
    assert!(lease.is_leader(at(1_000)));
    assert_eq!(table.parsed::<LeaseRow>(LEASE_KEY).unwrap().epoch, FencingToken::new(1));
}

/// A write of a paused holder would overwrite the decisions of its successor.
#[test]
fn a_takeover_fails_the_old_holders_writes() {
    let (mut holder, mut candidate, mut table) = (controller("a"), controller("b"), FakeTable::default());
    settle(&mut holder, &mut table, 0);
    let write = holder.fence(TableTransaction::new().with_put("replica/u/m", "1".into()), at(100)).unwrap();
    settle(&mut holder, &mut table, 1_000);
    assert!(table.commit(&write).committed, "a renewal must not fail the holder's own write");
    settle(&mut candidate, &mut table, 1_000);
    settle(&mut candidate, &mut table, 1_000 + LEASE_TAKEOVER_MS);
    assert!(!table.commit(&write).committed);
}

/// A controller that stops must release only its own lease.
#[rstest]
#[case::holder(true)]
#[case::candidate(false)]
fn a_release_lets_another_take_over_at_once(#[case] by_holder: bool) {
    let (mut holder, mut candidate, mut table) = (controller("a"), controller("b"), FakeTable::default());
    settle(&mut holder, &mut table, 0);
    settle(&mut candidate, &mut table, 100);
    let leaving = if by_holder { &mut holder } else { &mut candidate };
    leaving.release(at(200));
    assert!(!leaving.is_leader(at(200)));
    settle(leaving, &mut table, 200);
    assert!(leaving.is_released());
    settle(&mut candidate, &mut table, 700);
    assert_eq!(candidate.is_leader(at(700)), by_holder);
    assert_eq!(holder.is_leader(at(700)), !by_holder);
}

fn controller_of(vm: &str, name: &str) -> LeaderLease {
    LeaderLease::new(LeaseHolder { vm: vm.parse().unwrap(), incarnation: node(name) })
}

/// After all processes were killed, the fleet waited a whole lease for a process that had ended. Only the
/// next process on the same VM may skip this wait, and only where two cannot run at once.
#[rstest]
#[case::same_vm("vm", true, true)]
#[case::other_vm("vm2", true, false)]
#[case::may_run_beside("vm", false, false)]
fn the_next_process_of_a_vm_replaces_its_predecessor(
    #[case] vm: &str,
    #[case] replaces: bool,
    #[case] leads: bool,
) {
    let (mut killed, mut table) = (controller_of("vm", "a"), FakeTable::default());
    settle(&mut killed, &mut table, 0);
    let next = controller_of(vm, "b");
    let mut next = if replaces { next.with_replaced_predecessor() } else { next };
    settle(&mut next, &mut table, 300);
    assert_eq!(next.is_leader(at(300)), leads);
    if leads {
        assert_eq!(table.parsed::<LeaseRow>(LEASE_KEY).unwrap().epoch, FencingToken::new(2));
        assert!(
            next.previous_holder_until(LEASE_VALID_MS, at(300)).is_some(),
            "orders of the predecessor may still arrive"
        );
    }
}

/// After all processes were killed, no model was loaded for six seconds, although no other VM had sent an
/// order. The leadership of earlier processes of the VM counts by their renewals; another VM's does not
/// count.
#[rstest]
#[case::same_vm("vm", 5, Some(5 * LEASE_RENEW_MS))]
#[case::just_begun("vm", 0, Some(0))]
#[case::other_vm("vm2", 5, None)]
fn the_lease_time_of_predecessors_on_the_same_vm_is_counted(
    #[case] vm: &str,
    #[case] renewals: u64,
    #[case] held_ms: Option<u64>,
) {
    let (mut killed, mut table) = (controller_of("vm", "a"), FakeTable::default());
    for number in 0..=renewals {
        settle(&mut killed, &mut table, number * LEASE_RENEW_MS);
    }
    let mut next = controller_of(vm, "b").with_replaced_predecessor();
    let begun_ms = renewals * LEASE_RENEW_MS + 300;
    settle(&mut next, &mut table, begun_ms);
    settle(&mut next, &mut table, begun_ms + LEASE_TAKEOVER_MS);
    assert!(next.is_leader(at(begun_ms + LEASE_TAKEOVER_MS)) || vm == "vm");
    assert_eq!(next.same_vm_held_ms(), held_ms);
    // After another kill and one renewal, the time held by all earlier processes still counts.
    let mut third = controller_of("vm", "c").with_replaced_predecessor();
    settle(&mut third, &mut table, begun_ms + LEASE_TAKEOVER_MS + 100);
    assert_eq!(third.same_vm_held_ms(), held_ms.map(|millis| millis + LEASE_RENEW_MS));
}

/// Guards against a new holder that waits for the lease of a holder that has released it.
#[test]
fn a_released_lease_ends_at_the_release() {
    let (mut holder, mut next, mut table) = (controller("a"), controller("b"), FakeTable::default());
    settle(&mut holder, &mut table, 0);
    holder.release(at(100));
    settle(&mut holder, &mut table, 100);
    settle(&mut next, &mut table, 250);
    assert_eq!(next.previous_holder_until(LEASE_VALID_MS, at(250)), Some(at(250)));
}

/// Guards against two holders after one has resigned without the store: it must not act on a renewal that was
/// in flight, nor take its own row over at once as a predecessor's. A successor that received the resignation
/// must not wait for the lease; any other one must.
#[rstest]
#[case::reported(true)]
#[case::not_reported(false)]
fn only_a_notified_candidate_takes_over_a_resigned_lease_at_once(#[case] reported: bool) {
    let (mut holder, mut table) =
        (controller_of("vm", "a").with_replaced_predecessor(), FakeTable::default());
    let mut next = controller("b");
    settle(&mut holder, &mut table, 0);
    settle(&mut next, &mut table, 100);
    // A renewal is sent, and its answer arrives after the resignation.
    let LeaseStep::Commit(renewal) = holder.next(at(LEASE_RENEW_MS)) else { panic!("no renewal") };
    holder.abandon(at(LEASE_RENEW_MS + 10));
    let committed = table.commit(&renewal);
    holder.commit_answered(&Ok(committed), StoreEra::ZERO, at(LEASE_RENEW_MS + 20));
    assert!(!holder.is_leader(at(LEASE_RENEW_MS + 20)));
    settle(&mut holder, &mut table, LEASE_RENEW_MS + 600);
    assert!(!holder.is_leader(at(LEASE_RENEW_MS + 600)), "it took over its own resigned lease");
    if reported {
        next.observe_release(FencingToken::new(1));
    }
    settle(&mut next, &mut table, LEASE_RENEW_MS + 650);
    assert_eq!(next.is_leader(at(LEASE_RENEW_MS + 650)), reported);
    settle(&mut next, &mut table, LEASE_RENEW_MS + 650 + LEASE_TAKEOVER_MS);
    assert!(next.is_leader(at(LEASE_RENEW_MS + 650 + LEASE_TAKEOVER_MS)));
}

/// The version of the lease row as a candidate would read it now.
fn row_version(table: &FakeTable) -> u64 {
    table.read(LEASE_KEY).expect("a row").version
}

/// A candidate that received the report of the renewal that it reads need not wait as for a new row. With a
/// report of another version it must, because the holder may have renewed since.
#[rstest]
#[case::same_version(0, true)]
#[case::other_version(1, false)]
fn a_reported_renewal_counts_for_its_own_version_only(#[case] off: u64, #[case] leads: bool) {
    let (mut holder, mut candidate, mut table) = (controller("a"), controller("b"), FakeTable::default());
    settle(&mut holder, &mut table, 0);
    let reported = holder.renewal(at(100)).expect("the holder's renewal");
    assert_eq!(reported, (row_version(&table), at(0)));
    candidate.observe_renewal(reported.0 + off, reported.1);
    settle(&mut candidate, &mut table, LEASE_TAKEOVER_MS - 1);
    assert!(!candidate.is_leader(at(LEASE_TAKEOVER_MS - 1)), "the lease has not expired");
    settle(&mut candidate, &mut table, LEASE_TAKEOVER_MS);
    settle(&mut candidate, &mut table, LEASE_TAKEOVER_MS + 501);
    assert_eq!(candidate.is_leader(at(LEASE_TAKEOVER_MS + 501)), leads);
}

/// A process that does not hold the lease must not report a renewal: candidates would take over a lease that
/// is held.
#[test]
fn only_a_valid_holder_reports_its_renewal() {
    let (mut holder, mut candidate, mut table) = (controller("a"), controller("b"), FakeTable::default());
    settle(&mut holder, &mut table, 0);
    settle(&mut candidate, &mut table, 100);
    assert_eq!(candidate.renewal(at(100)), None);
    assert_eq!(holder.renewal(at(LEASE_VALID_MS)), None);
}

/// A new holder delays its orders until the previous one can no longer send any. The first holder need not
/// wait.
#[test]
fn a_takeover_bounds_when_the_previous_holder_acted() {
    let (mut holder, mut candidate, mut table) = (controller("a"), controller("b"), FakeTable::default());
    settle(&mut holder, &mut table, 0);
    assert_eq!(holder.previous_holder_until(LEASE_VALID_MS, at(0)), None);
    settle(&mut candidate, &mut table, 700);
    settle(&mut candidate, &mut table, 700 + LEASE_TAKEOVER_MS);
    assert!(candidate.is_leader(at(700 + LEASE_TAKEOVER_MS)));
    let until = candidate
        .previous_holder_until(LEASE_VALID_MS, at(700 + LEASE_TAKEOVER_MS))
        .expect("an earlier holder");
    assert!(until >= at(LEASE_VALID_MS), "{until} is before the previous holder's lease expired");
    assert!(until <= at(700 + LEASE_TAKEOVER_MS));
}

/// Processes that start after all were killed have the fleet size only from the row: renewals write it, and a
/// takeover by a candidate that has seen fewer members leaves it unchanged.
#[test]
fn the_row_stores_the_fleet_size() {
    let (mut holder, mut candidate, mut table) = (controller("a"), controller("b"), FakeTable::default());
    assert_eq!(candidate.members(), None);
    settle(&mut holder, &mut table, 0);
    holder.set_members(85);
    settle(&mut holder, &mut table, 1_000);
    settle(&mut candidate, &mut table, 1_100);
    assert_eq!(candidate.members(), Some(85));
    candidate.set_members(3);
    settle(&mut candidate, &mut table, 1_100 + LEASE_TAKEOVER_MS);
    assert!(candidate.is_leader(at(1_100 + LEASE_TAKEOVER_MS)));
    assert_eq!(table.parsed::<LeaseRow>(LEASE_KEY).unwrap().members, 85);
}

/// A renewal that is retried because its answer was lost must be the same write, or the first one would not
/// be recognised.
#[test]
fn a_retried_renewal_writes_the_same_size() {
    let (mut lease, mut table) = (controller("a"), FakeTable::default());
    settle(&mut lease, &mut table, 0);
    lease.set_members(5);
    let renewal = commit(&mut lease, 1_000);
    lease.commit_answered(&Err(lost()), StoreEra::ZERO, at(1_500));
    lease.set_members(6);
    table.commit(&renewal);
    settle(&mut lease, &mut table, 1_900);
    assert!(lease.is_leader(at(1_000 + LEASE_VALID_MS - 1)));
    assert_eq!(table.parsed::<LeaseRow>(LEASE_KEY).unwrap().members, 5);
}

/// Guards against a former holder that finds its row in an older backup of the store and acts in its old
/// epoch, and against an epoch that is taken twice or is below an earlier one.
#[rstest]
#[case::read_its_successor(true)]
#[case::reported_its_epoch(false)]
fn a_row_from_an_older_backup_gives_no_lease(#[case] read: bool) {
    let (mut earlier, mut later, mut table) = (controller("a"), controller("b"), FakeTable::default());
    settle(&mut earlier, &mut table, 0);
    settle(&mut later, &mut table, 10);
    let copy = table.clone();
    settle(&mut later, &mut table, 10 + LEASE_TAKEOVER_MS);
    assert!(later.is_leader(at(10 + LEASE_TAKEOVER_MS)));
    let returned_ms = 20 + LEASE_TAKEOVER_MS;
    if read {
        settle(&mut earlier, &mut table, returned_ms);
    } else {
        earlier.observe_epoch(FencingToken::new(2));
    }
    let mut table = copy;
    settle(&mut earlier, &mut table, returned_ms + 1_000);
    assert!(!earlier.is_leader(at(returned_ms + 1_000)), "its successor may still act");
    settle(&mut earlier, &mut table, returned_ms + 1_000 + LEASE_TAKEOVER_MS);
    let row: LeaseRow = table.parsed(LEASE_KEY).unwrap();
    assert_eq!(row.epoch, FencingToken::new(3));
}

/// Guards against an immediate takeover when the row is missing in an older backup of the store while its
/// holder still acts.
#[test]
fn a_missing_row_is_not_taken_over_within_a_lease() {
    let (mut holder, mut candidate) = (controller("a"), controller("b"));
    let (mut table, mut copy) = (FakeTable::default(), FakeTable::default());
    settle(&mut holder, &mut table, 0);
    candidate.observe_epoch(FencingToken::new(1));
    settle(&mut candidate, &mut copy, 100);
    settle(&mut candidate, &mut copy, LEASE_VALID_MS - 1);
    assert!(!candidate.is_leader(at(LEASE_VALID_MS - 1)));
    settle(&mut candidate, &mut copy, 100 + LEASE_TAKEOVER_MS);
    assert_eq!(copy.parsed::<LeaseRow>(LEASE_KEY).unwrap().epoch, FencingToken::new(2));
}
