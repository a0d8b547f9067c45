//! Runs the model engine stand-in.

use std::process::ExitCode;

use cowslip_standins::{EngineServer, run_standin};

fn main() -> ExitCode {
    run_standin::<EngineServer>()
}
