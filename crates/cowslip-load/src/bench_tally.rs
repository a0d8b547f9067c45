//! Counters and latencies of a benchmark run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Upper bound of recorded latencies in microseconds.
const MAX_US: u64 = 600_000_000;
/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Results of a benchmark run.
#[derive(Clone, Debug)]
pub struct BenchTally {
    latency: Histogram<u64>,
    served: u64,
    tokens: u64,
    failures: BTreeMap<String, u64>,
}

impl BenchTally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS)
            .expect("the histogram bounds are valid");
        Self { latency, served: 0, tokens: 0, failures: BTreeMap::new() }
    }

    /// Adds one request: the tokens generated or the reason of the failure, and its latency. Failures do not
    /// enter the latencies.
    pub fn add(&mut self, result: Result<u64, String>, took: Duration) {
        match result {
            Ok(tokens) => {
                self.served += 1;
                self.tokens += tokens;
                self.latency.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
            }
            Err(reason) => *self.failures.entry(reason).or_default() += 1,
        }
    }

    /// Number of failed requests by reason.
    pub fn failures(&self) -> &BTreeMap<String, u64> {
        &self.failures
    }

    /// Formats the results as one line of `name=value` pairs, which scripts parse.
    pub fn to_line(&self, took: Duration) -> String {
        format!(
            "served={} failed={} tokens={} seconds={:.3} p50_us={} p99_us={} max_us={}",
            self.served,
            self.failures.values().sum::<u64>(),
            self.tokens,
            took.as_secs_f64(),
            self.latency.value_at_quantile(0.5),
            self.latency.value_at_quantile(0.99),
            self.latency.max()
        )
    }
}

impl Default for BenchTally {
    fn default() -> Self {
        Self::new()
    }
}
