//! Time limits that processes share, in milliseconds on a process's own clock.

/// Largest error of a process's clock rate in percent.
pub const MAX_DRIFT_PERCENT: u64 = 1;

/// Oldest confirmation with which requests are admitted.
pub const VIEW_WINDOW_MS: u64 = 3_000;

/// Age of the confirmation beyond which running streams of keyed requests are cancelled.
pub const STREAM_END_MS: u64 = 4_000;

/// Time between two confirmations.
pub const CONFIRM_PERIOD_MS: u64 = 1_000;

/// Delay after the exchange with a majority before a gained share is used: the view window as measured by the
/// slowest clock, converted to the fastest one.
pub const HANDOFF_DELAY_MS: u64 = with_drift(VIEW_WINDOW_MS);

/// Time after sending a borrow call during which the borrower may use the loan.
pub const LEND_USABLE_MS: u64 = 1_000;

/// Time after the deduction during which the lender counts a loan as outstanding.
pub const LEND_HELD_MS: u64 = with_drift(LEND_USABLE_MS);

/// Delay before a gained share is used. The loser may lend until the end of its view window, and the borrower
/// may use the loan for another [`LEND_USABLE_MS`].
pub const SHARE_HANDOFF_DELAY_MS: u64 = HANDOFF_DELAY_MS + LEND_HELD_MS;

/// Time between two renewals of the leader lease.
pub const LEASE_RENEW_MS: u64 = 1_000;

/// Time until a failed lease call is retried.
pub const LEASE_RETRY_MS: u64 = 250;

/// Time after sending its last successful renewal at which the holder stops acting as leader.
pub const LEASE_VALID_MS: u64 = 3_000;

/// Time between two reads of the lease row by a candidate; 350 candidates read it 700 times a second.
pub const LEASE_POLL_MS: u64 = 500;

/// Time for which a candidate must see the lease row unchanged before a takeover; 500 ms more than drift
/// requires.
pub const LEASE_TAKEOVER_MS: u64 = with_drift(LEASE_VALID_MS) + 500;

/// The time on the fastest clock that is at least `millis` on the slowest one. The ratio of the two is 101/99
/// = 1.0202, so a margin of 2% would be too short. Times are truncated to milliseconds, so `millis` may be
/// one longer on the slow clock and the delay one shorter on the fast one.
pub const fn with_drift(millis: u64) -> u64 {
    ((millis + 1) * (100 + MAX_DRIFT_PERCENT)).div_ceil(100 - MAX_DRIFT_PERCENT) + 1
}
