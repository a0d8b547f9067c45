//! Command line of the gateway.

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use cowslip_adapter::{GatewaySettings, SETTINGS_VARIABLE};
use cowslip_gateway::{gateway_logger, run_gateway};
use cowslip_runtime::run_process;

/// Exit code for invalid arguments or settings.
const USAGE_EXIT: u8 = 2;

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help("Settings file; defaults to the file named by the platform's environment variable");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Validate the settings, report missing fields, and exit");
    Command::new("cowslip-gateway")
        .about("Gateway between callers and model servers")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings)
        .arg(check)
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let named = matches.get_one::<PathBuf>("settings").cloned();
    let Some(path) = named.or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)) else {
        eprintln!("no settings file: give --settings FILE or set {SETTINGS_VARIABLE}");
        return ExitCode::from(USAGE_EXIT);
    };
    let settings = match GatewaySettings::read(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{}: {fault}", path.display());
            return ExitCode::from(USAGE_EXIT);
        }
    };
    if matches.get_flag("check") {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    // Flushes queued log lines when dropped.
    let (logger, guard, line_limiter) = gateway_logger(&settings.name);
    let code = run_process(run_gateway(settings, logger, line_limiter));
    drop(guard);
    code
}
