//! Tracks for how long a VM has been missing from the VM list.

use cowslip_units::ClockTime;

/// A VM counts as gone after it has been missing for this long, in ms. A single read may be stale and not yet
/// show a VM that was just added.
const GONE_AFTER_MS: u64 = 3_000;
/// Longest time in ms that counts between two reads. Reads are one second apart; after a pause of the
/// process, two stale reads must not count as a long absence.
const MAX_READ_GAP_MS: u64 = 1_000;

/// Consecutive reads of the VM list that do not contain a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListAbsence {
    since: ClockTime,
    last_read: ClockTime,
    missing_ms: u64,
}

impl ListAbsence {
    /// Starts with the first read that does not contain the VM.
    pub const fn new(now: ClockTime) -> Self {
        Self { since: now, last_read: now, missing_ms: 0 }
    }

    /// Records another read that does not contain the VM.
    pub fn record_miss(&mut self, now: ClockTime) {
        self.missing_ms += now.since_ms(self.last_read).min(MAX_READ_GAP_MS);
        self.last_read = now;
    }

    /// Time of the first read.
    pub const fn since(&self) -> ClockTime {
        self.since
    }

    /// Whether the VM has been missing for long enough.
    pub const fn is_gone(&self) -> bool {
        self.missing_ms >= GONE_AFTER_MS
    }
}
