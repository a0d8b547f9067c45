//! Updates about upstreams that a leader sends, and how a gateway applies them.

use cowslip_entry::{
    HeldModel, LeaderUpdates, LeaseRenewal, ModelsLine, UpdateBatch, UpdateCursors, UpstreamEntry,
    UpstreamRegistry, UpstreamUpdate, ViewFreshness, last_renewal,
};
use rstest::rstest;
use smol_str::SmolStr;

use crate::fixtures::{at, entry, model, upstream};

const IDS: [&str; 2] = ["e1", "e2"];

fn versioned(id: &str, version: u64, draining: bool) -> UpstreamEntry {
    UpstreamEntry { version, draining, ..entry(id, "s", &["a"]) }
}

fn registry(entries: &[UpstreamEntry]) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::new();
    for entry in entries {
        registry.put(entry.clone(), at(0));
    }
    registry
}

fn recorded(registry: &UpstreamRegistry, version: u64, confirmed_ms: u64) -> LeaderUpdates {
    let mut updates = LeaderUpdates::new();
    updates.record_state(vec![SmolStr::from("g1")], registry, &[], at(confirmed_ms));
    updates.record_freshness(version, Some(at(confirmed_ms)));
    updates
}

fn update_of(batch: UpdateBatch, version: u64) -> UpstreamUpdate {
    UpstreamUpdate { entries: batch.upstreams, models: batch.models, version, fresh: batch.fresh }
}

fn names(registry: &UpstreamRegistry) -> Vec<(String, bool)> {
    registry.all().iter().map(|known| (known.entry.id.to_string(), known.entry.draining)).collect()
}

/// Guards against an empty snapshot from a leader that has recorded nothing yet: gateways removed all
/// upstreams.
#[test]
fn a_leader_without_a_recording_defers_updates() {
    let batch = LeaderUpdates::new().updates_since(false, true, UpdateCursors::default());
    assert!(batch.deferred && !batch.fresh);
}

/// Guards against updates with too late a date: a gateway would send requests to a leaving upstream for as
/// long as the leader's next plan takes.
#[test]
fn updates_are_as_old_as_their_recording() {
    let updates = recorded(&registry(&[versioned("e1", 3, false)]), 7, 1_000);
    let view = ViewFreshness {
        version: 9,
        upstream_version: 9,
        upstream_age_ms: Some(10),
        ..ViewFreshness::default()
    };
    let freshness = updates.recorded_freshness(view, at(1_400));
    assert_eq!((freshness.upstream_version, freshness.upstream_age_ms, freshness.version), (7, Some(400), 9));
}

/// Guards against sending full snapshots to the whole fleet between two plans.
#[test]
fn snapshots_between_two_plans_are_limited() {
    let mut updates = recorded(&registry(&[versioned("e1", 3, false)]), 7, 0);
    let snapshots =
        (0..5).filter(|_| !updates.updates_since(false, true, UpdateCursors::default()).deferred).count();
    assert_eq!(snapshots, 2);
    assert!(!updates.updates_since(true, true, UpdateCursors::default()).deferred);
}

/// Guards against a new leader of a large fleet that plans rarely and sends few snapshots each time: for 15
/// s, the other gateways got changes only by reading the store themselves.
#[rstest]
#[case::often(30)]
#[case::seldom(170)]
fn a_large_fleet_gets_snapshots_within_seconds(#[case] plan_ms: u64) {
    let names: Vec<String> = (0..320).map(|number| format!("e{number}")).collect();
    let entries: Vec<UpstreamEntry> = names.iter().map(|name| versioned(name, 3, false)).collect();
    let registry = registry(&entries);
    let mut updates = LeaderUpdates::new();
    let (mut served, mut now) = (0, 0);
    while served < 295 {
        now += plan_ms;
        updates.record_state(vec![SmolStr::from("g1")], &registry, &[], at(now));
        served += (0..295 - served)
            .filter(|_| !updates.updates_since(false, true, UpdateCursors::default()).deferred)
            .count();
    }
    assert!(now <= 4_000, "{now} ms");
}

/// Guards against updates of a new leader with an older view that undo what a gateway has read itself: that
/// an upstream is leaving, has departed, or was added.
#[rstest]
#[case::leaving(&[versioned("e1", 8, true), versioned("e2", 2, false)], &[("e1", true), ("e2", false)])]
#[case::departed(&[versioned("e2", 2, false)], &[("e2", false)])]
#[case::added(&[versioned("e1", 3, false), versioned("e2", 2, false), versioned("e3", 9, false)],
    &[("e1", false), ("e2", false), ("e3", false)])]
fn older_updates_undo_nothing(#[case] own: &[UpstreamEntry], #[case] expected: &[(&str, bool)]) {
    let mut leader = recorded(&registry(&[versioned("e1", 3, false), versioned("e2", 2, false)]), 5, 0);
    let mut own = registry(own);
    own.apply_update(update_of(leader.updates_since(false, true, UpdateCursors::default()), 5), 10, at(100));
    let expected: Vec<(String, bool)> =
        expected.iter().map(|(name, draining)| ((*name).to_owned(), *draining)).collect();
    assert_eq!(names(&own), expected);
}

