//! How long a request waits for its team's tokens.
//!
//! Load this answers: a leader's answer takes milliseconds, so a request that it did not grant in that time will not get its
//! tokens soon. While the leader is lost nobody has refused anything, and the next one is due within a second or two: a
//! refusal would only bring all callers back at once.

use crate::leader_due_ms;

/// Longest time in ms that a request waits for tokens which the leader does not grant.
const GRANT_WAIT_MS: u64 = 450;

/// Longest time in ms that a request waits for a leader to answer.
const LEADER_WAIT_MS: u64 = 1_500;

/// What a request that waits for tokens knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenWait {
    /// Time in ms that it has waited.
    pub waited_ms: u64,
    /// Time in ms for which the team is out of tokens, as the leader said when it last refused some; 0 when it did not.
    pub refused_ms: u64,
    /// True when the present leader has answered a report that was sent since the request came.
    pub answered: bool,
    /// Time in ms since a leader was last heard; `None` when none ever was.
    pub silent_ms: Option<u64>,
}

impl TokenWait {
    /// True when the leader has said that the tokens will not be there in time.
    pub const fn is_refused(&self) -> bool {
        self.refused_ms > 0 && self.refused_ms + self.waited_ms > GRANT_WAIT_MS
    }

    /// True when the request has waited for as long as it should.
    pub const fn is_over(&self) -> bool {
        self.waited_ms >= if self.answered { GRANT_WAIT_MS } else { LEADER_WAIT_MS }
    }

    /// Time in ms after which the caller of a request that waited in vain should come back: when the next leader is due, if
    /// it waited for one whose lease is valid for `lease_ms`.
    pub const fn retry_ms(&self, lease_ms: u64) -> u64 {
        match self.silent_ms {
            Some(silent_ms) if !self.answered => leader_due_ms(silent_ms, lease_ms),
            _ if self.refused_ms > GRANT_WAIT_MS => self.refused_ms,
            _ => GRANT_WAIT_MS,
        }
    }
}
