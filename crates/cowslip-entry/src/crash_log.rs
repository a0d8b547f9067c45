//! Crashes of upstreams, and the prompt parts that are suspected to have caused them.
//!
//! Every gateway records the crashes that it sees, and merges those that others report. A record lists the
//! requests that waited for the begin of their answers at the upstream that ended, by the prompt parts that
//! other requests may share. An answer that begins on a part after a crash clears the part of that crash, so
//! only parts on which no answer ever begins collect crashes. Merging is a union, in which the order and the
//! number of messages do not matter.
//!
//! Load this answers: requests whose prompts share one part that ends every engine which begins to answer them.
//! They come at all gateways, beside sound requests that share their other parts.

use cowslip_units::{ClockTime, PartId};
use smol_str::SmolStr;

use crate::crash_messages::{CrashLine, CrashLogCopy};
use crate::crash_record::CrashRecord;
use crate::part_begins::{BEGIN_RETENTION_MS, PartBegins};
use crate::part_history::PartHistory;
use crate::part_verdict::{PartVerdict, SuspectedParts};
use crate::{HeldPart, UpstreamStart, hash_rank, pair_weight, report_interval_ms, text_hash};

/// Maximum number of crashes with suspects.
const MAX_RECORDS: usize = 128;

/// Time in ms for which a crash whose suspects are not held back is remembered.
const SUSPICION_MS: u64 = 600_000;

/// Largest age in ms of a crash in a message; longer than the longest hold time.
const MAX_AGE_MS: u64 = 8_000_000;

/// Time in ms for which a crash without a suspect is remembered, so that no gateway brings its suspects back.
const CLEARED_MS: u64 = 15_000;

/// Shortest time in ms for which requests with a convicted part only wait: the news that an answer has begun on it
/// may be on the way.
const MIN_SETTLE_MS: u64 = 600;

/// Time in ms after a crash within which only requests that waited at the upstream are sent again.
const REPEAT_MS: u64 = 300;

/// Members of the fleet, to choose who tries a part.
#[derive(Clone, Copy, Debug)]
pub struct FleetMembers<'a> {
    /// Name of this gateway.
    pub own_name: &'a str,
    /// Names of all gateways.
    pub members: &'a [SmolStr],
}

impl FleetMembers<'_> {
    /// True when this gateway is the one that tries a part again after its hold time.
    fn is_owner(&self, part: &PartId) -> bool {
        let key = text_hash(part.as_str());
        !self.members.is_empty() && hash_rank(key, self.own_name, self.members) == 0
    }

    /// Time in ms for which requests with a convicted part only wait: in a large fleet, until each gateway has got
    /// an answer of the leader.
    fn settle_ms(&self) -> u64 {
        (report_interval_ms(self.members.len()) * 5 / 4).max(MIN_SETTLE_MS)
    }

    /// Delay in ms that spreads the first trials of several gateways.
    fn trial_delay_ms(&self, part: &PartId) -> u64 {
        pair_weight(text_hash(part.as_str()), text_hash(self.own_name)) % REPEAT_MS
    }
}

/// Known crashes and begins of one gateway.
///
/// Times are on a clock of which the origin is further back than the longest hold time, so that the ages in
/// messages are points on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashLog {
    /// Crashes, sorted by incarnation.
    records: Vec<CrashRecord>,
    begins: PartBegins,
    /// Crashes that other gateways should learn of soon.
    news: Vec<UpstreamStart>,
    /// Number of changes so far.
    revision: u64,
}

impl CrashLog {
    /// An empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// True when no crash has a suspect.
    pub fn is_empty(&self) -> bool {
        !self.records.iter().any(CrashRecord::has_suspects)
    }

    /// Records that an answer began on these parts.
    pub fn record_begin(&mut self, parts: &[PartId], now: ClockTime) {
        for part in parts {
            self.begins.record(part, now);
            self.clear_part(part);
        }
    }

