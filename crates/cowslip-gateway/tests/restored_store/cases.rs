//! The lease with single restores.

use cowslip_fleet::{LEASE_KEY, LeaderLease, LeaseHolder, LeaseRow, LeaseStep, LeaseTimes};
use cowslip_platform::{PlatformError, RowValue, TableTransaction};
use cowslip_units::{ClockTime, FencingToken, StoreEra};
use rstest::rstest;

use crate::store::RestoredStore;

const TIMES: LeaseTimes = LeaseTimes::new(3_000, 700, 150);
const TAKEOVER_MS: u64 = TIMES.takeover_ms;
/// Time in ms for which a holder acts after a renewal, and least time between the acts of two holders.
const ACTS_MS: u64 = 1_500;
const GAP_MS: u64 = 3_200;

fn at(millis: u64) -> ClockTime {
    ClockTime::new(millis)
}

fn lease(vm: &str, start: u64) -> LeaderLease {
    let incarnation = format!("{vm}-{start}").parse().expect("incarnation");
    LeaderLease::new(LeaseHolder { vm: vm.parse().expect("VM"), incarnation })
        .with_times(TIMES)
        .with_replaced_predecessor()
}

/// Carries out steps without faults until the lease is idle.
fn settle(lease: &mut LeaderLease, store: &mut RestoredStore, now: u64) {
    store.tick(now);
    lease.observe_era(store.era());
    for _ in 0..10 {
        match lease.next(at(now)) {
            LeaseStep::Idle(_) => return,
            LeaseStep::Read => lease.read_answered(&Ok(store.read(LEASE_KEY)), store.era(), at(now)),
            LeaseStep::Commit(transaction) => {
                let outcome = store.commit(&transaction);
                lease.commit_answered(&Ok(outcome), store.era(), at(now));
            }
        }
    }
    panic!("the lease is not idle after 10 steps");
}

fn commit(lease: &mut LeaderLease, now: u64) -> TableTransaction {
    match lease.next(at(now)) {
        LeaseStep::Commit(transaction) => transaction,
        step => panic!("expected a commit, got {step:?}"),
    }
}

fn lost() -> PlatformError {
    PlatformError::InDoubt("time-out".to_owned())
}

fn row(store: &RestoredStore) -> LeaseRow {
    let row: RowValue = store.read(LEASE_KEY).expect("the lease row");
    serde_json::from_str(&row.value).expect("a lease row")
}

/// How a candidate learns of a takeover that it sent before the restore.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Confirmation {
    Answer,
    ReadAfterDoubt,
}

/// Guards against a candidate that leads with the fencing token of a holder whose takeover the restored store has
/// lost.
#[rstest]
#[case::answer(Confirmation::Answer)]
#[case::read_after_doubt(Confirmation::ReadAfterDoubt)]
fn a_takeover_sent_before_a_restore_gives_no_lease(#[case] confirmation: Confirmation) {
    let (mut first, mut second, mut late) = (lease("a", 1), lease("b", 1), lease("c", 1));
    let mut store = RestoredStore::default();
    settle(&mut first, &mut store, 0);
    settle(&mut second, &mut store, 100);
    settle(&mut late, &mut store, 100);
    settle(&mut second, &mut store, 100 + TAKEOVER_MS);
    assert_eq!(second.epoch(at(100 + TAKEOVER_MS)), Some(FencingToken::new(2)));
    let takeover = commit(&mut late, 4_000);
    store.restore(4_000, 3_000, 0);
    let outcome = store.commit(&takeover);
    assert!(outcome.committed, "the restored row has the number that the takeover names");
    match confirmation {
        Confirmation::Answer => late.commit_answered(&Ok(outcome), store.era(), at(4_010)),
        Confirmation::ReadAfterDoubt => {
            late.commit_answered(&Err(lost()), StoreEra::ZERO, at(4_010));
            assert_eq!(late.next(at(4_400)), LeaseStep::Read);
            late.read_answered(&Ok(store.read(LEASE_KEY)), store.era(), at(4_410));
        }
    }
    settle(&mut late, &mut store, 4_410);
    assert!(!late.is_leader(at(4_410)));
    settle(&mut late, &mut store, 4_410 + TAKEOVER_MS);
    let epoch = late.epoch(at(4_410 + TAKEOVER_MS)).expect("the lease");
    assert!(epoch > FencingToken::before_era(store.era()), "{epoch}");
}

/// Guards against a takeover that is due by a read of an earlier era, within the lease of a holder that the
/// restored store does not name.
#[rstest]
#[case::no_row(None)]
#[case::row_of_a_released_lease(Some(50))]
fn a_candidate_waits_a_lease_from_its_first_read_in_an_era(#[case] released_ms: Option<u64>) {
    let (mut first, mut candidate) = (lease("a", 1), lease("b", 1));
    let mut store = RestoredStore::default();
    if let Some(released_ms) = released_ms {
        settle(&mut first, &mut store, 0);
        first.release(at(released_ms));
        settle(&mut first, &mut store, released_ms);
    }
    candidate.read_answered(&Ok(store.read(LEASE_KEY)), store.era(), at(100));
    store.tick(200);
    store.restore(10_000, 9_800, 0);
    settle(&mut candidate, &mut store, 10_000);
    settle(&mut candidate, &mut store, 10_000 + TAKEOVER_MS - 1);
    assert!(!candidate.is_leader(at(10_000 + TAKEOVER_MS - 1)));
    settle(&mut candidate, &mut store, 10_000 + TAKEOVER_MS);
    assert!(candidate.is_leader(at(10_000 + TAKEOVER_MS)));
}

