//! Seeded simulations in virtual time. `COWSLIP_SEEDS` sets the number of seeds, `COWSLIP_SEED` replays one
//! of them.

mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};

use rstest::rstest;
use world::{Variant, World};

const DEFAULT_SEEDS: u64 = 24;
/// Length of the phase with injected faults, in virtual ms.
const FAULT_PHASE_MS: u64 = 60_000;
/// Longest wait for a model without faults, in virtual ms.
const FAULTLESS_WAIT_MS: u64 = 30_000;

fn seeds() -> Vec<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match number("COWSLIP_SEED") {
        Some(seed) => vec![seed],
        None => (1..=number("COWSLIP_SEEDS").unwrap_or(DEFAULT_SEEDS)).collect(),
    }
}

/// Guards against undecided replicas, overcommitted memory, loads without callers, and models that are never
/// loaded although there is enough memory.
#[test]
fn invariants_hold_under_faults() {
    let mut loads = 0;
    for seed in seeds() {
        let run = catch_unwind(AssertUnwindSafe(|| {
            let mut world = World::new(seed, Variant::Unmodified);
            world.run(FAULT_PHASE_MS);
            assert!(world.faults.is_empty(), "{:?} at {} ms", world.faults, world.now);
            world.end_faults();
            world.run(15_000);
            for name in world.names() {
                let end = world.now + FAULTLESS_WAIT_MS;
                world.call(0, &name, FAULTLESS_WAIT_MS * 2);
                while !world.is_served(&name) && !world.is_refused(&name) && world.now < end {
                    world.run(100);
                }
                assert!(world.now < end, "{name} was never loaded: {:#?}", world.explain(&name));
                world.run(1_000);
            }
            assert!(world.faults.is_empty(), "{:?} at {} ms", world.faults, world.now);
            world.loads
        }));
        match run {
            Ok(count) => loads += count,
            Err(panic) => {
                eprintln!("replay with COWSLIP_SEED={seed}");
                std::panic::resume_unwind(panic);
            }
        }
    }
    assert!(loads > 0, "the runs loaded nothing");
}

/// Guards against a checker that would accept a wrong ledger: each faulty variant must be detected.
#[rstest]
#[case(Variant::FreesOnOrder)]
#[case(Variant::DropsOrdersOnTakeover)]
#[case(Variant::IgnoresReportSequence)]
fn faulty_variant_is_detected(#[case] variant: Variant) {
    let caught = (1..=20).find_map(|seed| {
        let mut world = World::new(seed, variant);
        world.run(FAULT_PHASE_MS);
        let fault = world.faults.iter().find(|fault| !fault.starts_with("assertion"))?;
        Some(format!("caught at seed {seed}: {fault}"))
    });
    println!("{variant:?} {}", caught.as_deref().unwrap_or("is not caught"));
    assert!(caught.is_some(), "{variant:?} passed 20 seeds");
}
