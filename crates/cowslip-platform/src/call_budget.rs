//! The time limit of a call, which counts only the time in which this process runs.
//!
//! A process that gets no processor time, or is busy with other work, processes answers late. Such a delay is
//! not the fault of the service, so a wait that takes longer than requested counts only as long as requested.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, timeout};

/// Length in ms of the slices into which a wait is split; a delay of this process beyond the end of a slice
/// is not counted.
const SLICE_MS: u64 = 100;

/// Remaining time of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallBudget {
    remaining: Duration,
}

impl CallBudget {
    pub(crate) const fn new(millis: u64) -> Self {
        Self { remaining: Duration::from_millis(millis) }
    }

    /// Raises the remaining time to at least `millis` ms.
    pub(crate) fn raise(&mut self, millis: u64) {
        self.remaining = self.remaining.max(Duration::from_millis(millis));
    }

    /// Waits for the output of `future`; `None` if the budget is exhausted first.
    pub(crate) async fn run<F: Future>(&mut self, future: F) -> Option<F::Output> {
        let mut future = std::pin::pin!(future);
        while !self.remaining.is_zero() {
            let slice = self.remaining.min(Duration::from_millis(SLICE_MS));
            let started_at = Instant::now();
            let output = timeout(slice, &mut future).await;
            self.remaining -= slice.min(started_at.elapsed());
            if let Ok(output) = output {
                return Some(output);
            }
        }
        None
    }
}