/// Guards against ignored updates: the leader's later view replaces the gateway's.
#[test]
fn newer_updates_are_applied() {
    let mut leader = recorded(&registry(&[versioned("e1", 12, true), versioned("e3", 11, false)]), 13, 0);
    let mut own = registry(&IDS.map(|id| versioned(id, 2, false)));
    own.apply_update(update_of(leader.updates_since(false, true, UpdateCursors::default()), 13), 10, at(100));
    assert_eq!(names(&own), [("e1".to_owned(), true), ("e3".to_owned(), false)]);
}

/// Guards against a removal that is not forwarded, and against one that is older than the upstream's return.
#[rstest]
#[case::passed_on(2, 1)]
#[case::returned_since(20, 2)]
fn a_removal_is_applied_unless_a_later_entry_is_known(#[case] version: u64, #[case] left: usize) {
    let mut leader = recorded(&registry(&IDS.map(|id| versioned(id, 2, false))), 5, 0);
    let marks = leader.updates_since(false, true, UpdateCursors::default()).marks;
    leader.record_state(Vec::new(), &registry(&[versioned("e1", 2, false)]), &[], at(50));
    let mut own = registry(&[versioned("e1", 2, false), versioned("e2", version, false)]);
    own.apply_update(update_of(leader.updates_since(true, true, marks), 9), 5, at(100));
    assert_eq!(own.all().len(), left);
}

/// Guards against updates to the whole fleet for each heartbeat, which has a new version with the same
/// content.
#[test]
fn a_heartbeat_causes_no_update() {
    let mut upstreams = registry(&[versioned("e1", 3, false)]);
    let mut leader = recorded(&upstreams, 3, 0);
    let marks = leader.updates_since(false, true, UpdateCursors::default()).marks;
    upstreams.put(versioned("e1", 8, false), at(500));
    leader.record_state(Vec::new(), &upstreams, &[], at(500));
    assert!(leader.updates_since(true, true, marks).upstreams.is_empty());
    let known = upstreams.get(&upstream("e1")).expect("a known upstream");
    assert_eq!((known.entry.version, known.seen_version), (3, 8));
}

/// Guards against updates to the whole fleet for each change of the weights that an engine has a copy of, which only the
/// leader needs.
#[test]
fn a_change_of_copies_causes_no_update() {
    let mut upstreams = registry(&[versioned("e1", 3, false)]);
    let mut leader = recorded(&upstreams, 3, 0);
    let marks = leader.updates_since(false, true, UpdateCursors::default()).marks;
    let changed = UpstreamEntry { in_memory: vec![model("b")], ..versioned("e1", 8, false) };
    upstreams.put(changed, at(500));
    leader.record_state(Vec::new(), &upstreams, &[], at(500));
    let batch = leader.updates_since(true, true, marks);
    assert!(batch.upstreams.is_empty() && batch.models.is_empty(), "{batch:?}");
}

/// Guards against whole entries for each change of an engine's models: they were most of what a leader of 295 gateways
/// wrote. Gateways that do not read the short lines get whole entries.
#[rstest]
#[case::short(true)]
#[case::whole(false)]
fn changed_models_reach_gateways(#[case] reads_lines: bool) {
    let mut upstreams = registry(&[versioned("e1", 3, false), versioned("e2", 4, false)]);
    let mut leader = recorded(&upstreams, 4, 0);
    let first = leader.updates_since(false, reads_lines, UpdateCursors::default());
    let marks = first.marks;
    let mut own = UpstreamRegistry::new();
    own.apply_update(update_of(first, 4), 0, at(10));
    let mut changed = versioned("e1", 8, false);
    changed.models = vec![HeldModel { name: model("b"), adapters: vec!["x".into()] }];
    upstreams.put(changed.clone(), at(500));
    leader.record_state(Vec::new(), &upstreams, &[], at(500));
    let batch = leader.updates_since(true, reads_lines, marks);
    assert_eq!((batch.upstreams.is_empty(), batch.models.len()), (reads_lines, usize::from(reads_lines)));
    let text = serde_json::to_string(&batch.models).expect("text");
    assert!(!reads_lines || text == r#"[{"u":"e1","v":8,"m":[["b","x"]]}]"#, "{text}");
    let models = serde_json::from_str(&text).expect("lines");
    own.apply_update(UpstreamUpdate { models, ..update_of(batch, 8) }, 4, at(600));
    assert_eq!(own.get(&upstream("e1")).expect("a known upstream").entry, changed.without_copies());
}

/// Guards against a line of an older leader's view that undoes models read since.
#[test]
fn older_models_undo_nothing() {
    let mut own = registry(&[versioned("e1", 9, false)]);
    let line = ModelsLine { upstream: upstream("e1"), version: 8, models: Vec::new() };
    let update = UpstreamUpdate { models: vec![line], version: 8, ..UpstreamUpdate::default() };
    own.apply_update(update, 9, at(100));
    assert!(own.get(&upstream("e1")).expect("a known upstream").entry.holds(&model("a")));
}

/// Guards against an answer without a lease that makes a candidate drop the last renewal: the fleet had no
/// leader for 1.5 s longer, and a weak gateway took over.
#[rstest]
#[case::renewed(Some(LeaseRenewal { version: 9, age_ms: 200 }), Some((9, 800)))]
#[case::expired(None, Some((7, 100)))]
fn a_renewal_is_kept_until_a_later_one(
    #[case] received: Option<LeaseRenewal>,
    #[case] expected: Option<(u64, u64)>,
) {
    let renewal = last_renewal(Some((7, at(100))), received, at(1_000));
    assert_eq!(renewal.map(|(version, when)| (version, when.millis())), expected);
}
