//! The view of the operators' table: versions and freshness.

use cowslip_entry::{FleetConfig, OperatorChange, OperatorRow, OperatorView};
use rstest::rstest;

use crate::names::{at, domain};

fn config(store: u64, version: u64) -> OperatorChange {
    OperatorChange { version: store, row: OperatorRow::Config(FleetConfig::new(version)) }
}

fn evacuated(store: u64, name: &str) -> OperatorChange {
    OperatorChange { version: store, row: OperatorRow::Evacuated(domain(name)) }
}

fn version(view: &OperatorView) -> Option<u64> {
    view.config().map(|config| config.version())
}

/// Guards against a late answer that takes an accepted configuration back.
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
    assert_eq!(view.age_ms(at(300)), Some(100), "an older version proves nothing about the newer one");
}

/// Guards against freshness that is dated by the arrival of an answer that was long on its way.
#[test]
fn freshness_is_dated_by_the_call() {
    let mut view = OperatorView::new();
    assert_eq!(view.age_ms(at(0)), None);
    view.apply(vec![config(5, 3)], 5, at(1_000));
    assert_eq!(view.age_ms(at(13_700)), Some(12_700));
    view.confirm(5, at(500));
    assert_eq!(view.age_ms(at(13_700)), Some(12_700), "an older proof does not make it older");
    assert!(!view.confirm(6, at(13_000)));
    assert_eq!(view.age_ms(at(13_700)), Some(12_700), "a change that is not known proves nothing");
    view.confirm(5, at(13_000));
    assert_eq!(view.age_ms(at(13_700)), Some(700));
}

/// Guards against an evacuation that is forgotten, or that outlives its row, when the history was lost.
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

/// Guards against an unreadable configuration that takes the last good one out of force.
#[test]
fn an_unreadable_row_leaves_the_last_configuration() {
    let mut view = OperatorView::new();
    view.apply(vec![config(1, 1)], 1, at(0));
    view.apply(vec![OperatorChange { version: 4, row: OperatorRow::Ignored }], 4, at(10));
    assert_eq!(version(&view), Some(1));
    assert_eq!(view.age_ms(at(10)), Some(0));
}

/// Guards against a view that counts as fresh by the first of several pages: a withdrawn key may stand on the next one.
#[test]
fn a_part_of_the_changes_proves_nothing() {
    let mut view = OperatorView::new();
    view.apply(vec![config(1, 1)], 1, at(0));
    let outcome = view.apply_part(vec![config(4, 2)], 4);
    assert_eq!((outcome.config, version(&view)), (Some(2), Some(2)));
    assert_eq!(view.age_ms(at(1_000)), Some(1_000));
    view.apply(vec![config(9, 3)], 9, at(900));
    assert_eq!(view.age_ms(at(1_000)), Some(100));
}