/// Guards against a takeover on a row read before a restore by a gateway that has heard of the leader after it.
#[test]
fn a_heard_epoch_of_a_later_era_calls_for_a_read() {
    let (mut first, mut candidate) = (lease("a", 1), lease("b", 1));
    let mut store = RestoredStore::default();
    settle(&mut first, &mut store, 0);
    settle(&mut candidate, &mut store, 0);
    candidate.observe_epoch(FencingToken::before_era(StoreEra::new(1)).next());
    assert_eq!(candidate.next(at(20_000)), LeaseStep::Read);
}

/// Guards against a lease from a write of an earlier era whose epoch was heard of, so that it is of the new one.
#[test]
fn a_write_of_an_earlier_era_with_a_heard_epoch_gives_no_lease() {
    let (mut first, mut candidate) = (lease("a", 1), lease("b", 1));
    let mut store = RestoredStore::default();
    settle(&mut first, &mut store, 0);
    candidate.observe_epoch(FencingToken::before_era(StoreEra::new(1)).next());
    settle(&mut candidate, &mut store, 100);
    let takeover = commit(&mut candidate, 100 + TAKEOVER_MS);
    candidate.commit_answered(&Err(lost()), store.era(), at(3_500));
    store.restore(3_500, 3_400, 0);
    assert!(store.commit(&takeover).committed);
    settle(&mut candidate, &mut store, 4_000);
    settle(&mut candidate, &mut store, 4_100);
    assert!(!candidate.is_leader(at(4_100)));
}

/// Guards against a holder that renews its lease of an earlier era, or releases it, on the row of another one that
/// has got the same number.
#[rstest]
#[case::renews(false)]
#[case::releases(true)]
fn a_holder_reads_the_row_again_in_a_new_era(#[case] stops: bool) {
    let mut holder = lease("a", 1);
    let mut store = RestoredStore::default();
    settle(&mut holder, &mut store, 0);
    store.tick(50);
    store.restore(500, 400, 0);
    holder.observe_era(store.era());
    if stops {
        holder.release(at(510));
    }
    assert_eq!(holder.next(at(1_000)), LeaseStep::Read);
    holder.read_answered(&Ok(store.read(LEASE_KEY)), store.era(), at(1_010));
    assert!(!holder.is_leader(at(1_010)));
    assert_eq!(holder.is_released(), stops);
    assert_eq!(row(&store).epoch, FencingToken::new(1));
}

/// Guards against orders within the required gap after the last holder's, when the row of an older backup names an
/// earlier one: one that released the lease, or an earlier process of the same VM.
#[rstest]
#[case::released(true)]
#[case::own_vm(false)]
fn the_row_of_a_backup_does_not_name_the_last_holder(#[case] is_released: bool) {
    let (mut first, mut last) = (lease("a", 1), lease("b", 1));
    let mut store = RestoredStore::default();
    for millis in (0..=8_000).step_by(700) {
        settle(&mut first, &mut store, millis);
    }
    if is_released {
        first.release(at(8_000));
        settle(&mut first, &mut store, 8_000);
    }
    settle(&mut last, &mut store, 8_100);
    settle(&mut last, &mut store, 8_100 + TAKEOVER_MS);
    assert!(last.is_leader(at(8_100 + TAKEOVER_MS)));
    store.restore(12_000, 3_950, 0);
    let mut next = lease("a", 2);
    settle(&mut next, &mut store, 12_000);
    settle(&mut next, &mut store, 12_000 + TAKEOVER_MS);
    assert!(next.is_leader(at(12_000 + TAKEOVER_MS)));
    let acts_from = next.acts_from(ACTS_MS, GAP_MS, at(12_000 + TAKEOVER_MS));
    assert_eq!(acts_from, at(12_000 + ACTS_MS + GAP_MS));
}

/// Guards against an additional wait of a leader that the backup names, while nobody else can have led.
#[rstest]
#[case::same_lease(1_000, 0)]
#[case::earlier_lease(13_000, ACTS_MS + GAP_MS - TAKEOVER_MS)]
fn a_leader_that_the_backup_names_waits_no_longer_than_a_lease(#[case] age_ms: u64, #[case] wait_ms: u64) {
    let mut holder = lease("a", 1);
    let mut store = RestoredStore::default();
    for millis in (0..=7_000).step_by(700) {
        settle(&mut holder, &mut store, millis);
    }
    let (mut other, mut now) = (lease("b", 1), 7_000);
    for _ in 0..2 {
        settle(&mut other, &mut store, now);
        now += TAKEOVER_MS;
        settle(&mut other, &mut store, now);
        std::mem::swap(&mut holder, &mut other);
    }
    for millis in (now..=now + 7_000).step_by(700) {
        settle(&mut holder, &mut store, millis);
    }
    let restored_at = now + 7_000;
    store.restore(restored_at, age_ms, 0);
    settle(&mut holder, &mut store, restored_at + 700);
    let taken_at = restored_at + 700 + TAKEOVER_MS;
    settle(&mut holder, &mut store, taken_at);
    assert!(holder.is_leader(at(taken_at)));
    assert_eq!(holder.acts_from(ACTS_MS, GAP_MS, at(taken_at)), at(taken_at + wait_ms));
}
