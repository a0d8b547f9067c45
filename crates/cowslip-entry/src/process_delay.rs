//! How late a process runs: how far its own timers fire behind their time.
//!
//! A process that gets no processor time for a while, or is busy with one large message, sees the answers of others late.
//! Whoever reads its logs can tell by this figure whether a time-out of its own says anything about the other side.

use cowslip_units::ClockTime;

/// Time in ms for which a delay is remembered, at least.
const WINDOW_MS: u64 = 1_000;

/// The longest delays of this window of time and of the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessDelay {
    window: u64,
    longest_ms: u64,
    before_ms: u64,
}

impl ProcessDelay {
    /// A timer fired `late_ms` behind its time.
    pub fn note(&mut self, late_ms: u64, now: ClockTime) {
        self.turn(now);
        self.longest_ms = self.longest_ms.max(late_ms);
    }

    /// The longest delay in ms of the last second or two.
    pub fn longest_ms(&mut self, now: ClockTime) -> u64 {
        self.turn(now);
        self.longest_ms.max(self.before_ms)
    }

    fn turn(&mut self, now: ClockTime) {
        let window = now.millis() / WINDOW_MS;
        if window == self.window {
            return;
        }
        self.before_ms = if window == self.window + 1 { self.longest_ms } else { 0 };
        self.longest_ms = 0;
        self.window = window;
    }
}
