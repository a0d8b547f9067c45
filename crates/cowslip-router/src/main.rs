//! Entry point of the router process.

use std::process::ExitCode;

use cowslip_router::{RouterCore, RouterProcess, RouterSettings};
use cowslip_runtime::{
    ProcessArgs, ShutdownSignal, json_logger, process_command, read_args, report_faults, run_process,
};

fn main() -> ExitCode {
    let command = process_command("cowslip-router", "Routes callers' requests to model engines and services");
    let ProcessArgs { settings, check } = read_args(command);
    let settings = match RouterSettings::open(&settings) {
        Ok(settings) => settings,
        Err(faults) => return report_faults(&faults),
    };
    if check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    run_process(serve(settings))
}

async fn serve(settings: RouterSettings) -> ExitCode {
    let logger = json_logger("cowslip-router", settings.vm.as_str(), settings.log_level);
    let mut shutdown = match ShutdownSignal::new() {
        Ok(shutdown) => shutdown,
        Err(error) => {
            slog::crit!(logger, "cannot listen for signals"; "error" => error.to_string());
            return ExitCode::FAILURE;
        }
    };
    let core = match RouterCore::new(settings, logger.clone()) {
        Ok(core) => core,
        Err(error) => {
            slog::crit!(logger, "cannot start"; "error" => error.to_string());
            return ExitCode::FAILURE;
        }
    };
    let router = match RouterProcess::start(core).await {
        Ok(router) => router,
        Err(error) => {
            slog::crit!(logger, "cannot listen"; "error" => error.to_string());
            return ExitCode::FAILURE;
        }
    };
    shutdown.wait().await;
    router.stop().await;
    ExitCode::SUCCESS
}
