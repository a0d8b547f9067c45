//! `cowslip-controller`: leader lease, placement and the RPC interface for operators.

use std::process::ExitCode;

use cowslip_controller::{ControllerCore, ControllerSettings, run_controller};
use cowslip_platform::{EngineClient, PlatformClient};
use cowslip_runtime::{
    MetricSink, ShutdownSignal, json_logger, process_command, read_args, report_faults, run_process,
};

fn main() -> ExitCode {
    let args =
        read_args(process_command("cowslip-controller", "Decides which model is loaded on which upstream"));
    let settings = match ControllerSettings::open(&args.settings) {
        Ok(settings) => settings,
        Err(faults) => return report_faults(&faults),
    };
    if args.check {
        println!("{}: no faults", args.settings.display());
        return ExitCode::SUCCESS;
    }
    run_process(serve(settings))
}

async fn serve(settings: ControllerSettings) -> ExitCode {
    let logger = json_logger("cowslip-controller", settings.vm.as_str(), settings.log_level);
    let metrics = MetricSink::new("cowslip.controller", settings.metrics_addr);
    let platform = PlatformClient::new(settings.platform);
    let core = match ControllerCore::new(settings, platform, EngineClient::new(), logger.clone(), metrics) {
        Ok(core) => core,
        Err(error) => return fail(&logger, &error.to_string()),
    };
    let mut signal = match ShutdownSignal::new() {
        Ok(signal) => signal,
        Err(error) => return fail(&logger, &error.to_string()),
    };
    match run_controller(core, signal.wait()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => fail(&logger, &fault.to_string()),
    }
}

fn fail(logger: &slog::Logger, message: &str) -> ExitCode {
    slog::error!(logger, "cannot run"; "error" => message);
    eprintln!("{message}");
    ExitCode::FAILURE
}
