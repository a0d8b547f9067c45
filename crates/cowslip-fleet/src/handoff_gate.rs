//! Safety delay before a member uses a share that it gained by a change.

use cowslip_units::{ClockTime, ViewVersion};

use crate::{HANDOFF_DELAY_MS, VersionTracker};

/// Opens once no process can still use what it lost by the change at `version`.
///
/// Once a majority has the change, a process without it cannot renew its confirmation: not from the store,
/// not through a peer and not from a majority. Its last confirmation expires one view window later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoffGate {
    version: ViewVersion,
    received_at: ClockTime,
    majority_seen_at: Option<ClockTime>,
    wait_ms: u64,
}

impl HandoffGate {
    /// A gate for the change at `version`, received at `now`.
    pub fn new(version: ViewVersion, now: ClockTime) -> Self {
        Self { version, received_at: now, majority_seen_at: None, wait_ms: HANDOFF_DELAY_MS }
    }

    /// Uses `wait_ms` after the exchange with a majority in place of [`HANDOFF_DELAY_MS`].
    #[must_use]
    pub fn with_wait_ms(mut self, wait_ms: u64) -> Self {
        self.wait_ms = wait_ms;
        self
    }

    /// Starts the delay if a majority has the change.
    pub fn observe(&mut self, tracker: &VersionTracker, now: ClockTime) {
        if self.majority_seen_at.is_none() && tracker.has_majority(self.version) {
            self.majority_seen_at = Some(now);
        }
    }

    /// Version of the change.
    pub fn version(&self) -> ViewVersion {
        self.version
    }

    /// When this process received the change.
    pub fn received_at(&self) -> ClockTime {
        self.received_at
    }

    /// When this process first saw that a majority has the change.
    pub fn majority_seen_at(&self) -> Option<ClockTime> {
        self.majority_seen_at
    }

    /// End of the delay; `None` before the exchange with a majority.
    pub fn usable_from(&self) -> Option<ClockTime> {
        self.majority_seen_at.map(|at| at.plus_ms(self.wait_ms))
    }

    /// True once the gained share may be used.
    pub fn is_open(&self, now: ClockTime) -> bool {
        self.usable_from().is_some_and(|from| now >= from)
    }
}
