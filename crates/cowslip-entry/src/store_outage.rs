//! Whether the store is in trouble for everyone, or has only failed a call of this gateway.
//!
//! An entry lapses when its upstream could not renew it for several of its intervals. A single failed call, of a busy
//! gateway for instance, does not explain that an entry has gone: the upstream has left, and nothing more may be sent
//! to it.

use cowslip_units::ClockTime;

use crate::LAPSE_HOLD_MS;

/// Failed calls in a row from which on the store counts as in trouble.
const LEAST_FAILURES: u32 = 2;

/// Time in ms from the send of the first of them to the last failure; less than an upstream's entry lasts unrenewed.
const LEAST_MS: u64 = 1_500;

/// The failed calls in a row, or those of the last such row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreOutage {
    failures: u32,
    first_sent_at: ClockTime,
    last_failed_at: ClockTime,
    over: bool,
}

impl StoreOutage {
    /// A call that was sent at `sent_at` has failed.
    pub fn failed(&mut self, sent_at: ClockTime, now: ClockTime) {
        if self.failures == 0 || self.over {
            *self = Self { failures: 0, first_sent_at: sent_at, last_failed_at: now, over: false };
        }
        self.failures += 1;
        self.last_failed_at = now;
    }

    /// A call that was sent at `sent_at` was answered.
    pub fn answered(&mut self, sent_at: ClockTime) {
        self.over |= sent_at >= self.first_sent_at;
    }

    /// The end of the trouble as far as is known, if it lasted long enough for entries to lapse.
    pub fn until(&self) -> Option<ClockTime> {
        let lasted_ms = self.last_failed_at.since_ms(self.first_sent_at);
        (self.failures >= LEAST_FAILURES && lasted_ms >= LEAST_MS).then_some(self.last_failed_at)
    }

    /// True while an entry that has gone may have lapsed with the store and come back.
    pub fn has_recent_outage(&self, now: ClockTime) -> bool {
        self.until().is_some_and(|until| now.since_ms(until) < LAPSE_HOLD_MS)
    }
}
