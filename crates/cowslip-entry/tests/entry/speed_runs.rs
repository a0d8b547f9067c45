//! What the leader learns of the weight store's speed, in virtual time: a store that serves some loads at full speed and slows
//! all down in proportion beyond that, and a leader that begins as many as it believes to run at full speed.

use cowslip_entry::StoreSpeed;
use cowslip_units::{ModelId, UpstreamId};
use rstest::rstest;

use crate::names::{at, model, upstream};

const ALONE_MS: u64 = 7_800;
const STEP_MS: u64 = 20;
/// Time in ms after which the leader knows that a load has ended.
const FOUND_MS: u64 = 450;

struct Load {
    upstream: UpstreamId,
    model: ModelId,
    /// Part of the load that is done, in ms at full speed.
    done_ms: f64,
    ended_at: Option<u64>,
}

/// Plays `length_ms` with as many loads as `wanted` allows; the estimate then, and the loads that ended.
fn play(first: usize, truth: usize, length_ms: u64, wanted: impl Fn(&StoreSpeed) -> usize) -> (usize, usize) {
    let mut speed = StoreSpeed::new(first, at(0));
    let mut loads: Vec<Load> = Vec::new();
    let (mut number, mut finished) = (0, 0);
    for millis in (0..length_ms).step_by(STEP_MS as usize) {
        let active = loads.iter().filter(|load| load.ended_at.is_none()).count();
        let part = (truth as f64 / active.max(1) as f64).min(1.0);
        for load in loads.iter_mut().filter(|load| load.ended_at.is_none()) {
            load.done_ms += STEP_MS as f64 * part;
            load.ended_at = (load.done_ms >= ALONE_MS as f64).then_some(millis);
        }
        let found = |load: &Load| load.ended_at.is_some_and(|ended| millis >= ended + FOUND_MS);
        finished += loads.iter().filter(|load| found(load)).count();
        loads.retain(|load| !found(load));
        while loads.len() < wanted(&speed) {
            number += 1;
            let name = format!("e{number}");
            loads.push(Load { upstream: upstream(&name), model: model("m"), done_ms: 0.0, ended_at: None });
        }
        let running: Vec<(&UpstreamId, &ModelId)> =
            loads.iter().map(|load| (&load.upstream, &load.model)).collect();
        speed.follow(&running, |_, _| Some(ALONE_MS), at(millis));
    }
    (speed.at_once(), finished)
}

/// Guards against a leader that begins more loads at once than the store serves, so that each takes several times as long,
/// or fewer, so that the store is idle while models are missing.
#[rstest]
#[case::fewer(4, 2)]
#[case::much_fewer(8, 1)]
#[case::as_assumed(4, 4)]
#[case::more(4, 8)]
fn the_store_s_speed_is_learnt(#[case] first: usize, #[case] truth: usize) {
    // One more than is believed, so that a faster store is noticed.
    let (at_once, _) = play(first, truth, 120_000, |speed| speed.at_once() + 1);
    assert!(at_once.abs_diff(truth) <= 1, "{at_once} instead of {truth}");
}

/// Guards against a leader that takes a slow store's loads for being due when they would be alone.
#[test]
fn a_load_beside_others_is_expected_later() {
    let mut speed = StoreSpeed::new(2, at(0));
    assert_eq!(speed.expected_ms(ALONE_MS), ALONE_MS);
    let (first, second, third) = (upstream("e1"), upstream("e2"), upstream("e3"));
    let name = model("m");
    speed.follow(&[(&first, &name), (&second, &name), (&third, &name)], |_, _| None, at(0));
    assert_eq!(speed.expected_ms(ALONE_MS), 2 * ALONE_MS);
}

/// Guards against an estimate that follows loads which did not come from the store, or were not carried out.
#[rstest]
#[case::from_the_disk(1_200, Some(ALONE_MS))]
#[case::not_carried_out(40_000, None)]
fn other_ends_teach_nothing(#[case] took_ms: u64, #[case] alone_ms: Option<u64>) {
    let mut speed = StoreSpeed::new(4, at(0));
    let (id, name) = (upstream("e1"), model("m"));
    speed.follow(&[(&id, &name)], |_, _| None, at(0));
    speed.follow(&[], |_, _| alone_ms, at(took_ms));
    assert_eq!(speed.at_once(), 4);
}
