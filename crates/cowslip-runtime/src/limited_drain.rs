//! Log drain that limits the lines of each kind per second. The kind of a line is its message.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use slog::{Drain, OwnedKVList, Record};

use crate::LineLimiter;

/// The limiter of a [`LimitedDrain`], shared with the task that reports suppressed lines.
pub type SharedLimiter = Arc<Mutex<LineLimiter>>;

/// Forwards lines to `inner` within a limit for each kind.
#[derive(Debug)]
pub struct LimitedDrain<D> {
    inner: D,
    limiter: SharedLimiter,
    started_at: Instant,
}

impl<D> LimitedDrain<D> {
    /// Creates a drain that forwards to `inner` the lines that `limiter` allows.
    pub fn new(inner: D, limiter: SharedLimiter) -> Self {
        Self { inner, limiter, started_at: Instant::now() }
    }
}

impl<D: Drain> Drain for LimitedDrain<D> {
    type Ok = Option<D::Ok>;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<Self::Ok, Self::Err> {
        // Messages that are formatted at run time share one kind.
        let kind = record.msg().as_str().unwrap_or("other");
        let second = self.started_at.elapsed().as_secs();
        let allowed = self.limiter.lock().unwrap_or_else(PoisonError::into_inner).take(kind, second);
        if allowed { self.inner.log(record, values).map(Some) } else { Ok(None) }
    }
}
