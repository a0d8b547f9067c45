//! Tracks which version of the view each member has.

use cowslip_units::{IncarnationId, ViewVersion};

use crate::{FleetView, sorted_vec};

/// Latest view version that each member has reported to this process.
///
/// A change is accepted once a majority of the members has it. Majorities of two member lists are certain to
/// intersect only if the lists differ by one member, so [`crate::CommitProtocol`] commits only such steps.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionTracker {
    own: IncarnationId,
    members: Vec<IncarnationId>,
    known: Vec<(IncarnationId, ViewVersion)>,
    ended_members: Vec<IncarnationId>,
}

impl VersionTracker {
    /// A tracker with the version of `own` only.
    pub fn new(own: IncarnationId, view: &FleetView) -> Self {
        let mut tracker = Self { own, members: Vec::new(), known: Vec::new(), ended_members: Vec::new() };
        tracker.view_changed(view);
        tracker
    }

    /// Updates the members and the process's own version from its view.
    pub fn view_changed(&mut self, view: &FleetView) {
        self.members = view.members().iter().map(|member| member.incarnation.clone()).collect();
        let Self { own, members, known, ended_members } = self;
        known.retain(|(incarnation, _)| incarnation == own || members.binary_search(incarnation).is_ok());
        ended_members.retain(|incarnation| members.binary_search(incarnation).is_ok());
        self.on_report(&self.own.clone(), view.version());
    }

    /// Records the view version that a process has answered or reported.
    pub fn on_report(&mut self, incarnation: &IncarnationId, version: ViewVersion) {
        match sorted_vec::find_mut(&mut self.known, incarnation, |(incarnation, _)| incarnation) {
            Some((_, known)) => *known = (*known).max(version),
            None => sorted_vec::put(&mut self.known, (incarnation.clone(), version), |(name, _)| name),
        }
    }

    /// Records that a process is certain to have ended: its VM is gone, or the VM runs a later incarnation.
    /// Missing answers alone are no evidence of that.
    pub fn ended(&mut self, incarnation: &IncarnationId) {
        if let Err(at) = self.ended_members.binary_search(incarnation) {
            self.ended_members.insert(at, incarnation.clone());
        }
    }

    /// Latest reported version of a process; `None` before its first report.
    pub fn version_of(&self, incarnation: &IncarnationId) -> Option<ViewVersion> {
        sorted_vec::find(&self.known, incarnation, |(incarnation, _)| incarnation)
            .map(|(_, version)| *version)
    }

    /// True when a majority of the members has `version`, which makes a committed change accepted. Members
    /// that have ended count: they can no longer confirm an older view for others.
    pub fn has_majority(&self, version: ViewVersion) -> bool {
        let pending = self.pending(version).len();
        // Without members only the store can confirm a view, so the commit is enough.
        self.members.is_empty() || self.members.len() - pending > self.members.len() / 2
    }

    /// Members that have not reported `version` and have not ended, sorted.
    pub fn pending(&self, version: ViewVersion) -> Vec<IncarnationId> {
        let lacks = |incarnation: &&IncarnationId| {
            self.ended_members.binary_search(incarnation).is_err()
                && self.version_of(incarnation).is_none_or(|known| known < version)
        };
        self.members.iter().filter(lacks).cloned().collect()
    }
}
