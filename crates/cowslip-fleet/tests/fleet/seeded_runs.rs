//! Runs a property for many seeds.

use cowslip_units::drain_violations;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn run_seed(seed: u64, run: &impl Fn(ChaCha8Rng) -> Result<(), String>) -> Result<(), String> {
    drain_violations();
    let result = run(ChaCha8Rng::seed_from_u64(seed));
    let violations = drain_violations();
    result?;
    if violations.is_empty() { Ok(()) } else { Err(format!("assertions failed: {violations:?}")) }
}

/// Runs the seeds given by the environment, or `default_seeds` of them, and panics at the first seed that
/// fails.
pub(crate) fn assert_holds(test: &str, default_seeds: u64, run: impl Fn(ChaCha8Rng) -> Result<(), String>) {
    let seeds = match number("COWSLIP_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("COWSLIP_SEEDS").unwrap_or(default_seeds),
    };
    for seed in seeds {
        if let Err(fault) = run_seed(seed, &run) {
            panic!(
                "seed {seed}: {fault}\nreplay: COWSLIP_SEED={seed} cargo test -p cowslip-fleet --test fleet {test}"
            );
        }
    }
}

/// Checks that the checker used by [`assert_holds`] detects a broken policy within these seeds.
pub(crate) fn assert_caught(
    seeds: std::ops::Range<u64>,
    expected: &str,
    run: impl Fn(ChaCha8Rng) -> Result<(), String>,
) {
    let mut seen = Vec::new();
    for seed in seeds.clone() {
        match run_seed(seed, &run) {
            Err(fault) if fault.contains(expected) => {
                println!("caught at seed {seed}: {fault}");
                return;
            }
            Err(fault) => seen.push(fault),
            Ok(()) => {}
        }
    }
    panic!("the broken policy was not caught as {expected:?} in seeds {seeds:?}; seen: {seen:?}");
}