    /// Clears a part of the crashes before its last begin. A part of several crashes may be held back elsewhere, so
    /// other gateways learn of that soon.
    fn clear_part(&mut self, part: &PartId) {
        let Some(begun_at) = self.begins.last(part) else { return };
        let is_news = self.records.iter().filter(|record| record.has_part(part)).count() > 1;
        for record in self.records.iter_mut().filter(|record| record.at < begun_at) {
            if record.clear_part(part) {
                self.revision += 1;
                record.revision = self.revision;
                record.is_unshared = true;
                add_news(&mut self.news, record, is_news);
            }
        }
    }

    /// Records that a request with these sorted parts waited at an upstream that ended.
    pub fn record_crash(&mut self, start: &UpstreamStart, parts: &[PartId], now: ClockTime) {
        if !parts.is_empty() {
            self.add_suspects(start, now, &[parts.to_vec()], true);
            self.bound_records(now);
        }
    }

    /// Adds suspects of a crash at `at`, without their parts on which an answer has begun here since. `is_own` is
    /// true for suspects of this gateway.
    fn add_suspects(&mut self, start: &UpstreamStart, at: ClockTime, suspects: &[Vec<PartId>], is_own: bool) {
        let found = self.records.binary_search_by(|record| record.start.cmp(start));
        let index = found.unwrap_or_else(|index| {
            self.records.insert(index, CrashRecord::new(start.clone(), at));
            index
        });
        let Some(record) = self.records.get_mut(index) else { return };
        // News of a crash arrive later than the crash.
        record.at = record.at.min(at);
        for parts in suspects {
            let mut parts = parts.clone();
            parts.sort_unstable();
            parts.dedup();
            let is_news = parts.iter().any(|part| self.begins.last(part).is_none());
            if record.add_suspect(parts) {
                self.revision += 1;
                record.revision = self.revision;
                record.is_unshared |= is_own;
                add_news(&mut self.news, record, is_news);
            }
        }
        let at = record.at;
        let has_begun = |part: &&PartId| self.begins.last(part).is_some_and(|begun_at| begun_at > at);
        let begun: Vec<PartId> = record.suspects().iter().flatten().filter(has_begun).cloned().collect();
        for part in &begun {
            self.clear_part(part);
        }
    }

    /// Drops the oldest crashes above the limit, first those whose suspects are not held back.
    fn bound_records(&mut self, now: ClockTime) {
        let excess = self.records.len().saturating_sub(MAX_RECORDS);
        if excess == 0 {
            return;
        }
        let held = self.held_parts(now);
        let mut order: Vec<(bool, ClockTime, UpstreamStart)> = Vec::with_capacity(self.records.len());
        order.extend(
            self.records.iter().map(|record| (has_held(record, &held), record.at, record.start.clone())),
        );
        order.sort_unstable();
        order.truncate(excess);
        self.records.retain(|record| !order.iter().any(|(_, _, start)| *start == record.start));
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: ClockTime) {
        self.begins.expire(now);
        for (part, history) in self.convicted_parts(now) {
            if now >= history.released_at() {
                self.records.iter_mut().for_each(|record| record.drop_part(&part));
            }
        }
        let held = self.held_parts(now);
        self.records.retain(|record| {
            let keep_ms = if record.has_suspects() { SUSPICION_MS } else { CLEARED_MS };
            now.since_ms(record.at) < keep_ms || has_held(record, &held)
        });
    }

    /// Parts with enough crashes to be held back, sorted.
    fn convicted_parts(&self, now: ClockTime) -> Vec<(PartId, PartHistory)> {
        let mut parts: Vec<&PartId> = Vec::new();
        for record in &self.records {
            let mut of_record: Vec<&PartId> = record.suspects().iter().flatten().collect();
            of_record.sort_unstable();
            of_record.dedup();
            parts.extend(of_record);
        }
        parts.sort_unstable();
        // Parts of one crash only are the most, and need no closer look.
        let repeated = parts.chunk_by(|left, right| left == right).filter(|chunk| chunk.len() > 1);
        let repeated = repeated.filter_map(|chunk| chunk.first().copied());
        repeated.filter_map(|part| Some((part.clone(), self.convicted(part, now)?))).collect()
    }

    fn history(&self, part: &PartId) -> Option<PartHistory> {
        PartHistory::new(part, self.records.iter())
    }

