//! Building blocks shared by all processes: command line, logging, metrics, tracing, clock, shutdown, and connections of
//! callers.

mod caller_connections;
mod caller_stream;
mod command_line;
mod connect_probe;
mod descriptor_limit;
mod json_log;
mod limited_drain;
mod line_buffer;
mod line_limiter;
mod metric_sink;
mod process_clock;
mod processor_time;
mod random_id;
mod shutdown_signal;
mod trace_export;
mod violation_reporter;

pub use caller_connections::{CallerConnections, ConnectionCounts, ConnectionTimeouts};
pub use caller_stream::{CallerStream, HeadFilter};
pub use command_line::{ProcessArgs, process_command, read_args, report_faults, run_process};
pub use connect_probe::refuses_connections;
pub use descriptor_limit::descriptor_limit;
pub use json_log::json_logger;
pub use limited_drain::{LimitedDrain, SharedLimiter};
pub use line_buffer::LineBuffer;
pub use line_limiter::LineLimiter;
pub use metric_sink::MetricSink;
pub use process_clock::ProcessClock;
pub use processor_time::{process_time_us, thread_time_us};
pub use random_id::{random_hex, sha256_hex};
pub use shutdown_signal::ShutdownSignal;
pub use trace_export::{TraceContext, TraceSource, TraceSpan};
pub use violation_reporter::ViolationReporter;
