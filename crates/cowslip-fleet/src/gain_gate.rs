//! The wait of a node that gains something by a change.

use cowslip_units::{ClockTime, ViewVersion};

use crate::{GAIN_WAIT_MS, VersionTracker};

/// Opens when no process can still use what it lost by the change at `version`.
///
/// Once a majority has the change, a process without it cannot be confirmed anew: not by the store, not through a
/// peer and not by a majority. Its last confirmation ends one view window later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GainGate {
    version: ViewVersion,
    learned_at: ClockTime,
    exchanged_at: Option<ClockTime>,
    wait_ms: u64,
}

impl GainGate {
    /// A gate for the change at `version`, learned now.
    pub fn new(version: ViewVersion, now: ClockTime) -> Self {
        Self { version, learned_at: now, exchanged_at: None, wait_ms: GAIN_WAIT_MS }
    }

    /// Waits `wait_ms` after the exchange with a majority in place of [`GAIN_WAIT_MS`].
    #[must_use]
    pub fn with_wait_ms(mut self, wait_ms: u64) -> Self {
        self.wait_ms = wait_ms;
        self
    }

    /// Starts the wait if a majority has the change.
    pub fn observe(&mut self, spread: &VersionTracker, now: ClockTime) {
        if self.exchanged_at.is_none() && spread.has_majority(self.version) {
            self.exchanged_at = Some(now);
        }
    }

    /// The version of the change.
    pub fn version(&self) -> ViewVersion {
        self.version
    }

    /// When this process learned of the change.
    pub fn learned_at(&self) -> ClockTime {
        self.learned_at
    }

    /// When a majority was known to have the change.
    pub fn exchanged_at(&self) -> Option<ClockTime> {
        self.exchanged_at
    }

    /// When the gain may be used; `None` before the exchange with a majority.
    pub fn usable_from(&self) -> Option<ClockTime> {
        self.exchanged_at.map(|at| at.plus_ms(self.wait_ms))
    }

    /// True when the gain may be used.
    pub fn is_open(&self, now: ClockTime) -> bool {
        self.usable_from().is_some_and(|from| now >= from)
    }
}
