//! A store that is restored from an older backup.

use cowslip_entry::{
    EraFault, EraTracker, FleetConfig, OperatorChange, OperatorRow, OperatorView, UpstreamEntry,
    UpstreamRegistry,
};
use cowslip_units::StoreEra;
use rstest::rstest;

use crate::fixtures::{at, domain, entry, upstream};

fn era(number: u64) -> StoreEra {
    StoreEra::new(number)
}

fn version(era: u64, raw_version: u64) -> u64 {
    StoreEra::new(era).version(raw_version).expect("a version")
}

/// Guards against a garbled header that makes all later answers look outdated, against a late answer that is
/// used, and against answers without an era that stop a gateway.
#[rstest]
#[case::rises(&[Some(1), Some(1)], Ok(era(1)))]
#[case::carried_once(&[Some(1)], Err(EraFault::NotConfirmed(era(1))))]
#[case::garbled_once(&[Some(7), Some(0)], Ok(era(0)))]
#[case::garbled_twice(&[Some(7), Some(9)], Err(EraFault::NotConfirmed(era(9))))]
#[case::late(&[Some(1), Some(1), Some(0)], Err(EraFault::Over(era(0))))]
#[case::not_carried(&[Some(1), Some(1), None], Ok(era(1)))]
#[case::some_missed(&[Some(3), Some(3)], Ok(era(3)))]
fn an_era_is_accepted_after_two_answers(
    #[case] carried: &[Option<u64>],
    #[case] expected: Result<StoreEra, EraFault>,
) {
    let mut tracker = EraTracker::default();
    let last = carried.iter().map(|era_number| tracker.take(era_number.map(era))).last();
    assert_eq!(last, Some(expected));
}

/// Guards against a version number assigned a second time that counts as the older one, or as the same.
#[test]
fn versions_are_ordered_across_eras() {
    assert!(version(0, 900) < version(1, 5) && version(1, 5) < version(1, 6));
    assert_eq!((StoreEra::of(version(3, 8)), StoreEra::raw_version(version(3, 8))), (era(3), 8));
    assert_eq!(era(0).version(1 << 44), None);
}

/// Guards against a withdrawn key that becomes valid again with the configuration of an older backup, and
/// against dropping the operator's next change together with that configuration.
#[test]
fn an_older_configuration_is_not_restored() {
    let config = |store: u64, number: u64| OperatorChange {
        version: store,
        row: OperatorRow::Config(FleetConfig::new(number)),
    };
    let number = |view: &OperatorView| view.config().map(|config| config.version());
    let mut view = OperatorView::new();
    view.replace(vec![config(version(0, 90), 6)], version(0, 95), at(0));
    view.replace(vec![config(version(1, 40), 4)], version(1, 50), at(100));
    assert_eq!(number(&view), Some(6));
    assert_eq!(view.age_ms(at(100)), Some(0), "the read still confirms the view");
    view.apply(vec![config(version(1, 60), 6)], version(1, 60), at(200));
    view.apply(vec![config(version(1, 61), 7)], version(1, 61), at(300));
    assert_eq!(number(&view), Some(7));
}

/// Guards against an evacuation that ends because the backup is older than it.
#[test]
fn an_evacuation_lasts_until_the_operator_ends_it() {
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

/// Guards against excluding a healthy upstream because its entry had expired and come back before.
#[test]
fn a_returned_upstream_stays_in_use_after_a_restore() {
    let mut registry = UpstreamRegistry::new();
    let entry_at = |version: u64| UpstreamEntry { version, ..entry("e1", "s", &["a"]) };
    registry.put(entry_at(version(0, 9)), at(0));
    registry.remove(&upstream("e1"), false, at(10));
    registry.put(entry_at(version(0, 12)), at(500));
    registry.exclude_departed(at(1_000));
    assert!(registry.can_accept(&upstream("e1"), &[], at(1_000)));
}

/// Guards against an upstream that is leaving or has departed and is ready again in an older backup, and
/// against excluding its next incarnation with it.
#[rstest]
#[case::leaving(true, 1, false)]
#[case::departed(false, 1, false)]
#[case::another_incarnation(false, 2, true)]
fn departed_upstreams_stay_excluded_after_a_restore(
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
    let mut registry = UpstreamRegistry::new();
    registry.put(entry_at(version(0, 9), 1, draining), at(0));
    if !draining {
        registry.remove(&upstream("e1"), false, at(10));
    }
    registry.exclude_departed(at(1_000));
    registry.put(entry_at(version(1, 5), born, false), at(1_000));
    registry.put(entry_at(version(1, 7), born, false), at(3_000));
    assert_eq!(registry.can_accept(&upstream("e1"), &[], at(3_000)), accepted);
}
