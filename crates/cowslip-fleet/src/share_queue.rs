//! Values that shrink at once and grow after the handoff delay.

use cowslip_units::{ClockTime, ViewVersion};

use crate::{HandoffGate, SHARE_HANDOFF_DELAY_MS, VersionTracker};

/// Gates of the configuration changes that this member has received, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct GateQueue {
    gates: Vec<HandoffGate>,
}

impl GateQueue {
    pub(crate) fn enqueue(&mut self, version: ViewVersion, now: ClockTime) {
        self.gates.push(HandoffGate::new(version, now).with_wait_ms(SHARE_HANDOFF_DELAY_MS));
    }

    /// Removes open gates and returns the newest version among them: no process still uses an older one.
    pub(crate) fn pop_open(&mut self, tracker: &VersionTracker, now: ClockTime) -> Option<ViewVersion> {
        for gate in &mut self.gates {
            gate.observe(tracker, now);
        }
        let opened = self.gates.iter().rposition(|gate| gate.is_open(now))?;
        self.gates.drain(..=opened).next_back().map(|gate| gate.version())
    }
}

/// A value by version: the oldest one that some process may still use, and all later ones.
///
/// A member uses only what all of them allow. Hence, whatever version another process has, the members'
/// shares add up under one of the versions.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingValues<T> {
    values: Vec<(ViewVersion, T)>,
}

impl<T: PartialEq> PendingValues<T> {
    pub(crate) fn new(value: T) -> Self {
        Self { values: vec![(ViewVersion::ZERO, value)] }
    }

    pub(crate) fn push(&mut self, version: ViewVersion, value: T) {
        if self.newest().is_none_or(|newest| *newest != value) {
            self.values.push((version, value));
        }
    }

    pub(crate) fn newest(&self) -> Option<&T> {
        self.values.last().map(|(_, value)| value)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &T> {
        self.values.iter().map(|(_, value)| value)
    }

    /// Drops values that no process still uses, given that every process has `version`.
    pub(crate) fn promote(&mut self, version: ViewVersion) {
        let in_force = self.values.iter().rposition(|(known, _)| *known <= version).unwrap_or(0);
        self.values.drain(..in_force);
    }
}
