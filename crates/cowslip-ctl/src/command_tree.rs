//! Command line definition.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};
use cowslip_units::{ChangeId, DomainId, KeyDigest, ModelId, TeamId, UpstreamId, ViewVersion};

use crate::explain_request::explain_request_command;

const EXIT_CODES: &str =
    "Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 accepted but not yet in force everywhere";

/// Creates the complete command with all subcommands.
pub(crate) fn command_tree() -> Command {
    Command::new("cowslipctl")
        .about("Configures and inspects a cowslippier fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .global(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (INI); not needed by check-sheet"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of tables"),
        )
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .global(true)
                .value_parser(ChangeId::new)
                .help("Repeat a change in doubt under its original id"),
        )
        .subcommand(
            Command::new("check-sheet").about("Validates a sheet and reports every fault").arg(sheet_file()),
        )
        .subcommand(Command::new("diff").about("Compares a sheet with the one in force").arg(sheet_file()))
        .subcommand(apply_command())
        .subcommand(Command::new("status").about("Shows routers, upstreams and replicas"))
        .subcommand(key_command())
        .subcommand(switch_command("domain", "a failure domain", |text| {
            DomainId::new(text).map(|_| text.to_owned())
        }))
        .subcommand(switch_command("upstream", "an upstream", |text| {
            UpstreamId::new(text).map(|_| text.to_owned())
        }))
        .subcommand(trace_command())
        .subcommand(
            Command::new("held")
                .about("Shows the prompt parts that are quarantined, from log files; needs no settings")
                .arg(log_files()),
        )
        .subcommand(explain_request_command())
        .subcommand(
            Command::new("gateway-status")
                .about("Shows who performs the singleton calls, from a gateway's metrics address; needs no settings")
                .arg(
                    Arg::new("address")
                        .value_name("ADDRESS")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr)),
                ),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows the reasons for the placement of a model or adapter")
                .arg(Arg::new("model").value_name("MODEL").required(true).value_parser(ModelId::new)),
        )
}

fn trace_command() -> Command {
    Command::new("trace")
        .about("Prints the log lines of one request from log files, in order of time; needs no settings")
        .arg(
            Arg::new("context")
                .long("context")
                .action(ArgAction::SetTrue)
                .help("Also print the state changes of the request's VMs up to its last line"),
        )
        .arg(Arg::new("id").value_name("ID").required(true).help("Id of the request"))
        .arg(log_files())
}

fn log_files() -> Arg {
    Arg::new("file").value_name("FILE").required(true).num_args(1..).help("Log files of the VMs")
}

fn sheet_file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Sheet (CSV)")
}

fn apply_command() -> Command {
    Command::new("apply")
        .about("Puts a sheet in force")
        .arg(sheet_file())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(|text: &str| text.parse::<ViewVersion>())
                .help("Reject the change if the sheet in force is not this version; without it, any sheet is replaced"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64).range(..=86_400))
                .help("Wait up to this long until the sheet is in force everywhere"),
        )
}

fn key_command() -> Command {
    let give = Command::new("give")
        .about("Gives a key to a team and prints it")
        .arg(Arg::new("team").long("team").value_name("TEAM").required(true).value_parser(TeamId::new))
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("KEY")
                .help("The key, or - to read it from standard input; generated if absent"),
        );
    let withdraw = Command::new("withdraw")
        .about("Withdraws a key permanently")
        .arg(Arg::new("key").value_name("KEY").help("The key, or - to read it from standard input"))
        .arg(
            Arg::new("digest")
                .long("digest")
                .value_name("DIGEST")
                .value_parser(|text: &str| text.parse::<KeyDigest>())
                .help("SHA-256 of the key in hexadecimal"),
        )
        .group(ArgGroup::new("which").args(["key", "digest"]).required(true));
    Command::new("key")
        .about("Gives and withdraws keys")
        .subcommand_required(true)
        .subcommand(give)
        .subcommand(withdraw)
}

fn switch_command<E>(name: &'static str, subject: &str, check: fn(&str) -> Result<String, E>) -> Command
where
    E: std::error::Error + Send + Sync + 'static,
{
    let argument = || Arg::new("name").value_name("NAME").required(true).value_parser(check);
    Command::new(name)
        .about(format!("Takes {subject} out of service or returns it"))
        .subcommand_required(true)
        .subcommand(
            Command::new("out").about(format!("Stops sending new requests to {subject}")).arg(argument()),
        )
        .subcommand(Command::new("in").about(format!("Returns {subject} to service")).arg(argument()))
}
