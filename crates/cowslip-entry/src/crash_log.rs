//! Crashes of upstreams, and the prompt parts that are suspected to have caused them.
//!
//! Every gateway records the crashes that it sees, and merges those that others report. A record lists the
//! requests whose answers had not begun at the upstream that ended, or only just, by the prompt parts that other
//! requests may share, and by the key of the whole request ([`crate::request_key`]). An upstream that survives an
//! answer on a part after a crash clears the part of that crash, so only parts that no upstream survives collect
//! crashes. Merging is a union, in which the order and the number of messages do not matter.
//!
//! Load this answers: requests whose prompts share one part that ends every engine which begins to answer them.
//! They come at all gateways, beside sound requests that share their other parts. And one request that does so
//! each time it comes again, though each of its parts is sound.

use std::cell::OnceCell;

use cowslip_units::{ClockTime, PartId};

use crate::crash_messages::{CrashLine, CrashLogCopy};
use crate::crash_record::{AnswerStage, CrashRecord};
use crate::part_assessment::{PartAssessment, SuspectedParts};
use crate::part_history::{PartHistory, SuspectKind};
use crate::part_survivals::{PartSurvivals, SURVIVAL_RETENTION_MS};
use crate::{FleetMembers, QuarantinedPart, UpstreamStart, is_request_key};

/// Maximum number of crashes with suspects.
const MAX_RECORDS: usize = 128;

/// Time in ms for which a crash whose suspects are not quarantined is remembered.
const SUSPICION_MS: u64 = 600_000;

/// Time in ms for which a crash is remembered when only whole requests are suspected: one that comes again does so soon.
const REQUEST_SUSPICION_MS: u64 = 60_000;

/// Largest age in ms of a crash in a message; longer than the longest quarantine time.
const MAX_AGE_MS: u64 = 8_000_000;

/// Time in ms for which a crash without a suspect is remembered, so that no gateway brings its suspects back.
const CLEARED_MS: u64 = 15_000;

/// Time in ms after a crash within which only requests that waited at the upstream are sent again.
const RETRY_ONLY_MS: u64 = 300;

/// A prompt part that is taken for the cause of crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
struct CrashCause {
    part: PartId,
    /// Number of crashes.
    events: u32,
    /// Sum of its shares in them, in thousandths.
    blame: u32,
    /// Time from which they are enough.
    confirmed_at: ClockTime,
}

