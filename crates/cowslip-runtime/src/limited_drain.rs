//! A log drain that passes so many lines of each kind a second on. The kind is a line's message.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use slog::{Drain, OwnedKVList, Record};

use crate::LineLimiter;

/// The budget of a [`LimitedDrain`], to ask what was left out.
pub type SharedLimiter = Arc<Mutex<LineLimiter>>;

/// Passes lines on to `inner` within a budget by kind.
#[derive(Debug)]
pub struct LimitedDrain<D> {
    inner: D,
    budget: SharedLimiter,
    begun_at: Instant,
}

impl<D> LimitedDrain<D> {
    /// Limits what goes to `inner` by `budget`.
    pub fn new(inner: D, budget: SharedLimiter) -> Self {
        Self { inner, budget, begun_at: Instant::now() }
    }
}

impl<D: Drain> Drain for LimitedDrain<D> {
    type Ok = Option<D::Ok>;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<Self::Ok, Self::Err> {
        // A message that is put together at run time has no kind of its own.
        let kind = record.msg().as_str().unwrap_or("other");
        let second = self.begun_at.elapsed().as_secs();
        let allowed = self.budget.lock().unwrap_or_else(PoisonError::into_inner).take(kind, second);
        if allowed { self.inner.log(record, values).map(Some) } else { Ok(None) }
    }
}
