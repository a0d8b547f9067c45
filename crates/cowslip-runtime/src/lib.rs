//! What every process of the system shares: command line, logs, metrics, traces, clock, shutdown.

mod command_line;
mod json_log;
mod kind_budget;
mod kind_limit;
mod line_buffer;
mod metric_sink;
mod process_clock;
mod random_id;
mod shutdown_signal;
mod trace_export;
mod violation_watch;

pub use command_line::{ProcessArgs, process_command, read_args, report_faults, run_process};
pub use json_log::json_logger;
pub use kind_budget::KindBudget;
pub use kind_limit::{KindLimit, SharedBudget};
pub use line_buffer::LineBuffer;
pub use metric_sink::MetricSink;
pub use process_clock::ProcessClock;
pub use random_id::{digest_hex, random_hex};
pub use shutdown_signal::ShutdownSignal;
pub use trace_export::{TraceContext, TraceSource, TraceSpan};
pub use violation_watch::ViolationWatch;
