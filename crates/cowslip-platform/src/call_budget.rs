//! The time that a call may take, counted only while this process runs.
//!
//! A process that gets no processor time, or is busy with something else, sees answers late. Its own delay says nothing of
//! the service, so a wait that lasts longer than it was meant to counts as long as it was meant to.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, timeout};

/// Longest wait in ms that is looked at as one: a delay within it is not counted.
const SLICE_MS: u64 = 100;

/// What is left of the time of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallBudget {
    left: Duration,
}

impl CallBudget {
    /// A budget of `millis` ms.
    pub(crate) const fn new(millis: u64) -> Self {
        Self { left: Duration::from_millis(millis) }
    }

    /// Raises what is left to at least `millis` ms.
    pub(crate) fn raise(&mut self, millis: u64) {
        self.left = self.left.max(Duration::from_millis(millis));
    }

    /// The output of `future`; `None` when the budget is spent before.
    pub(crate) async fn run<F: Future>(&mut self, future: F) -> Option<F::Output> {
        let mut future = std::pin::pin!(future);
        while !self.left.is_zero() {
            let slice = self.left.min(Duration::from_millis(SLICE_MS));
            let begun_at = Instant::now();
            let output = timeout(slice, &mut future).await;
            self.left -= slice.min(begun_at.elapsed());
            if let Ok(output) = output {
                return Some(output);
            }
        }
        None
    }
}
