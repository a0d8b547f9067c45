//! Logging of the gateway: JSON lines on standard output, rate limited and written by a separate thread.
//!
//! A line that finds the queue full is dropped and counted, so request handling never blocks on a slow log
//! reader. Lines about single requests are limited to [`LINES_PER_S`] a second, lines of any one kind to
//! [`KIND_LINES_PER_S`]; the numbers of suppressed lines are logged.

use std::io::stdout;
use std::sync::{Arc, Mutex};

use cowslip_runtime::{LimitedDrain, LineBuffer, LineLimiter, SharedLimiter};
use cowslip_units::ClockTime;
use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_LINES: usize = 2_048;

/// Limit on lines about single requests, a second.
pub const LINES_PER_S: u64 = 400;

/// Limit on lines of any one kind, a second.
pub(crate) const KIND_LINES_PER_S: u32 = 400;

/// Creates a logger, the guard that flushes its queue when dropped, and the limiter that counts suppressed
/// lines.
pub fn gateway_logger(vm: &str) -> (Logger, AsyncGuard, SharedLimiter) {
    let drain = slog_json::Json::default(LineBuffer::new(stdout()));
    let drain = Mutex::new(drain).ignore_res();
    let (drain, guard) = Async::new(drain)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let limiter = Arc::new(Mutex::new(LineLimiter::new(KIND_LINES_PER_S)));
    let drain = LimitedDrain::new(drain, Arc::clone(&limiter));
    let logger = Logger::root(drain.ignore_res(), o!("process" => "cowslip-gateway", "vm" => vm.to_owned()));
    (logger, guard, limiter)
}

/// Rate limit on lines about single requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestLineLimiter {
    second: u64,
    written: u64,
    suppressed: u64,
}

impl RequestLineLimiter {
    /// True when a line may be written now. The second value is the number of lines suppressed in the
    /// previous second, returned once.
    pub fn take(&mut self, now: ClockTime) -> (bool, Option<u64>) {
        let second = now.millis() / 1_000;
        let mut suppressed = None;
        if second != self.second {
            suppressed = (self.suppressed > 0).then_some(self.suppressed);
            *self = Self { second, written: 0, suppressed: 0 };
        }
        let allowed = self.written < LINES_PER_S;
        if allowed {
            self.written += 1;
        } else {
            self.suppressed += 1;
        }
        (allowed, suppressed)
    }
}
