//! Detection of a store outage, as opposed to single failed calls of this gateway.
//!
//! An entry expires when its upstream could not renew it for several intervals. A single failed call, for
//! instance of a busy gateway, does not explain why an entry is gone: the upstream has left, and nothing more
//! may be sent to it.

use cowslip_units::ClockTime;

use crate::EXPIRY_HOLD_MS;

/// Consecutive failed calls from which the store counts as unavailable.
const MIN_FAILURES: u32 = 2;

/// Shortest time in ms from the send time of the first failed call to the last failure; less than an entry's
/// lifetime.
const MIN_OUTAGE_MS: u64 = 1_500;

/// The present run of failed calls, or the last one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreOutage {
    failures: u32,
    first_sent_at: ClockTime,
    last_failed_at: ClockTime,
    over: bool,
}

impl StoreOutage {
    /// Records the failure of a call sent at `sent_at`.
    pub fn failed(&mut self, sent_at: ClockTime, now: ClockTime) {
        if self.failures == 0 || self.over {
            *self = Self { failures: 0, first_sent_at: sent_at, last_failed_at: now, over: false };
        }
        self.failures += 1;
        self.last_failed_at = now;
    }

    /// Records the answer to a call sent at `sent_at`.
    pub fn answered(&mut self, sent_at: ClockTime) {
        self.over |= sent_at >= self.first_sent_at;
    }

    /// End of the outage so far; `None` when it was too short for entries to expire.
    pub fn until(&self) -> Option<ClockTime> {
        let lasted_ms = self.last_failed_at.since_ms(self.first_sent_at);
        (self.failures >= MIN_FAILURES && lasted_ms >= MIN_OUTAGE_MS).then_some(self.last_failed_at)
    }

    /// True while an entry that is gone may have expired in an outage and may come back.
    pub fn has_recent_outage(&self, now: ClockTime) -> bool {
        self.until().is_some_and(|until| now.since_ms(until) < EXPIRY_HOLD_MS)
    }
}
