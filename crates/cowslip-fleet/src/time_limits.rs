//! Times that processes rely on together. Each is in milliseconds on a process's own clock.

/// Largest error of a process's clock rate in percent.
pub const MAX_DRIFT_PERCENT: u64 = 1;

/// Longest age of the confirmation with which requests are admitted.
pub const VIEW_WINDOW_MS: u64 = 3_000;

/// Age of the confirmation beyond which running streams of keyed requests are ended.
pub const STREAM_END_MS: u64 = 4_000;

/// Time between two confirmations.
pub const CONFIRM_PERIOD_MS: u64 = 1_000;

/// Wait of the node that gains, after the exchange with a majority: the view window as measured by the slowest
/// clock, on the fastest clock.
pub const GAIN_WAIT_MS: u64 = with_drift(VIEW_WINDOW_MS);

/// Time after the send of a borrow call during which the borrower may use what it was lent.
pub const LEND_USABLE_MS: u64 = 1_000;

/// Time after the deduction during which the lender counts lent tokens as held.
pub const LEND_HELD_MS: u64 = with_drift(LEND_USABLE_MS);

/// Wait of the node that gains a share. A loser may lend until the end of its view window, and the borrower may
/// use the loan for another [`LEND_USABLE_MS`].
pub const SHARE_HANDOFF_DELAY_MS: u64 = GAIN_WAIT_MS + LEND_HELD_MS;

/// Time between two renewals of the leader lease.
pub const LEASE_RENEW_MS: u64 = 1_000;

/// Time until a failed call about the lease is repeated.
pub const LEASE_RETRY_MS: u64 = 250;

/// Time after the send of its last successful renewal at which the holder stops acting.
pub const LEASE_VALID_MS: u64 = 3_000;

/// Time between two reads of the lease row by a candidate; 350 candidates read it 700 times a second.
pub const LEASE_POLL_MS: u64 = 500;

/// Time for which a candidate must have seen the lease row unchanged; 500 ms more than drift requires.
pub const LEASE_TAKEOVER_MS: u64 = with_drift(LEASE_VALID_MS) + 500;

/// The time on the fastest clock that is at least `millis` on the slowest one. The ratio of the two is
/// 101/99 = 1.0202, so a margin of 2% would be short. Points are truncated to milliseconds, so a time of `millis` may
/// be one longer on the slow clock, and the wait one shorter on the fast one.
pub const fn with_drift(millis: u64) -> u64 {
    ((millis + 1) * (100 + MAX_DRIFT_PERCENT)).div_ceil(100 - MAX_DRIFT_PERCENT) + 1
}
