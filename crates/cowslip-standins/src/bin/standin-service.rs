//! Runs the plain service stand-in.

use std::process::ExitCode;

use cowslip_standins::{ServiceServer, run_standin};

fn main() -> ExitCode {
    run_standin::<ServiceServer>()
}
