//! How long a request may wait for an upstream, and when its caller should retry.

use cowslip_units::ClockTime;

use crate::{RouteKind, RouteRule};

/// Shortest time in ms for which callers of a stream wait for its first event.
const MIN_FIRST_EVENT_MS: u64 = 2_000;
/// Callers of a stream wait for its first event for this many times the route's objective.
const OBJECTIVE_FACTOR: u64 = 4;
/// Callers of a stream wait for its first event for this many times its longest pause between events.
const PAUSE_FACTOR: u64 = 8;
/// Time in ms before the deadline at which a waiting request is rejected, so that the answer still arrives.
const ANSWER_MARGIN_MS: u64 = 150;
/// Shortest and longest time in ms after which the caller of a rejected request should retry.
const RETRY_AFTER_MS: (u64, u64) = (100, 5_000);

/// Deadlines of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimit {
    /// Time by which its answer must have begun, or the caller disconnects.
    pub begin_by: ClockTime,
    /// Time by which it must be answered: the caller's deadline or the route's timeout, whichever is earlier.
    pub end_by: ClockTime,
    /// The caller's own deadline.
    pub deadline: ClockTime,
}

impl WaitLimit {
    /// Limits of a request that arrived at `now`; `deadline_ms` is `None` when the caller set no deadline.
    pub fn new(route: &RouteRule, deadline_ms: Option<u64>, now: ClockTime) -> Self {
        let deadline_ms = deadline_ms.unwrap_or(route.timeout_ms);
        let deadline = now.plus_ms(deadline_ms);
        let end_by = deadline.min(now.plus_ms(route.timeout_ms));
        let first_event_ms =
            MIN_FIRST_EVENT_MS.max(route.objective_ms * OBJECTIVE_FACTOR).max(route.pause_ms * PAUSE_FACTOR);
        let begin_by = match route.kind {
            RouteKind::Streaming => end_by.min(now.plus_ms(first_event_ms)),
            RouteKind::Idempotent | RouteKind::NonIdempotent => end_by,
        };
        Self { begin_by, end_by, deadline }
    }

    /// True when a request that can be sent in `wait_ms` would be answered after its caller has disconnected.
    pub fn is_too_late(&self, wait_ms: u64, now: ClockTime) -> bool {
        now.plus_ms(wait_ms + ANSWER_MARGIN_MS) > self.begin_by
    }

    /// Time at which a request that still waits is rejected.
    pub fn reject_at(&self) -> ClockTime {
        self.begin_by.minus_ms(ANSWER_MARGIN_MS)
    }

    /// Time in ms after which the caller of a rejected request should retry: when it can probably be served,
    /// but within a third of its remaining time, because callers do not wait longer.
    pub fn retry_after_ms(&self, wait_ms: u64, now: ClockTime) -> u64 {
        let third = self.deadline.since_ms(now) / 3;
        wait_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1).min(third.max(RETRY_AFTER_MS.0))
    }
}
