//! How long a gateway keeps away from an upstream that has rejected a request because it was full.
//!
//! Load this answers: callers keep coming while an upstream has no room. Without a pause, each waiting request of
//! the gateway is rejected there in turn, and each rejection costs the caller a round trip.

use cowslip_units::ClockTime;

/// First and longest time in ms without requests after a rejection: about the time in which a call ends, and about
/// the time in which half of the calls of a full engine end.
const BACKOFF_MS: (u64, u64) = (100, 1_600);

/// Backoff of one gateway from one full upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FullBackoff {
    until: ClockTime,
    last_ms: u64,
}

impl FullBackoff {
    /// Records a rejection. Those that arrive during the backoff belong to requests sent before it, and do not
    /// prolong it.
    pub fn record_rejection(&mut self, now: ClockTime) {
        if self.is_running(now) {
            return;
        }
        self.last_ms = (self.last_ms * 2).clamp(BACKOFF_MS.0, BACKOFF_MS.1);
        self.until = now.plus_ms(self.last_ms);
    }

    /// Records an answer to a request that ran. The request may have been sent before the rejection, so that a
    /// running backoff goes on; the next one is short again.
    pub fn record_answer(&mut self) {
        self.last_ms = 0;
    }

    /// True while no request should be sent.
    pub fn is_running(&self, now: ClockTime) -> bool {
        now < self.until
    }
}