/// Known crashes and survivals of one gateway.
///
/// Times are on a clock of which the origin is further back than the longest quarantine time, so that the ages in
/// messages are points on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashLog {
    /// Crashes, sorted by incarnation.
    records: Vec<CrashRecord>,
    survivals: PartSurvivals,
    /// Prompt parts that are taken for the cause of crashes, once they were needed since the last change.
    causes: OnceCell<Vec<CrashCause>>,
    /// Crashes that other gateways should learn of soon.
    urgent: Vec<UpstreamStart>,
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

    /// Records that an upstream has survived an answer on these parts.
    pub fn record_survival(&mut self, parts: &[PartId], now: ClockTime) {
        let before = self.revision;
        for part in parts {
            self.survivals.record(part, now);
            self.clear_part(part);
        }
        if self.revision != before {
            self.causes.take();
        }
    }

    /// Clears a part of the crashes before its last survival. A part of several crashes may be quarantined elsewhere, so
    /// other gateways learn of that soon.
    fn clear_part(&mut self, part: &PartId) {
        let Some(survived_at) = self.survivals.last(part) else { return };
        let is_urgent = self.records.iter().filter(|record| record.has_part(part)).count() > 1;
        for record in self.records.iter_mut().filter(|record| record.at < survived_at) {
            if record.clear_part(part) {
                self.revision += 1;
                record.revision = self.revision;
                record.is_unshared = true;
                add_urgent(&mut self.urgent, record, is_urgent);
            }
        }
    }

    /// Records that a request with these sorted parts was at an upstream that ended, and is a suspect.
    pub fn record_crash(
        &mut self,
        start: &UpstreamStart,
        parts: &[PartId],
        stage: AnswerStage,
        now: ClockTime,
    ) {
        if !parts.is_empty() {
            self.add_suspects(start, now, &[parts.to_vec()], stage, true);
            self.bound_records(now);
            self.causes.take();
        }
    }

    /// Adds suspects of a crash at `at`, without their parts that an upstream has survived since, as seen here.
    /// `is_own` is true for suspects of this gateway.
    fn add_suspects(
        &mut self,
        start: &UpstreamStart,
        at: ClockTime,
        suspects: &[Vec<PartId>],
        stage: AnswerStage,
        is_own: bool,
    ) {
        let repeated = self.repeated_requests(start, suspects);
        let found = self.records.binary_search_by(|record| record.start.cmp(start));
        let index = found.unwrap_or_else(|index| {
            self.records.insert(index, CrashRecord::new(start.clone(), at));
            index
        });
        let Some(record) = self.records.get_mut(index) else { return };
        // A message about a crash arrives later than the crash.
        record.at = record.at.min(at);
        for parts in suspects {
            let mut parts = parts.clone();
            parts.sort_unstable();
            parts.dedup();
            let is_urgent = parts.iter().any(|part| is_news(&self.survivals, &repeated, part));
            if record.add_suspect(parts, stage) {
                self.revision += 1;
                record.revision = self.revision;
                record.is_unshared |= is_own;
                add_urgent(&mut self.urgent, record, is_urgent);
            }
        }
        let at = record.at;
        let is_sound = |part: &&PartId| self.survivals.last(part).is_some_and(|survived_at| survived_at > at);
        let sound: Vec<PartId> = record.suspects().flatten().filter(is_sound).cloned().collect();
        for part in &sound {
            self.clear_part(part);
        }
    }

    /// Keys of those of these requests that are suspects of another crash than that of `start`.
    fn repeated_requests(&self, start: &UpstreamStart, suspects: &[Vec<PartId>]) -> Vec<PartId> {
        let is_repeated =
            |key: &&PartId| self.records.iter().any(|record| record.start != *start && record.has_part(key));
        let keys = suspects.iter().flatten().filter(|part| is_request_key(part));
        keys.filter(is_repeated).cloned().collect()
    }

    /// Drops the oldest crashes above the limit, first those whose suspects are not quarantined.
    fn bound_records(&mut self, now: ClockTime) {
        let excess = self.records.len().saturating_sub(MAX_RECORDS);
        if excess == 0 {
            return;
        }
        let quarantined = self.quarantined_parts(now);
        let mut order: Vec<(bool, ClockTime, UpstreamStart)> = Vec::with_capacity(self.records.len());
        order.extend(
            self.records
                .iter()
                .map(|record| (has_quarantined(record, &quarantined), record.at, record.start.clone())),
        );
        order.sort_unstable();
        order.truncate(excess);
        self.records.retain(|record| !order.iter().any(|(_, _, start)| *start == record.start));
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: ClockTime) {
        self.survivals.expire(now);
        for (part, history) in self.confirmed_parts(now) {
            if now >= history.released_at() {
                self.records.iter_mut().for_each(|record| record.drop_part(&part));
            }
        }
        let quarantined = self.quarantined_parts(now);
        self.records.retain(|record| {
            now.since_ms(record.at) < retention_ms(record) || has_quarantined(record, &quarantined)
        });
        self.causes.take();
    }

    /// Parts and keys that are suspected of several crashes, sorted.
    fn repeated_parts(&self) -> Vec<&PartId> {
        let mut parts: Vec<&PartId> = Vec::new();
        for record in &self.records {
            let mut of_record: Vec<&PartId> = record.suspects().flatten().collect();
            of_record.sort_unstable();
            of_record.dedup();
            parts.extend(of_record);
        }
        parts.sort_unstable();
        let repeated = parts.chunk_by(|left, right| left == right).filter(|chunk| chunk.len() > 1);
        repeated.filter_map(|chunk| chunk.first().copied()).collect()
    }

    /// Parts with enough crashes to be quarantined, sorted.
    fn confirmed_parts(&self, now: ClockTime) -> Vec<(PartId, PartHistory)> {
        let parts = self.repeated_parts().into_iter();
        parts.filter_map(|part| Some((part.clone(), self.confirmed(part, now)?))).collect()
    }

    /// History of a part without the crashes that another part explains; `None` when it explains them all.
    fn unexplained(&self, part: &PartId, now: ClockTime) -> Option<PartHistory> {
        let whole = PartHistory::new(part, self.records.iter())?;
        let causes = self.stronger_parts(part, &whole, now);
        if causes.is_empty() {
            return Some(whole);
        }
        let is_explained = |record: &&CrashRecord| causes.iter().any(|cause| record.has_part(cause));
        PartHistory::new(part, self.records.iter().filter(|record| !is_explained(record)))
    }

    /// Parts that are taken for the cause of more crashes than a part is suspected of, or with more blame, and were at some of
    /// these.
    fn stronger_parts(&self, part: &PartId, history: &PartHistory, now: ClockTime) -> Vec<&PartId> {
        let causes = self.causes().iter().filter(|cause| {
            (cause.events, cause.blame) > (history.event_count(), history.blame)
                && now >= cause.confirmed_at
                && cause.part != *part
        });
        let shares_crash = |cause: &&CrashCause| {
            self.records.iter().any(|record| record.has_part(part) && record.has_part(&cause.part))
        };
        causes.filter(shares_crash).map(|cause| &cause.part).collect()
    }

    /// Prompt parts that have enough crashes to be taken for their cause, whatever else was there.
    fn causes(&self) -> &[CrashCause] {
        self.causes.get_or_init(|| {
            let parts = self.repeated_parts().into_iter().filter(|part| !is_request_key(part));
            parts.filter_map(|part| self.cause(part)).collect()
        })
    }

    fn cause(&self, part: &PartId) -> Option<CrashCause> {
        let history = PartHistory::new(part, self.records.iter())?;
        let confirmed_at = history.confirmed_at(self.kind(part, &history))?;
        let (part, events, blame) = (part.clone(), history.event_count(), history.blame);
        Some(CrashCause { part, events, blame, confirmed_at })
    }

    /// Kind of a suspected part: it is in use when an upstream survived it shortly before its first crash.
    fn kind(&self, part: &PartId, history: &PartHistory) -> SuspectKind {
        if is_request_key(part) {
            return SuspectKind::Request;
        }
        let survived_at = self.survivals.last(part);
        let is_in_use = survived_at.is_some_and(|at| history.first_at().since_ms(at) < SURVIVAL_RETENTION_MS);
        if is_in_use { SuspectKind::PartInUse } else { SuspectKind::RarePart }
    }

    /// History of a part that is to be quarantined.
    fn confirmed(&self, part: &PartId, now: ClockTime) -> Option<PartHistory> {
        let history = self.unexplained(part, now)?;
        let confirmed_at = history.confirmed_at(self.kind(part, &history));
        confirmed_at.is_some_and(|at| now >= at).then_some(history)
    }

    /// Time until which requests with a confirmed part only wait.
    fn settled_at(
        &self,
        part: &PartId,
        proven: &PartHistory,
        fleet: FleetMembers<'_>,
        now: ClockTime,
    ) -> ClockTime {
        let kind = self.kind(part, proven);
        let confirmed_at = proven.confirmed_at(kind).unwrap_or(now);
        // A part in use is confirmed late enough for messages about it to have arrived.
        if kind == SuspectKind::PartInUse { confirmed_at } else { confirmed_at.plus_ms(fleet.settle_ms()) }
    }

    /// Assesses a request with these sorted shared parts and key.
    pub fn assess(&self, parts: &[PartId], fleet: FleetMembers<'_>, now: ClockTime) -> PartAssessment {
        let mut suspected =
            SuspectedParts { parts: Vec::new(), retry_from: ClockTime::ZERO, others_from: ClockTime::ZERO };
        for part in parts {
            let Some(history) = PartHistory::new(part, self.records.iter()) else { continue };
            let kind = self.kind(part, &history);
            let mut retry_from = history.last_at;
            let mut others_from = history.last_at.plus_ms(RETRY_ONLY_MS + fleet.trial_delay_ms(part));
            if let Some(proven) = self.confirmed(part, now).filter(|proven| proven.is_common_to(parts)) {
                let settled_at = self.settled_at(part, &proven, fleet, now);
                let is_tester = proven.is_single_request || fleet.is_owner(part);
                let may_try = now >= proven.tried_from() && is_tester;
                if now >= settled_at && !may_try {
                    return PartAssessment::Quarantined(QuarantinedPart::new(part, proven));
                }
                retry_from = retry_from.max(settled_at);
                others_from = others_from.max(settled_at);
            } else if history.is_exempt(kind, now) {
                continue;
            }
            suspected.retry_from = suspected.retry_from.max(retry_from);
            suspected.others_from = suspected.others_from.max(others_from);
            suspected.parts.push(part.clone());
        }
        if suspected.parts.is_empty() { PartAssessment::Clear } else { PartAssessment::Suspected(suspected) }
    }

    /// Parts that are quarantined now, sorted.
    pub fn quarantined_parts(&self, now: ClockTime) -> Vec<QuarantinedPart> {
        let quarantined = self.confirmed_parts(now).into_iter().filter_map(|(part, history)| {
            (now < history.released_at()).then(|| QuarantinedPart::new(&part, history))
        });
        quarantined.collect()
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
                let is_changed = record.waiting.requests() != line.suspects
                    || record.begun.requests() != line.begun
                    || record.cleared() != line.cleared;
                record.is_unshared &= is_changed;
            }
        }
    }

    /// Prepares to give everything to a new leader.
    pub fn share_again(&mut self) {
        self.records.iter_mut().for_each(|record| record.is_unshared = true);
    }

    /// Copy of the crashes with suspects that are new since the last call; `None` when there are none.
    pub fn take_urgent(&mut self, now: ClockTime) -> Option<CrashLogCopy> {
        let urgent = std::mem::take(&mut self.urgent);
        let records = self.records.iter().filter(|record| urgent.contains(&record.start));
        let crashes: Vec<CrashLine> = records.map(|record| crash_line(record, now)).collect();
        (!crashes.is_empty()).then_some(CrashLogCopy { crashes })
    }

    /// True when other gateways should learn of a change soon.
    pub const fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Copy of the crashes of parts that are quarantined, reduced to these parts.
    pub fn quarantined_copy(&self, now: ClockTime) -> CrashLogCopy {
        let quarantined = self.quarantined_parts(now);
        let is_quarantined = |part: &PartId| quarantined.iter().any(|known| known.part == *part);
        let mut crashes = Vec::new();
        for record in self.records.iter().filter(|record| has_quarantined(record, &quarantined)) {
            let reduced = |requests: &[Vec<PartId>]| -> Vec<Vec<PartId>> {
                let parts = requests.iter().map(|parts| parts.iter().filter(|part| is_quarantined(part)));
                let parts = parts.map(|parts| parts.cloned().collect::<Vec<PartId>>());
                parts.filter(|parts| !parts.is_empty()).collect()
            };
            let (suspects, begun) = (reduced(record.waiting.requests()), reduced(record.begun.requests()));
            crashes.push(CrashLine { suspects, begun, cleared: Vec::new(), ..crash_line(record, now) });
        }
        CrashLogCopy { crashes }
    }

    /// Merges another gateway's copy of crashes.
    pub fn merge(&mut self, copy: &CrashLogCopy, now: ClockTime) {
        let before = self.revision;
        for line in copy.crashes.iter().filter(|line| line.age_ms < MAX_AGE_MS) {
            let at = now.minus_ms(line.age_ms);
            self.add_suspects(&line.start, at, &line.suspects, AnswerStage::Waiting, false);
            self.add_suspects(&line.start, at, &line.begun, AnswerStage::Begun, false);
            for part in &line.cleared {
                self.note_cleared(&line.start, part);
            }
        }
        self.bound_records(now);
        if self.revision != before {
            self.causes.take();
        }
    }

    /// Takes over that another gateway has cleared a part of a crash.
    fn note_cleared(&mut self, start: &UpstreamStart, part: &PartId) {
        let is_urgent = self.records.iter().filter(|record| record.has_part(part)).count() > 1;
        let found = self.records.binary_search_by(|record| record.start.cmp(start));
        let Some(record) = found.ok().and_then(|index| self.records.get_mut(index)) else { return };
        if record.note_cleared(part) {
            self.revision += 1;
            record.revision = self.revision;
            add_urgent(&mut self.urgent, record, is_urgent);
        }
    }
}

