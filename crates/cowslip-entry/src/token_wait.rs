//! How long a request waits for its team's tokens.
//!
//! Load this answers: a leader answers within milliseconds, so a request that is not granted tokens within a
//! few answers will not get them soon. While the leader is lost, no leader has refused anything and the next
//! one is due within a second or two: rejecting the requests would only make all callers retry at the same
//! time.

use crate::leader_due_ms;

/// Longest time in ms that a request waits for tokens that an answering leader does not grant.
const GRANT_WAIT_MS: u64 = 450;

/// Longest time in ms that a request waits for a leader that does not answer.
const LEADER_WAIT_MS: u64 = 1_500;

/// State of a request that waits for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenWait {
    /// Time in ms that the request has waited.
    pub waited_ms: u64,
    /// Time in ms until the team has tokens again, as of the leader's last answer; 0 when it refused none.
    pub refused_ms: u64,
    /// True when the present leader has answered a report sent since the request arrived.
    pub answered: bool,
    /// Time in ms since the last answer of a leader; `None` when there was none.
    pub silent_ms: Option<u64>,
}

impl TokenWait {
    /// True when the leader has answered that the tokens will not be available in time.
    pub const fn is_refused(&self) -> bool {
        self.refused_ms > 0 && self.refused_ms + self.waited_ms > GRANT_WAIT_MS
    }

    /// True when the request has reached its longest wait.
    pub const fn has_timed_out(&self) -> bool {
        self.waited_ms >= if self.answered { GRANT_WAIT_MS } else { LEADER_WAIT_MS }
    }

    /// Time in ms after which the caller of a rejected request should retry. If no leader with a lease of
    /// `lease_ms` has answered, that is when the next one is due.
    pub const fn retry_ms(&self, lease_ms: u64) -> u64 {
        match self.silent_ms {
            Some(silent_ms) if !self.answered => leader_due_ms(silent_ms, lease_ms),
            _ if self.refused_ms > GRANT_WAIT_MS => self.refused_ms,
            _ => GRANT_WAIT_MS,
        }
    }
}
