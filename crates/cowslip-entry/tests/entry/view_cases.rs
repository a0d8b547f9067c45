//! The view of the operators' table: versions and freshness.

use cowslip_entry::{FleetConfig, OperatorChange, OperatorRow, OperatorView};
use rstest::rstest;

use crate::fixtures::{at, domain};

fn config(store: u64, version: u64) -> OperatorChange {
    OperatorChange { version: store, row: OperatorRow::Config(FleetConfig::new(version)) }
}

fn evacuated(store: u64, name: &str) -> OperatorChange {
    OperatorChange { version: store, row: OperatorRow::Evacuated(domain(name)) }
}

fn version(view: &OperatorView) -> Option<u64> {
    view.config().map(|config| config.version())
}

/// Guards against a late answer that reverts an accepted configuration.
#[rstest]
#[case::feed(false)]
#[case::full_read(true)]
fn an_older_answer_changes_nothing(#[case] full: bool) {
    let mut view = OperatorView::new();
    view.apply(vec![config(5, 3)], 5, at(100));
    view.apply(vec![config(9, 4)], 9, at(200));
    let outcome = if full {
        view.replace(vec![config(5, 3)], 7, at(300))
    } else {
        view.apply(vec![config(5, 3)], 7, at(300))
    };
    assert_eq!(outcome.config, None);
    assert_eq!(version(&view), Some(4));
    assert_eq!(view.version(), 9);
    assert_eq!(view.age_ms(at(300)), Some(100), "an older version does not confirm the newer one");
}

/// Guards against freshness that counts from the arrival of an answer that was in transit for long.
#[test]
fn freshness_counts_from_the_call() {
    let mut view = OperatorView::new();
    assert_eq!(view.age_ms(at(0)), None);
    view.apply(vec![config(5, 3)], 5, at(1_000));
    assert_eq!(view.age_ms(at(13_700)), Some(12_700));
    view.confirm(5, at(500));
    assert_eq!(view.age_ms(at(13_700)), Some(12_700), "an older confirmation changes nothing");
    assert!(!view.confirm(6, at(13_000)));
    assert_eq!(view.age_ms(at(13_700)), Some(12_700), "a change missing in the view confirms nothing");
    view.confirm(5, at(13_000));
    assert_eq!(view.age_ms(at(13_700)), Some(700));
}

/// Guards against an evacuation that is lost, or that outlives its row, when the feed's history was lost.
#[test]
fn a_full_read_replaces_the_evacuations() {
    let mut view = OperatorView::new();
    view.apply(vec![config(1, 1), evacuated(2, "a"), evacuated(3, "b")], 3, at(0));
    let outcome = view.replace(vec![config(1, 1), evacuated(3, "b"), evacuated(8, "c")], 8, at(10));
    assert_eq!(outcome.reinstated, vec![domain("a")]);
    assert_eq!(outcome.evacuated, vec![domain("c")]);
    assert!(!view.is_evacuated(&domain("a")));
    assert!(view.is_evacuated(&domain("b")));
    assert!(view.is_evacuated(&domain("c")));
}

/// Guards against an unreadable configuration that replaces the last readable one.
#[test]
fn an_unreadable_row_leaves_the_last_configuration() {
    let mut view = OperatorView::new();
    view.apply(vec![config(1, 1)], 1, at(0));
    view.apply(vec![OperatorChange { version: 4, row: OperatorRow::Ignored }], 4, at(10));
    assert_eq!(version(&view), Some(1));
    assert_eq!(view.age_ms(at(10)), Some(0));
}

/// Guards against a view that counts as fresh after the first of several pages: a withdrawn key may be on the
/// next one.
#[test]
fn a_part_of_the_changes_confirms_nothing() {
    let mut view = OperatorView::new();
    view.apply(vec![config(1, 1)], 1, at(0));
    let outcome = view.apply_part(vec![config(4, 2)], 4);
    assert_eq!((outcome.config, version(&view)), (Some(2), Some(2)));
    assert_eq!(view.age_ms(at(1_000)), Some(1_000));
    view.apply(vec![config(9, 3)], 9, at(900));
    assert_eq!(view.age_ms(at(1_000)), Some(100));
}
