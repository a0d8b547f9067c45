//! A store that comes back from an older copy.

use cowslip_entry::{
    EraFault, EraTracker, FleetConfig, OperatorChange, OperatorRow, OperatorView, UpstreamEntry,
    UpstreamRegistry,
};
use cowslip_units::StoreEra;
use rstest::rstest;

use crate::names::{at, domain, entry, upstream};

fn era(number: u64) -> StoreEra {
    StoreEra::new(number)
}

fn version(era: u64, raw_version: u64) -> u64 {
    StoreEra::new(era).version(raw_version).expect("a version")
}

/// Guards against a garbled header that makes all later answers look old, a late answer that counts, and answers without
/// an era that stop a gateway.
#[rstest]
#[case::rises(&[Some(1), Some(1)], Ok(era(1)))]
#[case::told_once(&[Some(1)], Err(EraFault::NotConfirmed(era(1))))]
#[case::garbled_once(&[Some(7), Some(0)], Ok(era(0)))]
#[case::garbled_twice(&[Some(7), Some(9)], Err(EraFault::NotConfirmed(era(9))))]
#[case::late(&[Some(1), Some(1), Some(0)], Err(EraFault::Over(era(0))))]
#[case::not_told(&[Some(1), Some(1), None], Ok(era(1)))]
#[case::some_missed(&[Some(3), Some(3)], Ok(era(3)))]
fn an_era_counts_when_two_answers_tell_it(
    #[case] told: &[Option<u64>],
    #[case] expected: Result<StoreEra, EraFault>,
) {
    let mut watch = EraTracker::default();
    let last = told.iter().map(|told| watch.take(told.map(era))).last();
    assert_eq!(last, Some(expected));
}

/// Guards against a version that was given out again and counts as the older one, or as the same.
#[test]
fn versions_are_in_order_over_eras() {
    assert!(version(0, 900) < version(1, 5) && version(1, 5) < version(1, 6));
    assert_eq!((StoreEra::of(version(3, 8)), StoreEra::raw_version(version(3, 8))), (era(3), 8));
    assert_eq!(era(0).version(1 << 44), None);
}

/// Guards against a withdrawn key that comes back with an older copy's configuration, and against a later change of the
/// operator that is held back with it.
#[test]
fn an_older_configuration_does_not_come_back() {
    let config = |store: u64, number: u64| OperatorChange {
        version: store,
        row: OperatorRow::Config(FleetConfig::new(number)),
    };
    let number = |view: &OperatorView| view.config().map(|config| config.version());
    let mut view = OperatorView::new();
    view.replace(vec![config(version(0, 90), 6)], version(0, 95), at(0));
    view.replace(vec![config(version(1, 40), 4)], version(1, 50), at(100));
    assert_eq!(number(&view), Some(6));
    assert_eq!(view.age_ms(at(100)), Some(0), "the table is known");
    view.apply(vec![config(version(1, 60), 6)], version(1, 60), at(200));
    view.apply(vec![config(version(1, 61), 7)], version(1, 61), at(300));
    assert_eq!(number(&view), Some(7));
}

/// Guards against an evacuation that ends because the copy is older than it.
#[test]
fn an_evacuation_stands_until_the_operator_ends_it() {
    let mut view = OperatorView::new();
    let evacuated = OperatorChange { version: version(0, 9), row: OperatorRow::Evacuated(domain("a")) };
    view.apply(vec![evacuated], version(0, 9), at(0));
    let kept = view.evacuation_changes(version(1, 5));
    view.replace(kept, version(1, 5), at(10));
    assert!(view.is_evacuated(&domain("a")));
    let ended = OperatorChange { version: version(1, 8), row: OperatorRow::Reinstated(domain("a")) };
    view.apply(vec![ended], version(1, 8), at(20));
    assert!(!view.is_evacuated(&domain("a")));
}

/// Guards against a sound upstream that is kept out of use, because its entry had lapsed and come back before.
#[test]
fn an_upstream_that_came_back_stays_in_use_over_a_return() {
    let mut book = UpstreamRegistry::new();
    let entry_at = |version: u64| UpstreamEntry { version, ..entry("e1", "s", &["a"]) };
    book.put(entry_at(version(0, 9)), at(0));
    book.remove(&upstream("e1"), false, at(10));
    book.put(entry_at(version(0, 12)), at(500));
    book.exclude_departed(at(1_000));
    assert!(book.accepts(&upstream("e1"), &[], at(1_000)));
}

/// Guards against an upstream that leaves, or has gone, and is ready again in an older copy; and against one that has
/// started anew and is kept out of use with it.
#[rstest]
#[case::leaves(true, 1, false)]
#[case::gone(false, 1, false)]
#[case::another_start(false, 2, true)]
fn what_has_left_stays_out_of_use_over_a_return(
    #[case] draining: bool,
    #[case] born: u64,
    #[case] accepted: bool,
) {
    let entry_at = |version: u64, born: u64, draining: bool| UpstreamEntry {
        version,
        born,
        draining,
        ..entry("e1", "s", &["a"])
    };
    let mut book = UpstreamRegistry::new();
    book.put(entry_at(version(0, 9), 1, draining), at(0));
    if !draining {
        book.remove(&upstream("e1"), false, at(10));
    }
    book.exclude_departed(at(1_000));
    book.put(entry_at(version(1, 5), born, false), at(1_000));
    book.put(entry_at(version(1, 7), born, false), at(3_000));
    assert_eq!(book.accepts(&upstream("e1"), &[], at(3_000)), accepted);
}
