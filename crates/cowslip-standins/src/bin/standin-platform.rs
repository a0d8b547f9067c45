//! Runs the platform stand-in.

use std::process::ExitCode;

use cowslip_standins::{PlatformServer, run_standin};

fn main() -> ExitCode {
    run_standin::<PlatformServer>()
}
