//! What a leader tells the other gateways of upstreams, adapters and members.
//!
//! News are noted with each plan, and answers between two plans tell what was noted. The age that an answer gives is
//! that of the noted knowledge, not of what the leader has learnt since: a gateway that took the later date would believe
//! that it knows of changes that it was not told.

use cowslip_units::{ClockTime, UpstreamId};
use smol_str::SmolStr;

use crate::{
    AdapterName, NewsLog, PlannedEngine, UpdateCursors, UpstreamEntry, UpstreamRegistry, ViewFreshness,
    adapters_of,
};

/// Entries a second that are told to gateways which need everything. A new leader that told all of a large fleet at once
/// was busy for longer than its lease; one that told a few of them with each plan left the others to the store.
const WHOLE_ENTRIES_PER_S: u64 = 32_000;

/// Gateways that are told everything between two plans, however many entries there are.
const LEAST_WHOLE: u64 = 2;

/// Longest time in ms between two plans for which entries are told later.
const WHOLE_SPAN_MS: u64 = 300;

/// The part of an answer that tells news.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpdateBatch {
    /// True when the news are left for a later answer.
    pub deferred: bool,
    /// True when the news are everything that there is.
    pub fresh: bool,
    /// Up to where the news go.
    pub marks: UpdateCursors,
    /// Upstreams that came, changed or went.
    pub upstreams: Vec<(UpstreamId, Option<UpstreamEntry>)>,
    /// Adapters of upstreams where they changed.
    pub adapters: Vec<(UpstreamId, Option<Vec<AdapterName>>)>,
    /// Gateways that came (true) or went.
    pub members: Vec<(SmolStr, bool)>,
}

/// The news of one leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaderUpdates {
    upstreams: NewsLog<UpstreamId, UpstreamEntry>,
    adapters: NewsLog<UpstreamId, Vec<AdapterName>>,
    members: NewsLog<SmolStr, ()>,
    /// Gateways that may still be told everything before the next plan.
    whole_left: u64,
    /// When news were last noted.
    noted_at: Option<ClockTime>,
    /// Store version of the noted upstreams.
    version: u64,
    /// When the noted upstreams were proven.
    confirmed_at: Option<ClockTime>,
}

impl LeaderUpdates {
    /// A leader that has noted nothing, and defers what it tells.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes what is known of upstreams, adapters and members.
    pub fn note(
        &mut self,
        members: Vec<SmolStr>,
        book: &UpstreamRegistry,
        engines: &[PlannedEngine],
        now: ClockTime,
    ) {
        self.whole_left = self.whole_answers(book.all().len() as u64, now);
        self.noted_at = Some(now);
        self.members.sync(members.into_iter().map(|name| (name, ())));
        self.upstreams.sync(book.published_entries().map(|entry| (entry.id.clone(), entry)));
        self.adapters.sync(engines.iter().map(|engine| (engine.entry.id.clone(), adapters_of(engine, now))));
    }

    /// Gateways that may be told everything for the time since the last note.
    fn whole_answers(&self, entries: u64, now: ClockTime) -> u64 {
        let span_ms = self.noted_at.map_or(0, |at| now.since_ms(at)).min(WHOLE_SPAN_MS);
        (span_ms * WHOLE_ENTRIES_PER_S / 1_000 / entries.max(1)).max(LEAST_WHOLE)
    }

    /// Notes of what store version the upstreams are known, and when that was proven.
    pub fn record_freshness(&mut self, version: u64, confirmed_at: Option<ClockTime>) {
        self.version = version;
        self.confirmed_at = confirmed_at;
    }

    /// What a gateway is told that knows this leader's news up to `marks`, or no news of it.
    pub fn updates_since(&mut self, knows: bool, marks: UpdateCursors) -> UpdateBatch {
        let newest = UpdateCursors {
            upstreams: self.upstreams.mark(),
            adapters: self.adapters.mark(),
            members: self.members.mark(),
        };
        if !knows && self.whole_left == 0 {
            return UpdateBatch { deferred: true, marks: newest, ..UpdateBatch::default() };
        }
        if !knows {
            self.whole_left -= 1;
        }
        let marks = if knows { marks } else { UpdateCursors::default() };
        let members = self.members.since(marks.members).into_iter();
        UpdateBatch {
            deferred: false,
            fresh: !knows,
            marks: newest,
            upstreams: self.upstreams.since(marks.upstreams),
            adapters: self.adapters.since(marks.adapters),
            members: members.map(|(name, here)| (name, here.is_some())).collect(),
        }
    }

    /// Upstreams that leave, or have left, and that a gateway which knows this leader's news up to `marks` was not told of.
    pub fn left(&self, marks: UpdateCursors) -> Vec<UpstreamId> {
        let leaves = |entry: &Option<UpstreamEntry>| entry.as_ref().is_none_or(|entry| entry.draining);
        self.upstreams
            .newer(marks.upstreams)
            .filter(|(_, entry)| leaves(entry))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// The leader's stamp with the version and the age of what was noted of upstreams.
    pub fn stamp(&self, view: ViewFreshness, now: ClockTime) -> ViewFreshness {
        let upstream_age_ms = self.confirmed_at.map(|at| now.since_ms(at));
        ViewFreshness { upstream_version: self.version, upstream_age_ms, ..view }
    }
}
