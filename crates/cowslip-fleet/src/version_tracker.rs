//! Which members are known to have which version of the view.

use cowslip_units::{IncarnationId, ViewVersion};

use crate::{FleetView, sorted_vec};

/// Versions of the members as this process has heard of them.
///
/// A change is accepted once a majority of the members has it. Majorities of two member lists intersect only if
/// the lists differ by one member, so [`crate::CommitProtocol`] commits such steps only.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionTracker {
    own: IncarnationId,
    members: Vec<IncarnationId>,
    known: Vec<(IncarnationId, ViewVersion)>,
    gone: Vec<IncarnationId>,
}

impl VersionTracker {
    /// The spread as `own` knows it: only its own version.
    pub fn new(own: IncarnationId, view: &FleetView) -> Self {
        let mut spread = Self { own, members: Vec::new(), known: Vec::new(), gone: Vec::new() };
        spread.view_changed(view);
        spread
    }

    /// Takes the members and the process's own version from its view.
    pub fn view_changed(&mut self, view: &FleetView) {
        self.members = view.members().iter().map(|member| member.incarnation.clone()).collect();
        let Self { own, members, known, gone } = self;
        known.retain(|(incarnation, _)| incarnation == own || members.binary_search(incarnation).is_ok());
        gone.retain(|incarnation| members.binary_search(incarnation).is_ok());
        self.on_report(&self.own.clone(), view.version());
    }

    /// A process answered or reported that its view has `version`.
    pub fn on_report(&mut self, incarnation: &IncarnationId, version: ViewVersion) {
        match sorted_vec::find_mut(&mut self.known, incarnation, |(incarnation, _)| incarnation) {
            Some((_, known)) => *known = (*known).max(version),
            None => sorted_vec::put(&mut self.known, (incarnation.clone(), version), |(name, _)| name),
        }
    }

    /// A process has ended for certain: its VM is gone, or the VM runs a later incarnation. A mere lack of
    /// answers is no such evidence.
    pub fn ended(&mut self, incarnation: &IncarnationId) {
        if let Err(at) = self.gone.binary_search(incarnation) {
            self.gone.insert(at, incarnation.clone());
        }
    }

    /// The version that the process is known to have.
    pub fn version_of(&self, incarnation: &IncarnationId) -> Option<ViewVersion> {
        sorted_vec::find(&self.known, incarnation, |(incarnation, _)| incarnation)
            .map(|(_, version)| *version)
    }

    /// True when a majority of the members has `version`, which makes a committed change accepted. Members that
    /// have ended count: they can no longer confirm an older view for others.
    pub fn has_majority(&self, version: ViewVersion) -> bool {
        let pending = self.pending(version).len();
        // Without members nobody can confirm a view but by the store, so a commit is enough.
        self.members.is_empty() || self.members.len() - pending > self.members.len() / 2
    }

    /// Members that are not known to have `version` and have not ended, sorted.
    pub fn pending(&self, version: ViewVersion) -> Vec<IncarnationId> {
        let lacks = |incarnation: &&IncarnationId| {
            self.gone.binary_search(incarnation).is_err()
                && self.version_of(incarnation).is_none_or(|known| known < version)
        };
        self.members.iter().filter(lacks).cloned().collect()
    }
}
