//! `cowslip-load`: sends a seeded open-loop load to a running fleet and verifies the responses.

use std::process::ExitCode;
use std::time::Duration;

use cowslip_config::FleetSheet;
use cowslip_load::{
    CallRunner, HealthChecker, IdleMeter, JournalCheck, LoadOptions, LoadPlan, LoadReport, TeamTarget,
    load_command,
};
use cowslip_runtime::run_process;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Exit code when a response was wrong or missing, or a journal shows a violation.
const FAILURE_EXIT_CODE: u8 = 1;
/// Exit code for an invalid command line or sheet.
const USAGE_EXIT_CODE: u8 = 2;
/// Interval of progress lines in ms.
const PROGRESS_INTERVAL_MS: u64 = 5_000;

fn main() -> ExitCode {
    let matches = load_command().get_matches();
    let options = match LoadOptions::new(&matches) {
        Ok(options) => options,
        Err(error) => return usage_error(&error.to_string()),
    };
    let sheet = match read_sheet(&options) {
        Ok(sheet) => sheet,
        Err(message) => return usage_error(&message),
    };
    run_process(run(options, sheet))
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("cowslip-load: {message}");
    ExitCode::from(USAGE_EXIT_CODE)
}

fn read_sheet(options: &LoadOptions) -> Result<FleetSheet, String> {
    let path = options.sheet.display();
    let text = std::fs::read_to_string(&options.sheet).map_err(|error| format!("{path}: {error}"))?;
    FleetSheet::from_csv(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("{path}: {fault}")).collect();
        lines.join("\n")
    })
}

async fn run(options: LoadOptions, sheet: FleetSheet) -> ExitCode {
    let targets = TeamTarget::from_sheet(&sheet, &options);
    let plan = LoadPlan::new(&options, &targets);
    let health = HealthChecker::new(options.urls.clone());
    let runner = CallRunner::new(health.clone(), options.deadline_ms);
    tokio::spawn(health.run());
    let idle = IdleMeter::new(options.upstreams.clone());
    tokio::spawn(idle.clone().run(runner.clone()));
    let planned = plan.calls.len();
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let start = Instant::now();
    let sending = async {
        for call in plan.calls {
            tokio::time::sleep_until(start + Duration::from_millis(call.at_ms)).await;
            let target = targets[call.target].clone();
            let (runner, sender) = (runner.clone(), sender.clone());
            tokio::spawn(async move {
                let outcome = runner.run(&call, &target).await;
                // Cannot fail: the receiver is kept until every sender is dropped.
                let _ = sender.send(outcome);
            });
        }
        drop(sender);
    };
    let mut report = LoadReport::new(&sheet);
    let receiving = async {
        let mut ended = 0_usize;
        let mut reported_at = Instant::now();
        while let Some(outcome) = receiver.recv().await {
            report.add(&outcome);
            ended += 1;
            if reported_at.elapsed() >= Duration::from_millis(PROGRESS_INTERVAL_MS) {
                reported_at = Instant::now();
                eprintln!("{:>4} s: {ended} of {planned} calls completed", start.elapsed().as_secs());
            }
        }
    };
    tokio::join!(sending, receiving);
    let check = check_journals(&options, &runner).await;
    print_report(&options, &report, &check, &idle)
}

async fn check_journals(options: &LoadOptions, runner: &CallRunner) -> JournalCheck {
    let mut check = JournalCheck::new(options.keys.iter().map(|(_, key)| key.clone()).collect());
    for upstream in &options.upstreams {
        match runner.fetch(*upstream, "/journal").await {
            Ok(text) => check.add(&text),
            Err(reason) => check.add_unreadable(format!("{upstream}: {reason}")),
        }
    }
    check
}

fn print_report(
    options: &LoadOptions,
    report: &LoadReport,
    check: &JournalCheck,
    idle: &IdleMeter,
) -> ExitCode {
    let (idle_hours, busy_hours) = idle.hours();
    let faults = check.faults();
    if options.json {
        let mut value = report.to_json();
        value["journal_faults"] = faults.iter().map(|fault| format!("{fault:?}")).collect();
        value["journal_requests"] = json!(check.requests());
        value["idle_accelerator_hours"] = json!(idle_hours);
        value["busy_accelerator_hours"] = json!(busy_hours);
        value["orders_run"] = json!(check.orders_run());
        println!("{value}");
    } else {
        print!("{}", report.to_table());
        println!(
            "journals: {} requests, {} orders run, {} faults",
            check.requests(),
            check.orders_run(),
            faults.len()
        );
        println!("accelerator hours: idle {idle_hours:.4}, busy {busy_hours:.4}");
        for fault in &faults {
            println!("FAULT: {fault:?}");
        }
    }
    let passed = faults.is_empty() && report.faults().is_empty() && report.unanswered() == 0;
    if passed { ExitCode::SUCCESS } else { ExitCode::from(FAILURE_EXIT_CODE) }
}
