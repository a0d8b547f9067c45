//! The fleet's configuration as built from the change log.

use std::collections::VecDeque;

use cowslip_messages::{ChangeRecord, FleetChange, KeyEntry, KeyState, MemberEntry, SheetRef, ViewSnapshot};
use cowslip_units::{
    DomainId, IncarnationId, InvariantName, KeyDigest, UpstreamId, ViewVersion, assert_invariant,
};

use crate::sorted_vec;

/// Limit on changes kept for processes that lag by a few versions; a snapshot row is written every 64
/// changes.
const RECENT_CHANGES: usize = 256;

/// Result of offering a change or snapshot to a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change was the next one and has been applied.
    Applied,
    /// The view already includes that version.
    AlreadyApplied,
    /// Earlier changes are missing; fetch those after the view's version.
    Gap,
}

/// The fleet's configuration at a version, which never decreases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    state: ViewSnapshot,
    recent: VecDeque<ChangeRecord>,
    share_changes: u64,
}

impl FleetView {
    /// The view before the first change.
    pub fn new() -> Self {
        Self::default()
    }

    /// Restores the view from a snapshot, whose vectors are sorted here.
    pub fn from_snapshot(mut snapshot: ViewSnapshot) -> Self {
        snapshot.keys.sort_by(|one, other| one.digest.cmp(&other.digest));
        snapshot.domains_out.sort();
        snapshot.upstreams_out.sort();
        snapshot.members.sort();
        Self { state: snapshot, recent: VecDeque::new(), share_changes: 0 }
    }

    /// Replaces the view with a newer snapshot; an older one is ignored.
    pub fn adopt(&mut self, snapshot: ViewSnapshot) -> ApplyOutcome {
        if snapshot.version < self.state.version {
            return ApplyOutcome::AlreadyApplied;
        }
        let mut offered = Self::from_snapshot(snapshot);
        if offered.state.version == self.state.version {
            assert_invariant(offered.state == self.state, InvariantName::ConfigOrdered, || {
                format!("two different views at version {}", self.state.version)
            });
            return ApplyOutcome::AlreadyApplied;
        }
        // The snapshot may skip changes, so it counts as more than one.
        offered.share_changes = self.share_changes + 2;
        *self = offered;
        ApplyOutcome::Applied
    }

    /// Applies the next change. A caller that needs the text of a sheet must fetch it first: once the change
    /// is applied, the view is confirmed as having the sheet in force.
    pub fn apply(&mut self, record: &ChangeRecord) -> ApplyOutcome {
        if record.version <= self.state.version {
            let same = self.recorded(record.version).is_none_or(|known| known == record);
            assert_invariant(same, InvariantName::ConfigOrdered, || {
                format!(
                    "change {} differs from the known change at version {}",
                    record.change_id, record.version
                )
            });
            return ApplyOutcome::AlreadyApplied;
        }
        if record.version != self.state.version.next() {
            return ApplyOutcome::Gap;
        }
        self.apply_change(&record.change);
        self.state.version = record.version;
        self.recent.push_back(record.clone());
        if self.recent.len() > RECENT_CHANGES {
            self.recent.pop_front();
        }
        ApplyOutcome::Applied
    }

    fn apply_change(&mut self, change: &FleetChange) {
        let state = &mut self.state;
        match change {
            FleetChange::SheetApplied { digest } => {
                self.share_changes += 1;
                state.sheet = Some(SheetRef { version: state.version.next(), digest: digest.clone() });
            }
            // A withdrawn key stays withdrawn and a key keeps its first team, whatever the log contains.
            FleetChange::KeyGiven { digest, team } => {
                if sorted_vec::find(&state.keys, digest, |entry| &entry.digest).is_none() {
                    let entry =
                        KeyEntry { digest: digest.clone(), team: team.clone(), state: KeyState::Given };
                    sorted_vec::put(&mut state.keys, entry, |entry| &entry.digest);
                }
            }
            FleetChange::KeyWithdrawn { digest } => {
                if let Some(entry) = sorted_vec::find_mut(&mut state.keys, digest, |entry| &entry.digest) {
                    entry.state = KeyState::Withdrawn;
                }
            }
            FleetChange::DomainSwitched { domain, out } => switch(&mut state.domains_out, domain, *out),
            FleetChange::UpstreamSwitched { upstream, out } => {
                switch(&mut state.upstreams_out, upstream, *out);
            }
            FleetChange::MembersSet { members } => {
                self.share_changes += 1;
                state.members.clone_from(members);
                state.members.sort();
            }
        }
    }

    fn recorded(&self, version: ViewVersion) -> Option<&ChangeRecord> {
        let first = self.recent.front()?.version.get();
        self.recent.get(usize::try_from(version.get().checked_sub(first)?).ok()?)
    }

    /// Version of the last change applied.
    pub fn version(&self) -> ViewVersion {
        self.state.version
    }

    /// Number of changes of members or sheet, which are the changes that redistribute shares. An increase by
    /// more than one means that the view may have skipped such changes.
    pub fn share_changes(&self) -> u64 {
        self.share_changes
    }

    /// The key with that digest, including withdrawn keys.
    pub fn key(&self, digest: &KeyDigest) -> Option<&KeyEntry> {
        sorted_vec::find(&self.state.keys, digest, |entry| &entry.digest)
    }

    /// True when the failure domain takes no new work.
    pub fn is_domain_out(&self, domain: &DomainId) -> bool {
        self.state.domains_out.binary_search(domain).is_ok()
    }

    /// True when the upstream takes no new work.
    pub fn is_upstream_out(&self, upstream: &UpstreamId) -> bool {
        self.state.upstreams_out.binary_search(upstream).is_ok()
    }

    /// Failure domains that take no new work, sorted.
    pub fn domains_out(&self) -> &[DomainId] {
        &self.state.domains_out
    }

    /// Upstreams that take no new work, sorted.
    pub fn upstreams_out(&self) -> &[UpstreamId] {
        &self.state.upstreams_out
    }

    /// The routers that hold shares, sorted by incarnation.
    pub fn members(&self) -> &[MemberEntry] {
        &self.state.members
    }

    /// The member with that incarnation.
    pub fn member(&self, incarnation: &IncarnationId) -> Option<&MemberEntry> {
        sorted_vec::find(&self.state.members, incarnation, |entry| &entry.incarnation)
    }

    /// Reference to the sheet in force.
    pub fn sheet_ref(&self) -> Option<&SheetRef> {
        self.state.sheet.as_ref()
    }

    /// The whole view in its serialised form.
    pub fn to_snapshot(&self) -> ViewSnapshot {
        self.state.clone()
    }

    /// The changes after `version` in order; `None` when they are no longer kept and a snapshot is needed.
    pub fn changes_since(&self, version: ViewVersion) -> Option<Vec<ChangeRecord>> {
        if version >= self.state.version {
            return Some(Vec::new());
        }
        self.recorded(version.next())?;
        Some(self.recent.iter().filter(|record| record.version > version).cloned().collect())
    }
}

fn switch<T: Ord + Clone>(out_list: &mut Vec<T>, name: &T, out: bool) {
    match (out_list.binary_search(name), out) {
        (Err(at), true) => out_list.insert(at, name.clone()),
        (Ok(at), false) => {
            out_list.remove(at);
        }
        (Ok(_), true) | (Err(_), false) => {}
    }
}
