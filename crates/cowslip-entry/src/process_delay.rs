//! Scheduling delay of the process: how late its own timers fire.
//!
//! A process that gets no processor time for a while, or is busy with one large message, receives answers
//! late. This figure in its logs shows whether a timeout may be due to the process itself instead of the
//! other side.
use cowslip_units::ClockTime;

/// Shortest time in ms for which a delay is remembered.
const WINDOW_MS: u64 = 1_000;

/// The longest delays of the present and the previous window of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessDelay {
    window: u64,
    longest_ms: u64,
    previous_ms: u64,
}

impl ProcessDelay {
    /// Records a timer that fired `late_ms` after its deadline.
    pub fn record_delay(&mut self, late_ms: u64, now: ClockTime) {
        self.advance_window(now);
        self.longest_ms = self.longest_ms.max(late_ms);
    }

    /// The longest delay in ms within the last one to two seconds.
    pub fn longest_ms(&mut self, now: ClockTime) -> u64 {
        self.advance_window(now);
        self.longest_ms.max(self.previous_ms)
    }

    fn advance_window(&mut self, now: ClockTime) {
        let window = now.millis() / WINDOW_MS;
        if window == self.window {
            return;
        }
        self.previous_ms = if window == self.window + 1 { self.longest_ms } else { 0 };
        self.longest_ms = 0;
        self.window = window;
    }
}