/// True when other gateways should learn soon that a part is suspected: a part that no upstream is known to have
/// survived, or a request that is suspected for the second time.
fn is_news(survivals: &PartSurvivals, repeated_requests: &[PartId], part: &PartId) -> bool {
    if is_request_key(part) { repeated_requests.contains(part) } else { survivals.last(part).is_none() }
}

/// Time in ms for which a crash is remembered.
fn retention_ms(record: &CrashRecord) -> u64 {
    if record.has_suspected_parts() {
        SUSPICION_MS
    } else if record.has_suspects() {
        REQUEST_SUSPICION_MS
    } else {
        CLEARED_MS
    }
}

fn crash_line(record: &CrashRecord, now: ClockTime) -> CrashLine {
    CrashLine {
        start: record.start.clone(),
        age_ms: now.since_ms(record.at),
        suspects: record.waiting.requests().to_vec(),
        begun: record.begun.requests().to_vec(),
        cleared: record.cleared().to_vec(),
    }
}

/// True when a suspect of a crash has a part that is quarantined.
fn has_quarantined(record: &CrashRecord, quarantined: &[QuarantinedPart]) -> bool {
    quarantined.iter().any(|known| record.has_part(&known.part))
}

fn add_urgent(urgent: &mut Vec<UpstreamStart>, record: &CrashRecord, is_urgent: bool) {
    if is_urgent && !urgent.contains(&record.start) {
        urgent.push(record.start.clone());
    }
}
