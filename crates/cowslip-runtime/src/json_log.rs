//! Logging as JSON lines to standard output.

use std::io::stdout;
use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::LineBuffer;

/// Creates a logger that writes JSON lines to standard output, each with `process`, `vm`, `level`, `msg` and
/// `ts`.
///
/// Lines are written by the calling thread. Every process has a single thread, so they stay in order.
pub fn json_logger(process: &'static str, vm: &str, level: Level) -> Logger {
    let drain = slog_json::Json::default(LineBuffer::new(stdout()));
    let drain = LevelFilter::new(drain, level);
    let drain = Mutex::new(drain).ignore_res();
    Logger::root(drain, o!("process" => process, "vm" => vm.to_owned()))
}
