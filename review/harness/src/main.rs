//! Plays the cases of the review. The exit code is 1 when the rule was broken, 0 when it held and 2 when the case
//! could not run.

mod app_server;
mod engine;
mod http;
mod poison;
mod refused;
mod revoked;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use world::Record;

/// Result of a case: `true` when the rule held.
type CaseResult = Result<bool, Box<dyn std::error::Error>>;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-cases CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    let result = match case.as_str() {
        "refused" => refused::play(&record, trouble).await,
        "revoked" => revoked::play(&record, trouble).await,
        "poison" => poison::play(&record, trouble).await,
        _ => Err("no such case".into()),
    };
    match result {
        Ok(true) => {
            record.line("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("THE RULE WAS BROKEN");
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
