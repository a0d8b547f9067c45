//! Command line shared by all processes, and the single-threaded runtime that they use.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use cowslip_config::SettingsFault;

/// Exit code for invalid usage or settings.
const USAGE_EXIT: u8 = 2;

/// Parsed command line of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessArgs {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// True to check the settings and exit.
    pub check: bool,
}

/// Creates a command with the options `--settings FILE`, `--check`, `--help` and `--version`.
pub fn process_command(name: &'static str, about: &'static str) -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf))
        .help("Settings file (INI)");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings, report every fault with file and line, and exit");
    Command::new(name).about(about).version(env!("CARGO_PKG_VERSION")).arg(settings).arg(check)
}

/// Parses the command line; prints help, version or usage errors and exits like `clap`.
pub fn read_args(command: Command) -> ProcessArgs {
    let matches = command.get_matches();
    let settings = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    ProcessArgs { settings, check: matches.get_flag("check") }
}

/// Prints settings faults to standard error, one per line, and returns the exit code for them.
pub fn report_faults(faults: &[SettingsFault]) -> ExitCode {
    for fault in faults {
        eprintln!("{fault}");
    }
    ExitCode::from(USAGE_EXIT)
}

/// Runs `main` on a single-threaded runtime.
pub fn run_process<F>(main: F) -> ExitCode
where
    F: Future<Output = ExitCode>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(main),
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            ExitCode::FAILURE
        }
    }
}
