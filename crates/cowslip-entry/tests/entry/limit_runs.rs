//! Randomised simulations of the limits that all gateways keep together: slow start of upstreams, and
//! retries.

use std::collections::VecDeque;

use cowslip_entry::{RetryLimit, RetryThrottle, SlowStartGate, SlowStartLimit, hash_rank, text_hash};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};

use crate::fixtures::at;
use crate::grant_runs::seeds;

const LIMIT: SlowStartLimit = SlowStartLimit { overrun: 1.5, tolerance: 5.0 };

fn names(members: usize) -> Vec<SmolStr> {
    (0..members).map(|number| format_smolstr!("g{number:03}")).collect()
}

/// Most sends to a warming-up upstream in any second, and all sends; with `share` false every gateway uses
/// the whole rate.
fn slow_start_run(seed: u64, members: usize, per_s: f64, share: bool) -> (usize, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let names = names(members);
    let key = text_hash(&format!("upstream-{seed}"));
    let mut gates = vec![SlowStartGate::default(); members];
    let mut sent: VecDeque<u64> = VecDeque::new();
    let (mut most, mut total) = (0, 0);
    for millis in 0..6_000_u64 {
        for (number, gate) in gates.iter_mut().enumerate() {
            if !random.random_bool(0.2) {
                continue;
            }
            let now = at(millis);
            let (rank, size) = if share { (hash_rank(key, &names[number], &names), members) } else { (0, 1) };
            if gate.wait_ms(LIMIT, per_s, rank, size, now) == Some(0) {
                gate.record_send(LIMIT, per_s, size, now);
                sent.push_back(millis);
                total += 1;
            }
        }
        while sent.front().is_some_and(|when| when + 1_000 <= millis) {
            sent.pop_front();
        }
        most = most.max(sent.len());
    }
    (most, total)
}

/// Guards against a warming-up upstream that crashes because each gateway sends at its full rate, and against
/// one that gets hardly any requests.
#[rstest]
#[case(8, 13.0)]
#[case(85, 13.0)]
#[case(350, 13.0)]
#[case(1, 13.0)]
#[case(9, 2.0)]
fn an_upstream_gets_its_slow_start_rate(#[case] members: usize, #[case] per_s: f64) {
    for seed in 0..seeds(4) {
        let (most, total) = slow_start_run(seed, members, per_s, true);
        let bound = (per_s * LIMIT.overrun + LIMIT.tolerance) as usize;
        assert!(most <= bound, "seed {seed}: {most} in a second, {bound} allowed");
        assert!(total as f64 >= per_s * 6.0 * 0.8, "seed {seed}: only {total} sent");
    }
}

/// The check must catch gateways that do not share the rate.
#[test]
fn gateways_that_do_not_share_are_caught() {
    assert!(slow_start_run(1, 8, 13.0, false).0 > 24);
}

const RETRIES: RetryLimit = RetryLimit { ratio: 0.2, extra: 56, window_ms: 10_000 };

/// The largest excess of retries over the ratio of requests in any window.
fn retry_run(seed: u64, members: usize, known_members: usize) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut budgets = vec![RetryThrottle::new(at(0)); members];
    let mut events: VecDeque<(u64, bool)> = VecDeque::new();
    let mut worst = f64::MIN;
    for millis in (0..40_000_u64).step_by(5) {
        for budget in &mut budgets {
            if random.random_bool(0.02) {
                budget.record_request(RETRIES, known_members);
                events.push_back((millis, false));
            }
            if random.random_bool(0.5) && budget.take(RETRIES, known_members, at(millis)) {
                events.push_back((millis, true));
            }
        }
        while events.front().is_some_and(|(when, _)| when + RETRIES.window_ms <= millis) {
            events.pop_front();
        }
        let repeats = events.iter().filter(|(_, repeat)| *repeat).count() as f64;
        let requests = events.len() as f64 - repeats;
        worst = worst.max(repeats - requests * RETRIES.ratio);
    }
    worst
}

/// Guards against a retry storm when every upstream fails: all gateways together stay within the budget.
#[rstest]
#[case(8)]
#[case(30)]
fn retries_stay_within_the_fleets_budget(#[case] members: usize) {
    for seed in 0..seeds(5) {
        let worst = retry_run(seed, members, members);
        assert!(worst <= RETRIES.extra as f64, "seed {seed}: {worst} retries beyond the ratio");
    }
}

/// The check must catch gateways that each use the whole budget.
#[test]
fn a_whole_budget_per_gateway_is_caught() {
    assert!(retry_run(1, 8, 1) > RETRIES.extra as f64);
}
