//! How long a VM has been missing from the VM list.

use cowslip_units::ClockTime;

/// A VM is gone once it was missing for this long, in ms. A single read may be stale and not show a VM that was just
/// added.
const GONE_AFTER_MS: u64 = 3_000;
/// Most time in ms that counts between two reads. Reads are a second apart; a process that was paused must not take
/// two stale reads for a long absence.
const MAX_READ_GAP_MS: u64 = 1_000;

/// Consecutive reads of the VM list without a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListAbsence {
    since: ClockTime,
    last_read: ClockTime,
    missing_ms: u64,
}

impl ListAbsence {
    /// The first read without it.
    pub const fn new(now: ClockTime) -> Self {
        Self { since: now, last_read: now, missing_ms: 0 }
    }

    /// One more read without it.
    pub fn record_miss(&mut self, now: ClockTime) {
        self.missing_ms += now.since_ms(self.last_read).min(MAX_READ_GAP_MS);
        self.last_read = now;
    }

    /// The first of the reads.
    pub const fn since(&self) -> ClockTime {
        self.since
    }

    /// Whether it is gone.
    pub const fn is_gone(&self) -> bool {
        self.missing_ms >= GONE_AFTER_MS
    }
}
