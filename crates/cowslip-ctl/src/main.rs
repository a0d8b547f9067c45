//! `cowslipctl`: command line tool for operators.
//!
//! Every command returns a report or a failure; each has a text for people, a JSON value for programs and an
//! exit code. Calls are sent to the controllers in the settings, in order. docs/cowslipctl.md describes the
//! commands.

mod change_commands;
mod command_failure;
mod command_report;
mod command_tree;
mod controller_pool;
mod exit_kind;
mod explain_request;
mod gateway_status_command;
mod log_lines;
mod operator_client;
mod operator_settings;
mod outcome_wait;
mod quarantine_command;
mod sheet_commands;
mod status_commands;
mod text_table;
mod trace_command;

use std::process::ExitCode;

use clap::ArgMatches;
use cowslip_runtime::run_process;

use crate::command_failure::CommandFailure;
use crate::command_report::CommandReport;
use crate::operator_client::OperatorClient;

fn main() -> ExitCode {
    let matches = command_tree::command_tree().get_matches();
    run_process(async move {
        let json = matches.get_flag("json");
        match run_command(&matches).await {
            Ok(report) => report.print(json),
            Err(failure) => failure.print(json),
        }
    })
}

async fn run_command(matches: &ArgMatches) -> Result<CommandReport, CommandFailure> {
    let Some((name, args)) = matches.subcommand() else {
        return Err(CommandFailure::Usage("no command given".to_owned()));
    };
    if name == "check-sheet" {
        return sheet_commands::check_sheet(args);
    }
    if name == "trace" {
        return trace_command::trace(args);
    }
    if name == "held" {
        return quarantine_command::held(args);
    }
    if name == "gateway-status" {
        return gateway_status_command::gateway_status(args).await;
    }
    if name == "explain-request" {
        return explain_request::explain_request(args).await;
    }
    let client = OperatorClient::from_args(matches)?;
    match name {
        "diff" => sheet_commands::diff(&client, args).await,
        "apply" => sheet_commands::apply(&client, args).await,
        "status" => status_commands::status(&client).await,
        "explain" => status_commands::explain(&client, args).await,
        "key" => change_commands::key(&client, args).await,
        "domain" | "upstream" => change_commands::switch(&client, name, args).await,
        other => Err(CommandFailure::Usage(format!("unknown command {other:?}"))),
    }
}
