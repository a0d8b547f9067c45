//! Notices of upstreams about themselves, and how long they are valid.

use cowslip_entry::{
    AnswerNotice, LeaderUpdates, NoticeTable, UpdateCursors, UpstreamEntry, UpstreamRegistry, UpstreamStart,
    UpstreamUpdate, jittered_ms,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::fixtures::{at, entry, upstream};
use crate::grant_runs::seeds;

const LEAVING: AnswerNotice = AnswerNotice { leaving: true, paused_ms: None };

fn paused(millis: u64) -> AnswerNotice {
    AnswerNotice { leaving: false, paused_ms: Some(millis) }
}

fn start(born: u64) -> UpstreamStart {
    UpstreamStart { id: upstream("e1"), born }
}

fn entry_of(born: u64, version: u64) -> UpstreamEntry {
    UpstreamEntry { born, version, ..entry("e1", "s", &["a"]) }
}

/// Guards against a notice that is applied to another incarnation of its upstream: it ends with its own one,
/// and a notice in a delayed answer does not apply to the present one.
#[rstest]
#[case::same(3, 3, true)]
#[case::restarted(3, 4, false)]
#[case::late_answer(2, 3, false)]
fn a_notice_applies_to_one_incarnation(#[case] recorded: u64, #[case] present: u64, #[case] expected: bool) {
    let mut notices = NoticeTable::default();
    notices.record_notice(&start(recorded), LEAVING, at(0));
    notices.record_notice(&start(recorded), paused(500), at(0));
    let entry = entry_of(present, 1);
    assert_eq!((notices.is_leaving(&entry), notices.paused_ms(&entry, at(100)) == 400), (expected, expected));
}

/// Guards against late notices of an earlier incarnation that replace those of the present one.
#[test]
fn a_late_notice_of_an_earlier_incarnation_is_ignored() {
    let mut notices = NoticeTable::default();
    notices.record_notice(&start(4), LEAVING, at(0));
    notices.record_notice(&start(3), paused(5_000), at(10));
    let entry = entry_of(4, 1);
    assert!(notices.is_leaving(&entry) && notices.paused_ms(&entry, at(20)) == 0);
}

/// Guards against a dropped notice when the upstream's clock was set back, so that an earlier incarnation
/// seems to be the later one.
#[test]
fn an_incarnation_with_an_earlier_start_time_is_accepted() {
    let mut registry = UpstreamRegistry::new();
    registry.put(entry_of(9, 1), at(0));
    registry.record_notice(&start(9), LEAVING, at(10));
    registry.put(entry_of(4, 2), at(20));
    assert!(registry.can_accept(&upstream("e1"), &[], at(30)), "it has restarted");
    registry.record_notice(&start(4), LEAVING, at(40));
    registry.record_notice(&start(9), paused(5_000), at(50));
    assert!(!registry.can_accept(&upstream("e1"), &[], at(60)));
}

/// Guards against a shorter pause that ends a longer one.
#[test]
fn the_longest_pause_wins() {
    let mut notices = NoticeTable::default();
    notices.record_notice(&start(1), paused(2_000), at(0));
    notices.record_notice(&start(1), paused(300), at(100));
    assert_eq!(notices.paused_ms(&entry_of(1, 1), at(1_000)), 1_000);
    assert_eq!((notices.paused_count(at(1_000)), notices.paused_count(at(2_000))), (1, 0));
}

/// Guards against memory that grows with every upstream that ever left.
#[test]
fn old_notices_are_dropped() {
    let mut notices = NoticeTable::default();
    for number in 0..100 {
        let start = UpstreamStart { id: upstream(&format!("u{number}")), born: 1 };
        notices.record_notice(&start, LEAVING, at(number * 3_600_000));
    }
    assert_eq!(notices.leaving().count(), 1);
}

/// Guards against a leader whose updates list an upstream as ready after it has announced its shutdown to
/// some gateway.
#[test]
fn a_leader_forwards_announced_shutdowns() {
    let mut registry = UpstreamRegistry::new();
    registry.put(entry_of(1, 5), at(0));
    let mut other = registry.clone();
    let mut updates = LeaderUpdates::new();
    updates.record_state(Vec::new(), &registry, &[], at(0));
    let marks = updates.updates_since(false, true, UpdateCursors::default()).marks;
    registry.record_notice(&start(1), LEAVING, at(100));
    updates.record_state(Vec::new(), &registry, &[], at(100));
    let batch = updates.updates_since(true, true, marks);
    assert_eq!(updates.left(marks), [upstream("e1")]);
    other.apply_update(
        UpstreamUpdate { entries: batch.upstreams, models: batch.models, version: 5, fresh: false },
        5,
        at(200),
    );
    assert!(!other.can_accept(&upstream("e1"), &[], at(200)));
}

/// Guards against callers that all retry at the moment at which a pause ends, and against retries before it.
#[test]
fn retries_are_jittered_after_the_pause() {
    let times: Vec<u64> = (0..1_000).map(|draw| jittered_ms(2_000, draw * 7_919)).collect();
    assert!(times.iter().all(|time| (2_000..2_500).contains(time)));
    let in_first_tenth = times.iter().filter(|time| **time < 2_050).count();
    assert!(in_first_tenth < 200, "{in_first_tenth}");
    assert_eq!(jittered_ms(0, 17), 0);
}

/// Fault that a run injects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InjectedFault {
    None,
    /// A ready entry in the store ends a notice.
    EntryEndsNotice,
    /// Notices are kept without their incarnation.
    IncarnationIgnored,
}

