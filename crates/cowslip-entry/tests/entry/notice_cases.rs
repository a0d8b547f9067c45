//! What upstreams say of themselves, and how long it holds.

use cowslip_entry::{
    AnswerNotice, LeaderUpdates, NoticeBook, UpdateCursors, UpstreamEntry, UpstreamRegistry, UpstreamStart,
    UpstreamUpdate, jittered_ms,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::grant_runs::seeds;
use crate::names::{at, entry, upstream};

const LEAVING: AnswerNotice = AnswerNotice { leaving: true, away_ms: None };

fn away(millis: u64) -> AnswerNotice {
    AnswerNotice { leaving: false, away_ms: Some(millis) }
}

fn start(born: u64) -> UpstreamStart {
    UpstreamStart { id: upstream("e1"), born }
}

fn entry_of(born: u64, version: u64) -> UpstreamEntry {
    UpstreamEntry { born, version, ..entry("e1", "s", &["a"]) }
}

/// Guards against a notice that is taken for another start of its upstream: the earlier one's ends with it, and that of
/// an answer which was long on its way says nothing of the present one.
#[rstest]
#[case::same(3, 3, true)]
#[case::started_anew(3, 4, false)]
#[case::late_answer(2, 3, false)]
fn a_notice_holds_for_one_start(#[case] noted: u64, #[case] present: u64, #[case] expected: bool) {
    let mut notices = NoticeBook::default();
    notices.note(&start(noted), LEAVING, at(0));
    notices.note(&start(noted), away(500), at(0));
    let entry = entry_of(present, 1);
    assert_eq!((notices.leaves(&entry), notices.away_ms(&entry, at(100)) == 400), (expected, expected));
}

/// Guards against a later start whose own notices are lost to those of an earlier one that come late.
#[test]
fn a_late_notice_of_an_earlier_start_changes_nothing() {
    let mut notices = NoticeBook::default();
    notices.note(&start(4), LEAVING, at(0));
    notices.note(&start(3), away(5_000), at(10));
    let entry = entry_of(4, 1);
    assert!(notices.leaves(&entry) && notices.away_ms(&entry, at(20)) == 0);
}

/// Guards against a notice that is dropped because an earlier start, before the upstream's clock was set back, seems to be
/// the later one.
#[test]
fn a_start_with_an_earlier_time_of_birth_is_heard() {
    let mut book = UpstreamRegistry::new();
    book.put(entry_of(9, 1), at(0));
    book.note(&start(9), LEAVING, at(10));
    book.put(entry_of(4, 2), at(20));
    assert!(book.accepts(&upstream("e1"), &[], at(30)), "it has started anew");
    book.note(&start(4), LEAVING, at(40));
    book.note(&start(9), away(5_000), at(50));
    assert!(!book.accepts(&upstream("e1"), &[], at(60)));
}

/// Guards against a shorter time that ends a longer one.
#[test]
fn the_longest_time_holds() {
    let mut notices = NoticeBook::default();
    notices.note(&start(1), away(2_000), at(0));
    notices.note(&start(1), away(300), at(100));
    assert_eq!(notices.away_ms(&entry_of(1, 1), at(1_000)), 1_000);
    assert_eq!((notices.away_count(at(1_000)), notices.away_count(at(2_000))), (1, 0));
}

/// Guards against memory that grows with every upstream that ever left.
#[test]
fn old_notices_are_forgotten() {
    let mut notices = NoticeBook::default();
    for number in 0..100 {
        let start = UpstreamStart { id: upstream(&format!("u{number}")), born: 1 };
        notices.note(&start, LEAVING, at(number * 3_600_000));
    }
    assert_eq!(notices.leaving().count(), 1);
}

/// Guards against a leader that tells others an upstream is ready which has said to it, or to one of them, that it leaves.
#[test]
fn a_leader_tells_that_an_upstream_leaves() {
    let mut book = UpstreamRegistry::new();
    book.put(entry_of(1, 5), at(0));
    let mut other = book.clone();
    let mut news = LeaderUpdates::new();
    news.note(Vec::new(), &book, &[], at(0));
    let marks = news.updates_since(false, UpdateCursors::default()).marks;
    book.note(&start(1), LEAVING, at(100));
    news.note(Vec::new(), &book, &[], at(100));
    let told = news.updates_since(true, marks);
    assert_eq!(news.left(marks), [upstream("e1")]);
    other.take_news(UpstreamUpdate { entries: told.upstreams, version: 5, fresh: false }, 5, at(200));
    assert!(!other.accepts(&upstream("e1"), &[], at(200)));
}

/// Guards against callers that all come back in the moment at which an upstream's time ends, and against one that comes
/// back before it.
#[test]
fn returns_are_spread_after_the_time() {
    let times: Vec<u64> = (0..1_000).map(|draw| jittered_ms(2_000, draw * 7_919)).collect();
    assert!(times.iter().all(|time| (2_000..2_500).contains(time)));
    let in_first_tenth = times.iter().filter(|time| **time < 2_050).count();
    assert!(in_first_tenth < 200, "{in_first_tenth}");
    assert_eq!(jittered_ms(0, 17), 0);
}

/// How a run is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sabotage {
    None,
    /// An entry of the store that says ready ends a notice.
    EntryEndsNotice,
    /// Notices are kept without the start that gave them.
    StartIgnored,
}

