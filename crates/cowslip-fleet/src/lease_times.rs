//! The times of the leader lease.

use crate::{LEASE_POLL_MS, LEASE_RENEW_MS, LEASE_RETRY_MS, LEASE_TAKEOVER_MS, LEASE_VALID_MS, with_drift};

/// Times of a leader lease in ms, each on a process's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Between two renewals.
    pub renew_ms: u64,
    /// Until a failed call is repeated.
    pub retry_ms: u64,
    /// After the send of its last renewal the holder acts no more.
    pub valid_ms: u64,
    /// Between two reads of a candidate.
    pub poll_ms: u64,
    /// For so long a candidate must have seen the row unchanged.
    pub takeover_ms: u64,
}

impl LeaseTimes {
    /// Times of a lease that is valid for `valid_ms` after each renewal. A candidate waits longer by the drift of two
    /// clocks and `margin_ms`.
    pub const fn new(valid_ms: u64, renew_ms: u64, margin_ms: u64) -> Self {
        Self {
            renew_ms,
            retry_ms: LEASE_RETRY_MS,
            valid_ms,
            poll_ms: LEASE_POLL_MS,
            takeover_ms: with_drift(valid_ms) + margin_ms,
        }
    }
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            renew_ms: LEASE_RENEW_MS,
            retry_ms: LEASE_RETRY_MS,
            valid_ms: LEASE_VALID_MS,
            poll_ms: LEASE_POLL_MS,
            takeover_ms: LEASE_TAKEOVER_MS,
        }
    }
}
