//! Reports failed assertions to the log and the metrics.

use cowslip_units::drain_violations;
use slog::{Logger, error};

use crate::MetricSink;

/// Collects the violations recorded on this thread and reports them.
#[derive(Clone, Debug)]
pub struct ViolationReporter {
    logger: Logger,
    metrics: MetricSink,
    total: u64,
}

impl ViolationReporter {
    /// Creates a reporter that writes to `logger` and `metrics`.
    pub fn new(logger: Logger, metrics: MetricSink) -> Self {
        Self { logger, metrics, total: 0 }
    }

    /// Reports all violations recorded since the last call and returns the total since the start.
    pub fn check(&mut self) -> u64 {
        for violation in drain_violations() {
            self.total += 1;
            self.metrics.count("violations", 1);
            error!(self.logger, "assertion failed";
                "promise" => violation.invariant.as_str(), "state" => violation.detail);
        }
        self.total
    }
}
