//! The fleet view under faults: withdrawn keys, order of versions, gained shares.

use cowslip_units::IncarnationId;

use crate::fleet_run::{FleetRun, NodeWork, Policy, Sheet, WorkEnv};
use crate::seeded_runs::{assert_caught, assert_holds};

const RUN_MS: u64 = 60_000;

/// A node that only follows the view.
struct NoWork;

impl NodeWork for NoWork {
    type Message = ();
    type Record = ();
    fn new(_: &IncarnationId, _: Policy) -> Self {
        Self
    }
    fn configure(&mut self, _: &Sheet, _: &mut WorkEnv<'_, Self>) {}
    fn tick(&mut self, _: &mut WorkEnv<'_, Self>) {}
    fn load(&mut self, _: &mut WorkEnv<'_, Self>) {}
    fn message(&mut self, _: &IncarnationId, (): (), _: &mut WorkEnv<'_, Self>) {}
}

fn run_with_faults(rng: rand_chacha::ChaCha8Rng, policy: Policy) -> Result<(), String> {
    FleetRun::<NoWork>::new(rng, policy, vec![Sheet::default(); 5]).run(RUN_MS)
}

fn domain_switched(rng: rand_chacha::ChaCha8Rng, policy: Policy) -> Result<(), String> {
    FleetRun::<NoWork>::new(rng, policy, vec![Sheet::default(); 5]).with_domain_switches().run(RUN_MS)
}

/// The store is down for all nodes half of the time, without other faults.
fn outage(rng: rand_chacha::ChaCha8Rng, policy: Policy) -> Result<(), String> {
    let run = FleetRun::<NoWork>::new(rng, policy, vec![Sheet::default(); 5]);
    let mut run = run.with_outage_only(20_000, 50_000);
    run.run(RUN_MS)?;
    let least = run.admitted_fractions().into_iter().fold(1.0, f64::min);
    if least < 0.95 { Err(format!("a node admitted {least:.2} of the time")) } else { Ok(()) }
}

/// Guards against a withdrawn key that is admitted after the view window, a view whose version decreases, two
/// different views at one version, and a gain that is used while a confirmed node lacks the change.
#[test]
fn views_are_confirmed_and_ordered() {
    assert_holds("views_are_confirmed_and_ordered", 6, |rng| run_with_faults(rng, Policy::Shipped));
}

/// Guards against a confirmed node that still sends work to a failure domain one view window after it was
/// taken out.
#[test]
fn a_domain_out_takes_effect_within_the_window() {
    assert_holds("a_domain_out_takes_effect_within_the_window", 8, |rng| {
        domain_switched(rng, Policy::Shipped)
    });
}

/// Guards against rejections of keyed requests while the store is down for all nodes.
#[test]
fn requests_are_admitted_while_the_store_is_down() {
    assert_holds("requests_are_admitted_while_the_store_is_down", 2, |rng| outage(rng, Policy::Shipped));
}

#[test]
fn confirmation_by_arrival_time_is_caught() {
    // Seeds 0 to 7 do not catch it: all answers must be late while a push is lost.
    assert_caught(0..100, "admits a key withdrawn", |rng| run_with_faults(rng, Policy::AnswerTime));
}

#[test]
fn confirmation_by_any_peer_is_caught() {
    assert_caught(0..100, "admits a key withdrawn", |rng| run_with_faults(rng, Policy::AnyPeer));
}

#[test]
fn gains_without_delay_are_caught() {
    assert_caught(0..100, "while another uses its gain", |rng| run_with_faults(rng, Policy::NoHandoffDelay));
}

#[test]
fn confirmation_by_store_only_is_caught() {
    assert_caught(0..100, "a node admitted", |rng| outage(rng, Policy::StoreOnly));
}

#[test]
fn work_for_a_domain_out_by_any_peer_is_caught() {
    assert_caught(0..60, "sends work to a domain taken out", |rng| domain_switched(rng, Policy::AnyPeer));
}

#[test]
fn a_view_that_goes_back_is_caught() {
    assert_caught(0..20, "went from", |rng| run_with_faults(rng, Policy::AnySnapshot));
}
