//! How fresh a gateway's knowledge of the upstreams is, and what its age allows.
//!
//! An upstream that leaves must get nothing new after a while, so requests are sent only by knowledge that is younger.
//!
//! Load this answers: a large fleet whose leader has fallen silent while many upstreams come and go. Each gateway then asks
//! the store itself, before its knowledge is too old. One that the store does not answer goes on with what it knows:
//! nobody could tell it more, and to refuse would stop all service whenever the store is down.

use cowslip_units::ClockTime;

/// Time in ms before the limit from which the store is asked: enough for a call that is not answered to be found out.
const ASK_MARGIN_MS: u64 = 700;

/// The same as a part of the limit, which is longer where VMs are many and small.
const ASK_PART: u64 = 4;

/// Time in ms before the limit from which nothing is sent: a request takes a while to arrive.
const SEND_MARGIN_MS: u64 = 100;

/// Time in ms without an answer to any call, from the first that failed, after which the store counts as out of reach.
const SILENT_MS: u64 = 700;

/// Calls that must have failed in a row for that: a single one may only have been slow.
const LEAST_FAILURES: u32 = 2;

/// The proof of what is known of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamFreshness {
    confirmed_at: Option<ClockTime>,
    /// Send time of the first own call that failed since the store last answered.
    failing_since: Option<ClockTime>,
    /// Own calls that failed since.
    failures: u32,
}

impl UpstreamFreshness {
    /// Send time of the store call, the own one or another gateway's, that last proved the knowledge.
    pub fn confirmed_at(&self) -> Option<ClockTime> {
        self.confirmed_at
    }

    /// A store call that was sent at `at` proved the knowledge.
    pub fn confirm(&mut self, at: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.answered(at);
    }

    /// The store answered a call that was sent at `at`, be it with less than proves the knowledge.
    pub fn answered(&mut self, at: ClockTime) {
        if self.failing_since.is_some_and(|since| since <= at) {
            self.failing_since = None;
            self.failures = 0;
        }
    }

    /// An own call that was sent at `sent_at` has failed.
    pub fn failed(&mut self, sent_at: ClockTime) {
        if self.failing_since.is_none() && self.confirmed_at.is_some_and(|at| sent_at <= at) {
            return;
        }
        self.failing_since = self.failing_since.or(Some(sent_at));
        self.failures += 1;
    }

    /// True when the store must be asked, where a leaving upstream may get requests for `limit_ms`.
    pub fn is_due(&self, limit_ms: u64, now: ClockTime) -> bool {
        let margin_ms = ASK_MARGIN_MS.max(limit_ms / ASK_PART);
        self.confirmed_at.is_none_or(|at| now.since_ms(at) >= limit_ms.saturating_sub(margin_ms))
    }

    /// True when requests may be sent by what is known.
    pub fn allows(&self, limit_ms: u64, now: ClockTime) -> bool {
        self.is_fresh(limit_ms, now) || self.out_of_reach(now)
    }

    /// True when what is known is younger than the limit, with time for a request to arrive.
    pub fn is_fresh(&self, limit_ms: u64, now: ClockTime) -> bool {
        self.confirmed_at.is_some_and(|at| now.plus_ms(SEND_MARGIN_MS).since_ms(at) < limit_ms)
    }

    /// Time in ms since the first own call that failed and was not followed by a proof.
    pub fn failing_ms(&self, now: ClockTime) -> Option<u64> {
        self.failing_since.map(|since| now.since_ms(since))
    }

    fn out_of_reach(&self, now: ClockTime) -> bool {
        self.failures >= LEAST_FAILURES
            && self.failing_since.is_some_and(|since| now.since_ms(since) >= SILENT_MS)
    }
}
