//! How long a request may wait for an upstream, and when its caller should come back.

use cowslip_units::ClockTime;

use crate::{RouteKind, RouteRule};

/// Time in ms that callers of a stream wait for its first event at least.
const LEAST_PATIENCE_MS: u64 = 2_000;
/// Callers of a stream wait for its first event so many times its objective.
const OBJECTIVE_PATIENCE: u64 = 4;
/// Callers of a stream wait for its first event so many times its longest pause.
const PAUSE_PATIENCE: u64 = 8;
/// Time in ms before the end at which a waiting request is refused, so that the answer still arrives.
const MARGIN_MS: u64 = 150;
/// Shortest and longest time in ms after which a refused caller should come back.
const RETRY_AFTER_MS: (u64, u64) = (100, 5_000);

/// The points in time that bound a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimit {
    /// When its answer must have begun for the caller still to be there.
    pub begin_by: ClockTime,
    /// When it must be answered: the caller's deadline or the route's timeout.
    pub end_by: ClockTime,
    /// The caller's own deadline.
    pub deadline: ClockTime,
}

impl WaitLimit {
    /// Limits of a request that arrived at `now`, whose caller waits `deadline_ms`.
    pub fn new(route: &RouteRule, deadline_ms: Option<u64>, now: ClockTime) -> Self {
        let deadline_ms = deadline_ms.unwrap_or(route.timeout_ms);
        let deadline = now.plus_ms(deadline_ms);
        let end_by = deadline.min(now.plus_ms(route.timeout_ms));
        let patience = LEAST_PATIENCE_MS
            .max(route.objective_ms * OBJECTIVE_PATIENCE)
            .max(route.pause_ms * PAUSE_PATIENCE);
        let begin_by = match route.kind {
            RouteKind::Streaming => end_by.min(now.plus_ms(patience)),
            RouteKind::Idempotent | RouteKind::NonIdempotent => end_by,
        };
        Self { begin_by, end_by, deadline }
    }

    /// True when a request that can be sent in `wait_ms` need not wait: its caller will be gone.
    pub fn is_too_late(&self, wait_ms: u64, now: ClockTime) -> bool {
        now.plus_ms(wait_ms + MARGIN_MS) > self.begin_by
    }

    /// When a request that still waits is refused.
    pub fn reject_at(&self) -> ClockTime {
        self.begin_by.minus_ms(MARGIN_MS)
    }

    /// Time in ms after which the caller of a refused request should come back: when it can probably be served, but
    /// not later than a third of its remaining time, beyond which callers do not wait.
    pub fn retry_after_ms(&self, wait_ms: u64, now: ClockTime) -> u64 {
        let third = self.deadline.since_ms(now) / 3;
        wait_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1).min(third.max(RETRY_AFTER_MS.0))
    }
}