    /// True when answers began on a part shortly before its first crash.
    fn is_in_use(&self, part: &PartId, history: &PartHistory) -> bool {
        let begun_at = self.begins.last(part);
        begun_at.is_some_and(|at| history.first_at().since_ms(at) < BEGIN_RETENTION_MS)
    }

    /// History of a part that is to be held back.
    fn convicted(&self, part: &PartId, now: ClockTime) -> Option<PartHistory> {
        let history = self.history(part)?;
        let convicted_at = history.convicted_at(self.is_in_use(part, &history));
        convicted_at.is_some_and(|at| now >= at).then_some(history)
    }

    /// Verdict on a request with these sorted shared parts.
    pub fn judge(&self, parts: &[PartId], fleet: FleetMembers<'_>, now: ClockTime) -> PartVerdict {
        let mut suspected =
            SuspectedParts { parts: Vec::new(), repeat_from: ClockTime::ZERO, others_from: ClockTime::ZERO };
        for part in parts {
            let Some(history) = self.history(part) else { continue };
            let mut repeat_from = history.last_at;
            let mut others_from = history.last_at.plus_ms(REPEAT_MS + fleet.trial_delay_ms(part));
            let is_in_use = self.is_in_use(part, &history);
            // Parts that were never seen apart are held back together, and tried apart.
            let has_common = history.common.iter().all(|common| parts.binary_search(common).is_ok());
            let convicted_at = history.convicted_at(is_in_use).filter(|at| has_common && now >= *at);
            if let Some(convicted_at) = convicted_at {
                let settled_at =
                    if is_in_use { convicted_at } else { convicted_at.plus_ms(fleet.settle_ms()) };
                let may_try = now >= history.last_at.plus_ms(history.hold_ms()) && fleet.is_owner(part);
                if now >= settled_at && !may_try {
                    return PartVerdict::Held(HeldPart::new(part, history));
                }
                repeat_from = repeat_from.max(settled_at);
                others_from = others_from.max(settled_at);
            } else if is_in_use && history.is_excused(now) {
                continue;
            }
            suspected.repeat_from = suspected.repeat_from.max(repeat_from);
            suspected.others_from = suspected.others_from.max(others_from);
            suspected.parts.push(part.clone());
        }
        if suspected.parts.is_empty() { PartVerdict::Clear } else { PartVerdict::Suspected(suspected) }
    }

    /// Parts that are held back now, sorted.
    pub fn held_parts(&self, now: ClockTime) -> Vec<HeldPart> {
        let held = self.convicted_parts(now).into_iter().filter_map(|(part, history)| {
            (now < history.released_at()).then(|| HeldPart::new(&part, history))
        });
        held.collect()
    }

    /// Hash of all crashes; zero when there is none. Equal logs have equal digests.
    pub fn digest(&self) -> u64 {
        let crashes = self.records.iter();
        digest_of(crashes.map(|record| (&record.start, record.suspects(), record.cleared())))
    }

    /// Copy of the whole log.
    pub fn copy(&self, now: ClockTime) -> CrashLogCopy {
        self.changes_since(0, now)
    }

    /// Cursor after all changes so far.
    pub const fn cursor(&self) -> u64 {
        self.revision
    }

    /// Copy of the crashes that changed after a cursor of this log.
    pub fn changes_since(&self, cursor: u64, now: ClockTime) -> CrashLogCopy {
        self.copy_of(|record| record.revision > cursor, now)
    }

    /// Copy of the crashes of which the leader has not got this gateway's part.
    pub fn unshared(&self, now: ClockTime) -> CrashLogCopy {
        self.copy_of(|record| record.is_unshared, now)
    }

    fn copy_of(&self, is_included: impl Fn(&CrashRecord) -> bool, now: ClockTime) -> CrashLogCopy {
        let records = self.records.iter().filter(|record| is_included(record));
        CrashLogCopy { crashes: records.map(|record| crash_line(record, now)).collect() }
    }

    /// Records that the leader has got a copy of [`Self::unshared`].
    pub fn mark_shared(&mut self, copy: &CrashLogCopy) {
        for line in &copy.crashes {
            let found = self.records.binary_search_by(|record| record.start.cmp(&line.start));
            if let Some(record) = found.ok().and_then(|index| self.records.get_mut(index)) {
                let is_changed = record.suspects() != line.suspects || record.cleared() != line.cleared;
                record.is_unshared &= is_changed;
            }
        }
    }

