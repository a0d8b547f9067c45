//! The leader's updates about upstreams, adapters and members to the other gateways.
//!
//! Updates are recorded with each plan; answers between two plans carry what was recorded last. The age in an
//! answer is that of the recorded state, not of what the leader has read since: with the later date a gateway
//! would treat itself as up to date on changes that it was never sent.

use cowslip_units::{ClockTime, UpstreamId};
use smol_str::SmolStr;

use crate::upstream_log::UpstreamLog;
use crate::{
    AdapterName, ChangeLog, ModelsLine, PlannedEngine, UpdateCursors, UpstreamEntry, UpstreamRegistry,
    ViewFreshness, adapters_of,
};

/// Entries a second that are sent in full snapshots. A new leader that sent snapshots to a whole large fleet
/// at once was busy for longer than its lease; one that sent a few with each plan left most gateways to read
/// the store themselves.
const SNAPSHOT_ENTRIES_PER_S: u64 = 32_000;

/// Gateways that may get a full snapshot between two plans, whatever the number of entries.
const MIN_SNAPSHOTS: u64 = 2;

/// Longest time in ms since the last plan that counts towards the snapshots of the next one.
const MAX_SNAPSHOT_SPAN_MS: u64 = 300;

/// The updates in one answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpdateBatch {
    /// True when updates are deferred to a later answer.
    pub deferred: bool,
    /// True for a full snapshot, false for a delta.
    pub fresh: bool,
    /// Cursors after these updates.
    pub marks: UpdateCursors,
    /// Upstreams that were added, changed or removed (`None`).
    pub upstreams: Vec<(UpstreamId, Option<UpstreamEntry>)>,
    /// Upstreams of which only the models changed.
    pub models: Vec<ModelsLine>,
    /// Adapters of each upstream where they changed; `None` for a removed upstream.
    pub adapters: Vec<(UpstreamId, Option<Vec<AdapterName>>)>,
    /// Gateways that joined (true) or left the fleet.
    pub members: Vec<(SmolStr, bool)>,
}

/// Change logs of one leader, from which the updates for each gateway are taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaderUpdates {
    upstreams: UpstreamLog,
    adapters: ChangeLog<UpstreamId, Vec<AdapterName>>,
    members: ChangeLog<SmolStr, ()>,
    /// Gateways that may still get a full snapshot before the next plan.
    snapshots_left: u64,
    /// Time of the last recording.
    recorded_at: Option<ClockTime>,
    /// Store version of the recorded upstreams.
    version: u64,
    /// Confirmed freshness of the recorded upstreams.
    confirmed_at: Option<ClockTime>,
}

impl LeaderUpdates {
    /// Empty logs. All updates are deferred until the first recording.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the present upstreams, adapters and members.
    pub fn record_state(
        &mut self,
        members: Vec<SmolStr>,
        registry: &UpstreamRegistry,
        engines: &[PlannedEngine],
        now: ClockTime,
    ) {
        self.snapshots_left = self.snapshot_budget(registry.all().len() as u64, now);
        self.recorded_at = Some(now);
        self.members.sync(members.into_iter().map(|name| (name, ())));
        self.upstreams.sync(registry);
        self.adapters.sync(engines.iter().map(|engine| (engine.entry.id.clone(), adapters_of(engine, now))));
    }

    /// Gateways that may get a full snapshot, for the time since the last recording.
    fn snapshot_budget(&self, entries: u64, now: ClockTime) -> u64 {
        let span_ms = self.recorded_at.map_or(0, |at| now.since_ms(at)).min(MAX_SNAPSHOT_SPAN_MS);
        (span_ms * SNAPSHOT_ENTRIES_PER_S / 1_000 / entries.max(1)).max(MIN_SNAPSHOTS)
    }

    /// Records the store version of the upstreams and when it was last confirmed.
    pub fn record_freshness(&mut self, version: u64, confirmed_at: Option<ClockTime>) {
        self.version = version;
        self.confirmed_at = confirmed_at;
    }

    /// Updates for a gateway: a delta from `marks` when it already has updates of this leader
    /// (`has_updates`), a full snapshot otherwise. `reads_lines`: the gateway reads lines about models.
    pub fn updates_since(
        &mut self,
        has_updates: bool,
        reads_lines: bool,
        marks: UpdateCursors,
    ) -> UpdateBatch {
        let newest = UpdateCursors {
            upstreams: self.upstreams.cursor(),
            adapters: self.adapters.cursor(),
            members: self.members.cursor(),
        };
        if !has_updates && self.snapshots_left == 0 {
            return UpdateBatch { deferred: true, marks: newest, ..UpdateBatch::default() };
        }
        if !has_updates {
            self.snapshots_left -= 1;
        }
        let marks = if has_updates { marks } else { UpdateCursors::default() };
        let members = self.members.since(marks.members).into_iter();
        let changes = self.upstreams.since(marks.upstreams, reads_lines);
        UpdateBatch {
            deferred: false,
            fresh: !has_updates,
            marks: newest,
            upstreams: changes.entries,
            models: changes.models,
            adapters: self.adapters.since(marks.adapters),
            members: members.map(|(name, entry)| (name, entry.is_some())).collect(),
        }
    }

    /// Upstreams that are leaving or have left, unless updates up to `marks` include that.
    pub fn left(&self, marks: UpdateCursors) -> Vec<UpstreamId> {
        self.upstreams.left_since(marks.upstreams)
    }

    /// `view` with the version and age of the recorded upstreams, which may be older than the leader's own
    /// view.
    pub fn recorded_freshness(&self, view: ViewFreshness, now: ClockTime) -> ViewFreshness {
        let upstream_age_ms = self.confirmed_at.map(|at| now.since_ms(at));
        ViewFreshness { upstream_version: self.version, upstream_age_ms, ..view }
    }
}
