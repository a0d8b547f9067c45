//! Command line and main function shared by the stand-in binaries.

use std::io;
use std::process::ExitCode;

use cowslip_config::SettingsReader;
use cowslip_runtime::{ShutdownSignal, json_logger, process_command, read_args, report_faults, run_process};
use slog::{Level, Logger, error, info};

use crate::RunningServer;

/// A stand-in that can run as a process of its own.
pub trait StandinProcess: Sized {
    /// Name of the binary.
    const NAME: &'static str;
    /// Description printed by `--help`.
    const ABOUT: &'static str;

    /// Reads the settings; `None` when a required one is missing or wrong.
    fn read(settings: &mut SettingsReader) -> Option<Self>;

    /// Name under which it appears in log lines.
    fn label(&self) -> String;

    /// Starts the server on its own thread; fails when the address cannot be bound.
    fn launch(self, logger: Logger) -> io::Result<RunningServer>;
}

/// Runs a stand-in until SIGTERM or SIGINT.
pub fn run_standin<P: StandinProcess>() -> ExitCode {
    let args = read_args(process_command(P::NAME, P::ABOUT));
    let mut settings = match SettingsReader::open(&args.settings) {
        Ok(settings) => settings,
        Err(faults) => return report_faults(&faults),
    };
    let process = P::read(&mut settings);
    let process = match (settings.finish(), process) {
        (Ok(()), Some(process)) => process,
        (Ok(()), None) => return ExitCode::FAILURE,
        (Err(faults), _) => return report_faults(&faults),
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    run_process(serve_until_signal(process))
}

async fn serve_until_signal<P: StandinProcess>(process: P) -> ExitCode {
    let logger = json_logger(P::NAME, &process.label(), Level::Info);
    let mut signal = match ShutdownSignal::new() {
        Ok(signal) => signal,
        Err(error) => {
            error!(logger, "cannot install signal handlers"; "error" => error.to_string());
            return ExitCode::FAILURE;
        }
    };
    match process.launch(logger.clone()) {
        Ok(server) => {
            info!(logger, "listening"; "addr" => server.addr.to_string());
            signal.wait().await;
            server.stop();
            info!(logger, "stopped");
            ExitCode::SUCCESS
        }
        Err(error) => {
            error!(logger, "cannot listen"; "error" => error.to_string());
            ExitCode::FAILURE
        }
    }
}