    /// Prepares to give everything to a new leader.
    pub fn share_again(&mut self) {
        self.records.iter_mut().for_each(|record| record.is_unshared = true);
    }

    /// Copy of the crashes with suspects that are new since the last call; `None` when there are none.
    pub fn take_news(&mut self, now: ClockTime) -> Option<CrashLogCopy> {
        let news = std::mem::take(&mut self.news);
        let records = self.records.iter().filter(|record| news.contains(&record.start));
        let crashes: Vec<CrashLine> = records.map(|record| crash_line(record, now)).collect();
        (!crashes.is_empty()).then_some(CrashLogCopy { crashes })
    }

    /// True when there are news for other gateways.
    pub const fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Copy of the crashes of parts that are held back, reduced to these parts.
    pub fn held_copy(&self, now: ClockTime) -> CrashLogCopy {
        let held = self.held_parts(now);
        let is_held = |part: &PartId| held.iter().any(|held| held.part == *part);
        let mut crashes = Vec::new();
        for record in self.records.iter().filter(|record| has_held(record, &held)) {
            let suspects = record.suspects().iter();
            let mut suspects: Vec<Vec<PartId>> =
                suspects.map(|parts| parts.iter().filter(|part| is_held(part)).cloned().collect()).collect();
            suspects.retain(|parts| !parts.is_empty());
            crashes.push(CrashLine { suspects, cleared: Vec::new(), ..crash_line(record, now) });
        }
        CrashLogCopy { crashes }
    }

    /// Merges another gateway's copy of crashes.
    pub fn merge(&mut self, copy: &CrashLogCopy, now: ClockTime) {
        for line in copy.crashes.iter().filter(|line| line.age_ms < MAX_AGE_MS) {
            self.add_suspects(&line.start, now.minus_ms(line.age_ms), &line.suspects, false);
            let found = self.records.binary_search_by(|record| record.start.cmp(&line.start));
            let record = found.ok().and_then(|index| self.records.get_mut(index));
            if let Some(record) = record {
                for part in &line.cleared {
                    if record.note_cleared(part) {
                        self.revision += 1;
                        record.revision = self.revision;
                    }
                }
            }
        }
        self.bound_records(now);
    }
}

impl CrashLogCopy {
    /// Digest of a log with just these crashes.
    pub fn digest(&self) -> u64 {
        let crashes = self.crashes.iter();
        digest_of(crashes.map(|line| (&line.start, line.suspects.as_slice(), line.cleared.as_slice())))
    }
}

fn add_news(news: &mut Vec<UpstreamStart>, record: &CrashRecord, is_news: bool) {
    if is_news && !news.contains(&record.start) {
        news.push(record.start.clone());
    }
}

fn crash_line(record: &CrashRecord, now: ClockTime) -> CrashLine {
    CrashLine {
        start: record.start.clone(),
        age_ms: now.since_ms(record.at),
        suspects: record.suspects().to_vec(),
        cleared: record.cleared().to_vec(),
    }
}

/// True when a suspect of a crash has a part that is held back.
fn has_held(record: &CrashRecord, held: &[HeldPart]) -> bool {
    held.iter().any(|held| record.has_part(&held.part))
}

/// Hash of crashes: their incarnations, suspects and cleared parts, sorted by incarnation.
fn digest_of<'a>(crashes: impl Iterator<Item = (&'a UpstreamStart, &'a [Vec<PartId>], &'a [PartId])>) -> u64 {
    let mix = |digest: u64, value: u64| pair_weight(digest.wrapping_add(1), value);
    let mix_parts = |digest: u64, parts: &[PartId]| {
        let digest = mix(digest, parts.len() as u64);
        parts.iter().fold(digest, |digest, part| mix(digest, text_hash(part.as_str())))
    };
    crashes.fold(0, |digest, (start, suspects, cleared)| {
        let digest = mix(mix(digest, text_hash(start.id.as_str())), start.born);
        let digest = suspects.iter().fold(digest, |digest, parts| mix_parts(digest, parts));
        mix_parts(mix(digest, suspects.len() as u64), cleared)
    })
}
