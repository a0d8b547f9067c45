//! `cowslip-capacity`: prints the measured slopes used in docs/CAPACITY.md.

use std::process::ExitCode;

use cowslip_capacity::{MemoryCase, MemoryProbe, RunPlan, capacity_command, run_capacity};

/// Exit code when a measurement failed.
const FAILURE_EXIT_CODE: u8 = 1;
/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let matches = capacity_command().get_matches();
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let plan = RunPlan { seed, quick: matches.get_flag("quick") };
    if let Some(point) = matches.get_one::<String>("memory-point") {
        return memory_point(point, &plan);
    }
    let parts: Vec<&str> =
        matches.get_many::<String>("part").unwrap_or_default().map(String::as_str).collect();
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return fault(&error.to_string()),
    };
    let probe = MemoryProbe::new(program);
    let report = match run_capacity(&plan, &parts, &probe, |part| eprintln!("measuring {part}")) {
        Ok(report) => report,
        Err(error) => return fault(&error.to_string()),
    };
    if !matches.get_flag("json") {
        print!("{report}");
        return ExitCode::SUCCESS;
    }
    match serde_json::to_string_pretty(&report) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => fault(&error.to_string()),
    }
}

fn memory_point(point: &str, plan: &RunPlan) -> ExitCode {
    let parsed = point.split_once(':').and_then(|(name, size)| {
        let case = MemoryCase::ALL.iter().find(|case| case.as_str() == name)?;
        Some((*case, size.parse::<usize>().ok()?))
    });
    let Some((case, size)) = parsed else {
        eprintln!("cowslip-capacity: {point:?} is not a memory point, expected CASE:SIZE");
        return ExitCode::from(USAGE_EXIT_CODE);
    };
    println!("{}", case.measure(size, plan));
    ExitCode::SUCCESS
}

fn fault(message: &str) -> ExitCode {
    eprintln!("cowslip-capacity: {message}");
    ExitCode::from(FAILURE_EXIT_CODE)
}
