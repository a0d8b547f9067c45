//! Freshness of a gateway's view of the upstreams, and whether it may be used for sending requests.
//!
//! A leaving upstream must get no new requests after a time limit, so a view is used for sending requests
//! only if it was confirmed within that limit.
//!
//! Load this answers: a large fleet whose leader has failed while many upstreams come and go. Each gateway
//! then queries the store itself, before its view is too old. If the store does not answer either, the old
//! view is used: no newer one can be had, and rejecting them would stop all service whenever the store is
//! down.

use cowslip_units::ClockTime;

/// Time in ms before the limit from which the store is queried: enough for a call without an answer to time
/// out.
const QUERY_MARGIN_MS: u64 = 700;

/// Divisor of the limit for the same margin; the limit is longer in fleets of many small VMs.
const QUERY_MARGIN_DIVISOR: u64 = 4;

/// Time in ms before the limit from which no request is sent, because a request takes a while to arrive.
const SEND_MARGIN_MS: u64 = 100;

/// Time in ms from the first failed call, without an answer to any, after which the store counts as
/// unreachable.
const SILENT_MS: u64 = 700;

/// Consecutive failed calls required for that: a single one may only have been slow.
const MIN_FAILURES: u32 = 2;

/// Confirmed freshness of the view of the upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamFreshness {
    confirmed_at: Option<ClockTime>,
    /// Send time of the first own call that failed since the last answer of the store.
    failing_since: Option<ClockTime>,
    /// Own calls that failed since the last answer of the store.
    failures: u32,
}

impl UpstreamFreshness {
    /// Send time of the store call, of this gateway or another one, that last confirmed the view.
    pub fn confirmed_at(&self) -> Option<ClockTime> {
        self.confirmed_at
    }

    /// Records that a store call sent at `at` confirmed the view.
    pub fn confirm(&mut self, at: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.answered(at);
    }

    /// Records an answer of the store to a call sent at `at`, even if it does not confirm the whole view.
    pub fn answered(&mut self, at: ClockTime) {
        if self.failing_since.is_some_and(|since| since <= at) {
            self.failing_since = None;
            self.failures = 0;
        }
    }

    /// Records the failure of an own call sent at `sent_at`.
    pub fn failed(&mut self, sent_at: ClockTime) {
        if self.failing_since.is_none() && self.confirmed_at.is_some_and(|at| sent_at <= at) {
            return;
        }
        self.failing_since = self.failing_since.or(Some(sent_at));
        self.failures += 1;
    }

    /// True when the store must be queried, for a limit of `limit_ms` on requests to a leaving upstream.
    pub fn is_query_due(&self, limit_ms: u64, now: ClockTime) -> bool {
        let margin_ms = QUERY_MARGIN_MS.max(limit_ms / QUERY_MARGIN_DIVISOR);
        self.confirmed_at.is_none_or(|at| now.since_ms(at) >= limit_ms.saturating_sub(margin_ms))
    }

    /// True when the view may be used for sending requests.
    pub fn is_usable(&self, limit_ms: u64, now: ClockTime) -> bool {
        self.is_fresh(limit_ms, now) || self.is_store_unreachable(now)
    }

    /// True when the view is fresher than the limit, with time for a request to arrive.
    pub fn is_fresh(&self, limit_ms: u64, now: ClockTime) -> bool {
        self.confirmed_at.is_some_and(|at| now.plus_ms(SEND_MARGIN_MS).since_ms(at) < limit_ms)
    }

    /// Time in ms since the first own call that failed without a later answer of the store; `None` when none
    /// did.
    pub fn failing_ms(&self, now: ClockTime) -> Option<u64> {
        self.failing_since.map(|since| now.since_ms(since))
    }

    fn is_store_unreachable(&self, now: ClockTime) -> bool {
        self.failures >= MIN_FAILURES
            && self.failing_since.is_some_and(|since| now.since_ms(since) >= SILENT_MS)
    }
}