/// Plays what upstreams say, what the store and copies say of them, and restarts; returns how often the book would send
/// to one that has said it leaves or wants nothing, and how often it keeps one out of use for what an earlier start said.
fn play(seed: u64, sabotage: Sabotage) -> (u32, u32) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut book = UpstreamRegistry::new();
    let (mut born, mut version) = (1, 1);
    // What the present start has said, as its own side knows it.
    let (mut leaves, mut away_until) = (false, 0);
    let (mut wrong_sends, mut wrongly_kept) = (0, 0);
    book.put(entry_of(born, version), at(0));
    for step in 1..400_u64 {
        let now = step * 50;
        match random.random_range(0..8) {
            0 if random.random_bool(0.2) => {
                book.note(&start(born), LEAVING, at(now));
                leaves = true;
            }
            1 => {
                let millis = random.random_range(100..900);
                book.note(&start(born), away(millis), at(now));
                away_until = away_until.max(now + millis);
            }
            2 if random.random_bool(0.3) => {
                (born, version) = (born + 1, version + 1);
                (leaves, away_until) = (false, 0);
                let told = if sabotage == Sabotage::StartIgnored { 1 } else { born };
                book.put(entry_of(told, version), at(now));
            }
            3 => {
                // An answer of an earlier start that was long on its way.
                book.note(&start(born - 1), LEAVING, at(now));
            }
            4 => {
                version += 1;
                book.remove(&upstream("e1"), false, at(now));
                let told = if sabotage == Sabotage::StartIgnored { 1 } else { born };
                book.put(entry_of(told, version), at(now));
                if sabotage == Sabotage::EntryEndsNotice {
                    book = UpstreamRegistry::new();
                    book.put(entry_of(born, version), at(now));
                }
            }
            5 => {
                let copy = vec![(upstream("e1"), Some(entry_of(born, version)))];
                book.take_news(UpstreamUpdate { entries: copy, version, fresh: true }, version, at(now));
            }
            _ => {}
        }
        let refuses = leaves || now < away_until;
        let accepts = book.accepts(&upstream("e1"), &[], at(now));
        wrong_sends += u32::from(refuses && accepts);
        wrongly_kept += u32::from(!refuses && !accepts);
    }
    (wrong_sends, wrongly_kept)
}

/// Guards against a send to an upstream that wants nothing, and against one that is lost for longer than it said, in any
/// order of what arrives.
#[test]
fn notices_hold_and_end_in_any_order() {
    for seed in 0..seeds(60) {
        assert_eq!(play(seed, Sabotage::None), (0, 0), "seed {seed}");
    }
}

/// Guards against a checker that sees nothing.
#[rstest]
#[case(Sabotage::EntryEndsNotice)]
#[case(Sabotage::StartIgnored)]
fn broken_notices_are_caught(#[case] sabotage: Sabotage) {
    assert!((0..seeds(60)).any(|seed| play(seed, sabotage) != (0, 0)));
}
