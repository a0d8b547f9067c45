//! Open-loop load generator and benchmark.
//!
//! The load generator draws a plan from a seed before the first request, and sends every request at its
//! planned time regardless of how slow the responses are. It verifies while it measures: every response must
//! be complete and match its request, and at the end the upstreams' journals must show no second execution of
//! a non-idempotent request.
//!
//! The benchmark (`cowslip-bench`) measures one kind of request at a time, through a router or directly at an
//! upstream.

mod bench_kind;
mod bench_options;
mod bench_runner;
mod bench_tally;
mod call_outcome;
mod call_runner;
mod event_reader;
mod expected_text;
mod health_checker;
mod idle_meter;
mod journal_check;
mod load_options;
mod load_plan;
mod load_report;
mod rate_account;

pub use bench_kind::BenchKind;
pub use bench_options::{BenchOptions, bench_command};
pub use bench_runner::BenchRunner;
pub use bench_tally::BenchTally;
pub use call_outcome::{CallOutcome, CallResult};
pub use call_runner::CallRunner;
pub use event_reader::EventReader;
pub use expected_text::{expected_text, prompt_digest};
pub use health_checker::HealthChecker;
pub use idle_meter::IdleMeter;
pub use journal_check::{JournalCheck, JournalFault};
pub use load_options::{LoadOptions, OptionError, load_command};
pub use load_plan::{CallKind, LoadPlan, PlannedCall, TeamTarget};
pub use load_report::{LoadReport, TeamStats};
pub use rate_account::RateAccount;
