//! `cowslip-bench`: measures one kind of request, through a router or directly at an upstream.

use std::process::ExitCode;

use cowslip_load::{BenchOptions, BenchRunner, bench_command};
use cowslip_runtime::run_process;
use tokio::time::Instant;

/// Exit code when a request failed.
const FAILURE_EXIT_CODE: u8 = 1;
/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    match BenchOptions::new(&bench_command().get_matches()) {
        Ok(options) => run_process(run(options)),
        Err(error) => {
            eprintln!("cowslip-bench: {error}");
            ExitCode::from(USAGE_EXIT_CODE)
        }
    }
}

async fn run(options: BenchOptions) -> ExitCode {
    let start = Instant::now();
    let tally = BenchRunner::new(options).run().await;
    println!("{}", tally.to_line(start.elapsed()));
    for (reason, count) in tally.failures() {
        eprintln!("failed {count}: {reason}");
    }
    if tally.failures().is_empty() { ExitCode::SUCCESS } else { ExitCode::from(FAILURE_EXIT_CODE) }
}
