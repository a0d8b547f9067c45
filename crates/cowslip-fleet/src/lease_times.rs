//! Timing parameters of the leader lease.

use crate::{LEASE_POLL_MS, LEASE_RENEW_MS, LEASE_RETRY_MS, LEASE_TAKEOVER_MS, LEASE_VALID_MS, with_drift};

/// Timing parameters of a leader lease in ms, each on a process's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time between two renewals.
    pub renew_ms: u64,
    /// Time until a failed call is retried.
    pub retry_ms: u64,
    /// Time after sending its last renewal at which the holder stops acting.
    pub valid_ms: u64,
    /// Time between two reads by a candidate.
    pub poll_ms: u64,
    /// Time for which a candidate must see the row unchanged before a takeover.
    pub takeover_ms: u64,
}

impl LeaseTimes {
    /// Parameters of a lease that is valid for `valid_ms` after each renewal. A candidate waits longer by the
    /// drift of two clocks and `margin_ms`.
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
