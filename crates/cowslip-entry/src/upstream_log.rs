//! Change log of the upstreams' entries, as the leader sends them to the other gateways.
//!
//! Load this answers: hundreds of engines change their models about once a second, and each change goes to hundreds of
//! gateways. Such a change is sent as a short line; an entry is sent in full where more of it has changed.

use cowslip_units::UpstreamId;

use crate::models_line::ModelNames;
use crate::{KnownUpstream, ModelsLine, UpstreamEntry, UpstreamRegistry};

/// Changes of entries since a cursor.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct UpstreamChanges {
    /// Upstreams that were added, changed or removed (`None`).
    pub(crate) entries: Vec<(UpstreamId, Option<UpstreamEntry>)>,
    /// Upstreams of which only the models changed.
    pub(crate) models: Vec<ModelsLine>,
}

#[derive(Clone, Debug, PartialEq)]
struct LoggedUpstream {
    id: UpstreamId,
    /// `None` once removed.
    entry: Option<UpstreamEntry>,
    /// Cursor of the last change.
    changed_at: u64,
    /// Cursor of the last change other than of the models.
    described_at: u64,
}

/// The entries of all upstreams, with the cursors of their last changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct UpstreamLog {
    /// Sorted by id.
    upstreams: Vec<LoggedUpstream>,
    cursor: u64,
}

impl UpstreamLog {
    /// Cursor of the newest change.
    pub(crate) fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Makes the log equal to the registry, with a new cursor for each difference that other gateways need to know.
    pub(crate) fn sync(&mut self, registry: &UpstreamRegistry) {
        for logged in &mut self.upstreams {
            if logged.entry.is_some() && registry.get(&logged.id).is_none() {
                self.cursor += 1;
                logged.entry = None;
                (logged.changed_at, logged.described_at) = (self.cursor, self.cursor);
            }
        }
        for known in registry.all() {
            self.put(known, registry.is_leaving(&known.entry));
        }
    }

    fn put(&mut self, known: &KnownUpstream, draining: bool) {
        let found = self.upstreams.binary_search_by(|logged| logged.id.cmp(&known.entry.id));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let id = known.entry.id.clone();
                self.upstreams.insert(at, LoggedUpstream { id, entry: None, changed_at: 0, described_at: 0 });
                at
            }
        };
        let logged = &mut self.upstreams[at];
        match &mut logged.entry {
            Some(entry) if is_described(entry, &known.entry, draining) => {
                if entry.models == known.entry.models {
                    return;
                }
                entry.models.clone_from(&known.entry.models);
                entry.version = known.entry.version;
            }
            entry => {
                *entry = Some(UpstreamEntry { draining, ..known.entry.without_copies() });
                logged.described_at = self.cursor + 1;
            }
        }
        self.cursor += 1;
        logged.changed_at = self.cursor;
    }

    /// Changes since `cursor`. At cursor 0, which means a full snapshot, removed entries are left out. Without
    /// `as_lines`, changed models are sent with the whole entry.
    pub(crate) fn since(&self, cursor: u64, as_lines: bool) -> UpstreamChanges {
        let mut changes = UpstreamChanges::default();
        for logged in self.newer(cursor).filter(|logged| cursor > 0 || logged.entry.is_some()) {
            match &logged.entry {
                Some(entry) if as_lines && logged.described_at <= cursor => {
                    changes.models.push(ModelsLine {
                        upstream: logged.id.clone(),
                        version: entry.version,
                        models: entry.models.iter().cloned().map(ModelNames).collect(),
                    });
                }
                entry => changes.entries.push((logged.id.clone(), entry.clone())),
            }
        }
        changes
    }

    /// Upstreams that are leaving or were removed, as far as that changed since `cursor`.
    pub(crate) fn left_since(&self, cursor: u64) -> Vec<UpstreamId> {
        let is_leaving = |logged: &&LoggedUpstream| {
            logged.entry.as_ref().is_none_or(|entry| entry.draining) && logged.described_at > cursor
        };
        self.newer(cursor).filter(is_leaving).map(|logged| logged.id.clone()).collect()
    }

    fn newer(&self, cursor: u64) -> impl Iterator<Item = &LoggedUpstream> {
        self.upstreams.iter().filter(move |logged| logged.changed_at > cursor)
    }
}

/// True when a logged entry describes the same upstream in the same state, whatever models it holds.
fn is_described(logged: &UpstreamEntry, known: &UpstreamEntry, draining: bool) -> bool {
    logged.born == known.born
        && logged.draining == draining
        && logged.cold_left_ms == known.cold_left_ms
        && logged.slots == known.slots
        && logged.address == known.address
        && logged.service == known.service
        && logged.domain == known.domain
}
