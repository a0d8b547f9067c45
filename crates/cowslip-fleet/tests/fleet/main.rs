//! Unit tests of each state machine, and randomised runs with virtual time.
//!
//! `COWSLIP_SEEDS=n` runs n seeds for each property; `COWSLIP_SEED=s` replays one.

#![allow(clippy::unwrap_used, reason = "clippy.toml allows it in test functions, not in their helpers")]

mod claim_cases;
mod claim_runs;
mod fake_table;
mod fixtures;
mod fleet_run;
mod lease_cases;
mod lease_runs;
mod permit_cases;
mod permit_runs;
mod seeded_runs;
mod share_cases;
mod share_runs;
mod view_cases;
mod view_runs;
