//! What a leader tells of upstreams, and what a gateway takes from it.

use cowslip_entry::{
    LeaderUpdates, LeaseRenewal, UpdateBatch, UpdateCursors, UpstreamEntry, UpstreamRegistry, UpstreamUpdate,
    ViewFreshness, last_renewal,
};
use rstest::rstest;
use smol_str::SmolStr;

use crate::names::{at, entry, upstream};

const IDS: [&str; 2] = ["e1", "e2"];

fn versioned(id: &str, version: u64, draining: bool) -> UpstreamEntry {
    UpstreamEntry { version, draining, ..entry(id, "s", &["a"]) }
}

fn book(entries: &[UpstreamEntry]) -> UpstreamRegistry {
    let mut book = UpstreamRegistry::new();
    for entry in entries {
        book.put(entry.clone(), at(0));
    }
    book
}

fn noted(book: &UpstreamRegistry, version: u64, proven_ms: u64) -> LeaderUpdates {
    let mut news = LeaderUpdates::new();
    news.note(vec![SmolStr::from("g1")], book, &[], at(proven_ms));
    news.record_freshness(version, Some(at(proven_ms)));
    news
}

fn taken(told: UpdateBatch, version: u64) -> UpstreamUpdate {
    UpstreamUpdate { entries: told.upstreams, version, fresh: told.fresh }
}

fn names(book: &UpstreamRegistry) -> Vec<(String, bool)> {
    book.all().iter().map(|known| (known.entry.id.to_string(), known.entry.draining)).collect()
}

/// Guards against an empty list of upstreams from a leader that has not looked yet: it was taken as all there are.
#[test]
fn a_leader_that_noted_nothing_defers() {
    let told = LeaderUpdates::new().updates_since(false, UpdateCursors::default());
    assert!(told.deferred && !told.fresh);
}

/// Guards against a date that is newer than the news: a gateway would send to an upstream that leaves for as long as the
/// leader's next plan takes.
#[test]
fn news_are_as_old_as_when_they_were_noted() {
    let news = noted(&book(&[versioned("e1", 3, false)]), 7, 1_000);
    let view = ViewFreshness {
        version: 9,
        upstream_version: 9,
        upstream_age_ms: Some(10),
        ..ViewFreshness::default()
    };
    let stamp = news.stamp(view, at(1_400));
    assert_eq!((stamp.upstream_version, stamp.upstream_age_ms, stamp.version), (7, Some(400), 9));
}

/// Guards against a fleet of gateways that all get everything between two plans.
#[test]
fn only_some_are_told_everything_between_two_plans() {
    let mut news = noted(&book(&[versioned("e1", 3, false)]), 7, 0);
    let whole = (0..5).filter(|_| !news.updates_since(false, UpdateCursors::default()).deferred).count();
    assert_eq!(whole, 2);
    assert!(!news.updates_since(true, UpdateCursors::default()).deferred);
}

/// Guards against a new leader of a large fleet that plans seldom and tells a few gateways each time: the others knew of
/// no change but what they read themselves, for fifteen seconds.
#[rstest]
#[case::often(30)]
#[case::seldom(170)]
fn a_large_fleet_is_told_everything_within_some_seconds(#[case] plan_ms: u64) {
    let names: Vec<String> = (0..320).map(|number| format!("e{number}")).collect();
    let entries: Vec<UpstreamEntry> = names.iter().map(|name| versioned(name, 3, false)).collect();
    let book = book(&entries);
    let mut news = LeaderUpdates::new();
    let (mut told, mut now) = (0, 0);
    while told < 295 {
        now += plan_ms;
        news.note(vec![SmolStr::from("g1")], &book, &[], at(now));
        told +=
            (0..295 - told).filter(|_| !news.updates_since(false, UpdateCursors::default()).deferred).count();
    }
    assert!(now <= 4_000, "{now} ms");
}

/// Guards against a new leader's older knowledge undoing what a gateway has read itself: that an upstream leaves, has
/// gone, or has come.
#[rstest]
#[case::leaves(&[versioned("e1", 8, true), versioned("e2", 2, false)], &[("e1", true), ("e2", false)])]
#[case::gone(&[versioned("e2", 2, false)], &[("e2", false)])]
#[case::came(&[versioned("e1", 3, false), versioned("e2", 2, false), versioned("e3", 9, false)],
    &[("e1", false), ("e2", false), ("e3", false)])]
fn older_news_undo_nothing(#[case] own: &[UpstreamEntry], #[case] expected: &[(&str, bool)]) {
    let mut leader = noted(&book(&[versioned("e1", 3, false), versioned("e2", 2, false)]), 5, 0);
    let mut own = book(own);
    own.take_news(taken(leader.updates_since(false, UpdateCursors::default()), 5), 10, at(100));
    let expected: Vec<(String, bool)> =
        expected.iter().map(|(name, draining)| ((*name).to_owned(), *draining)).collect();
    assert_eq!(names(&own), expected);
}

/// Guards against news that are no longer taken: what the leader knows later goes before what is known here.
#[test]
fn newer_news_are_taken() {
    let mut leader = noted(&book(&[versioned("e1", 12, true), versioned("e3", 11, false)]), 13, 0);
    let mut own = book(&IDS.map(|id| versioned(id, 2, false)));
    own.take_news(taken(leader.updates_since(false, UpdateCursors::default()), 13), 10, at(100));
    assert_eq!(names(&own), [("e1".to_owned(), true), ("e3".to_owned(), false)]);
}

/// Guards against a removal that is not passed on, and against one that is older than the upstream's return.
#[rstest]
#[case::passed_on(2, 1)]
#[case::returned_since(20, 2)]
fn a_removal_is_taken_unless_a_later_entry_is_known(#[case] version: u64, #[case] left: usize) {
    let mut leader = noted(&book(&IDS.map(|id| versioned(id, 2, false))), 5, 0);
    let marks = leader.updates_since(false, UpdateCursors::default()).marks;
    leader.note(Vec::new(), &book(&[versioned("e1", 2, false)]), &[], at(50));
    let mut own = book(&[versioned("e1", 2, false), versioned("e2", version, false)]);
    own.take_news(taken(leader.updates_since(true, marks), 9), 5, at(100));
    assert_eq!(own.all().len(), left);
}

/// Guards against bytes to the whole fleet for each heartbeat, which brings a new version with the same content.
#[test]
fn a_heartbeat_is_no_news() {
    let mut upstreams = book(&[versioned("e1", 3, false)]);
    let mut leader = noted(&upstreams, 3, 0);
    let marks = leader.updates_since(false, UpdateCursors::default()).marks;
    upstreams.put(versioned("e1", 8, false), at(500));
    leader.note(Vec::new(), &upstreams, &[], at(500));
    assert!(leader.updates_since(true, marks).upstreams.is_empty());
    let known = upstreams.get(&upstream("e1")).expect("a known upstream");
    assert_eq!((known.entry.version, known.seen_version), (3, 8));
}

/// Guards against a last answer without a lease that makes a candidate forget when the lease was renewed: the fleet was
/// without a leader for 1.5 s longer, and a weak gateway took over.
#[rstest]
#[case::told(Some(LeaseRenewal { version: 9, age_ms: 200 }), Some((9, 800)))]
#[case::run_out(None, Some((7, 100)))]
fn a_told_renewal_is_kept_until_a_later_one(
    #[case] told: Option<LeaseRenewal>,
    #[case] expected: Option<(u64, u64)>,
) {
    let renewal = last_renewal(Some((7, at(100))), told, at(1_000));
    assert_eq!(renewal.map(|(version, when)| (version, when.millis())), expected);
}