/// Simulates notices of an upstream, its entries in the store and in copies, and restarts. Returns the steps
/// at which it would get requests although it is leaving or paused, and those at which it is excluded by a
/// notice of an earlier incarnation.
fn simulate(seed: u64, injected: InjectedFault) -> (u32, u32) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut registry = UpstreamRegistry::new();
    let (mut born, mut version) = (1, 1);
    // Notices of the present incarnation, as the upstream itself has them.
    let (mut is_leaving, mut paused_until) = (false, 0);
    let (mut wrong_sends, mut wrongly_excluded) = (0, 0);
    registry.put(entry_of(born, version), at(0));
    for step in 1..400_u64 {
        let now = step * 50;
        match random.random_range(0..8) {
            0 if random.random_bool(0.2) => {
                registry.record_notice(&start(born), LEAVING, at(now));
                is_leaving = true;
            }
            1 => {
                let millis = random.random_range(100..900);
                registry.record_notice(&start(born), paused(millis), at(now));
                paused_until = paused_until.max(now + millis);
            }
            2 if random.random_bool(0.3) => {
                (born, version) = (born + 1, version + 1);
                (is_leaving, paused_until) = (false, 0);
                let entry_born = if injected == InjectedFault::IncarnationIgnored { 1 } else { born };
                registry.put(entry_of(entry_born, version), at(now));
            }
            3 => {
                // A delayed answer of an earlier incarnation.
                registry.record_notice(&start(born - 1), LEAVING, at(now));
            }
            4 => {
                version += 1;
                registry.remove(&upstream("e1"), false, at(now));
                let entry_born = if injected == InjectedFault::IncarnationIgnored { 1 } else { born };
                registry.put(entry_of(entry_born, version), at(now));
                if injected == InjectedFault::EntryEndsNotice {
                    registry = UpstreamRegistry::new();
                    registry.put(entry_of(born, version), at(now));
                }
            }
            5 => {
                let copy = vec![(upstream("e1"), Some(entry_of(born, version)))];
                registry.apply_update(
                    UpstreamUpdate { entries: copy, models: Vec::new(), version, fresh: true },
                    version,
                    at(now),
                );
            }
            _ => {}
        }
        let refuses = is_leaving || now < paused_until;
        let accepts = registry.can_accept(&upstream("e1"), &[], at(now));
        wrong_sends += u32::from(refuses && accepts);
        wrongly_excluded += u32::from(!refuses && !accepts);
    }
    (wrong_sends, wrongly_excluded)
}

/// Guards against a request to a paused or leaving upstream, and against one that is excluded for too long,
/// in any order of messages.
#[test]
fn notices_hold_and_end_in_any_order() {
    for seed in 0..seeds(60) {
        assert_eq!(simulate(seed, InjectedFault::None), (0, 0), "seed {seed}");
    }
}

/// The check must catch each injected fault.
#[rstest]
#[case(InjectedFault::EntryEndsNotice)]
#[case(InjectedFault::IncarnationIgnored)]
fn notice_faults_are_caught(#[case] injected: InjectedFault) {
    assert!((0..seeds(60)).any(|seed| simulate(seed, injected) != (0, 0)));
}
