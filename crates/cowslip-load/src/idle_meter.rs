//! Measures idle accelerator time from the upstreams' load reports.
//!
//! An accelerator that runs no request is idle for the share of its memory that holds models. Empty memory
//! does not count, because the platform can assign it to other uses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use crate::CallRunner;

/// Pause in ms between two samples of all upstreams.
const SAMPLE_INTERVAL_MS: u64 = 500;

/// The fields of a load report that are used here.
#[derive(Clone, Debug, Deserialize)]
struct ReportSample {
    running: u32,
    memory: u64,
    memory_used: u64,
}

/// Accumulates idle and busy accelerator time.
#[derive(Clone, Debug)]
pub struct IdleMeter {
    upstreams: Vec<SocketAddr>,
    /// Idle and busy time in ms, weighted by the share of memory in use.
    total: Arc<Mutex<(f64, f64)>>,
}

impl IdleMeter {
    /// Creates a meter of the model engines among `upstreams`; upstreams without load reports are skipped.
    pub fn new(upstreams: Vec<SocketAddr>) -> Self {
        Self { upstreams, total: Arc::new(Mutex::new((0.0, 0.0))) }
    }

    /// Samples all upstreams periodically; never returns.
    pub async fn run(self, runner: CallRunner) {
        let mut last = Instant::now();
        loop {
            tokio::time::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
            let elapsed_ms = last.elapsed().as_secs_f64() * 1_000.0;
            last = Instant::now();
            for upstream in &self.upstreams {
                let Ok(text) = runner.fetch(*upstream, "/report").await else {
                    continue;
                };
                if let Ok(sample) = serde_json::from_str::<ReportSample>(&text) {
                    self.add(&sample, elapsed_ms);
                }
            }
        }
    }

    fn add(&self, sample: &ReportSample, elapsed_ms: f64) {
        if sample.memory == 0 {
            return;
        }
        let held_ms = sample.memory_used as f64 / sample.memory as f64 * elapsed_ms;
        let mut total = self.total.lock().unwrap_or_else(PoisonError::into_inner);
        if sample.running == 0 {
            total.0 += held_ms;
        } else {
            total.1 += held_ms;
        }
    }

    /// Idle and busy accelerator hours so far, in this order.
    pub fn hours(&self) -> (f64, f64) {
        let total = self.total.lock().unwrap_or_else(PoisonError::into_inner);
        (total.0 / 3_600_000.0, total.1 / 3_600_000.0)
    }
}
