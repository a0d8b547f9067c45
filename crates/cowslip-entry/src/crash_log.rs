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

use crate::crash_messages::{CrashLine, CrashLogCopy};
use crate::crash_record::CrashRecord;
use crate::part_assessment::{PartAssessment, SuspectedParts};
use crate::part_begins::{BEGIN_RETENTION_MS, PartBegins};
use crate::part_history::PartHistory;
use crate::{FleetMembers, QuarantinedPart, UpstreamStart};

/// Maximum number of crashes with suspects.
const MAX_RECORDS: usize = 128;

/// Time in ms for which a crash whose suspects are not quarantined is remembered.
const SUSPICION_MS: u64 = 600_000;

/// Largest age in ms of a crash in a message; longer than the longest quarantine time.
const MAX_AGE_MS: u64 = 8_000_000;

/// Time in ms for which a crash without a suspect is remembered, so that no gateway brings its suspects back.
const CLEARED_MS: u64 = 15_000;

/// Time in ms after a crash within which only requests that waited at the upstream are sent again.
const RETRY_ONLY_MS: u64 = 300;

/// Known crashes and begins of one gateway.
///
/// Times are on a clock of which the origin is further back than the longest quarantine time, so that the ages in
/// messages are points on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashLog {
    /// Crashes, sorted by incarnation.
    records: Vec<CrashRecord>,
    begins: PartBegins,
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

    /// Records that an answer began on these parts.
    pub fn record_begin(&mut self, parts: &[PartId], now: ClockTime) {
        for part in parts {
            self.begins.record(part, now);
            self.clear_part(part);
        }
    }

    /// Clears a part of the crashes before its last begin. A part of several crashes may be quarantined elsewhere, so
    /// other gateways learn of that soon.
    fn clear_part(&mut self, part: &PartId) {
        let Some(begun_at) = self.begins.last(part) else { return };
        let is_urgent = self.records.iter().filter(|record| record.has_part(part)).count() > 1;
        for record in self.records.iter_mut().filter(|record| record.at < begun_at) {
            if record.clear_part(part) {
                self.revision += 1;
                record.revision = self.revision;
                record.is_unshared = true;
                add_urgent(&mut self.urgent, record, is_urgent);
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
        // A message about a crash arrives later than the crash.
        record.at = record.at.min(at);
        for parts in suspects {
            let mut parts = parts.clone();
            parts.sort_unstable();
            parts.dedup();
            let is_urgent = parts.iter().any(|part| self.begins.last(part).is_none());
            if record.add_suspect(parts) {
                self.revision += 1;
                record.revision = self.revision;
                record.is_unshared |= is_own;
                add_urgent(&mut self.urgent, record, is_urgent);
            }
        }
        let at = record.at;
        let has_begun = |part: &&PartId| self.begins.last(part).is_some_and(|begun_at| begun_at > at);
        let begun: Vec<PartId> = record.suspects().iter().flatten().filter(has_begun).cloned().collect();
        for part in &begun {
            self.clear_part(part);
        }
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
        self.begins.expire(now);
        for (part, history) in self.confirmed_parts(now) {
            if now >= history.released_at() {
                self.records.iter_mut().for_each(|record| record.drop_part(&part));
            }
        }
        let quarantined = self.quarantined_parts(now);
        self.records.retain(|record| {
            let keep_ms = if record.has_suspects() { SUSPICION_MS } else { CLEARED_MS };
            now.since_ms(record.at) < keep_ms || has_quarantined(record, &quarantined)
        });
    }

    /// Parts with enough crashes to be quarantined, sorted.
    fn confirmed_parts(&self, now: ClockTime) -> Vec<(PartId, PartHistory)> {
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
        repeated.filter_map(|part| Some((part.clone(), self.confirmed(part, now)?))).collect()
    }

    fn history(&self, part: &PartId) -> Option<PartHistory> {
        PartHistory::new(part, self.records.iter())
    }

    /// True when answers began on a part shortly before its first crash.
    fn is_in_use(&self, part: &PartId, history: &PartHistory) -> bool {
        let begun_at = self.begins.last(part);
        begun_at.is_some_and(|at| history.first_at().since_ms(at) < BEGIN_RETENTION_MS)
    }

    /// History of a part that is to be quarantined.
    fn confirmed(&self, part: &PartId, now: ClockTime) -> Option<PartHistory> {
        let history = self.history(part)?;
        let confirmed_at = history.confirmed_at(self.is_in_use(part, &history));
        confirmed_at.is_some_and(|at| now >= at).then_some(history)
    }

    /// Assesses a request with these sorted shared parts.
    pub fn assess(&self, parts: &[PartId], fleet: FleetMembers<'_>, now: ClockTime) -> PartAssessment {
        let mut suspected =
            SuspectedParts { parts: Vec::new(), retry_from: ClockTime::ZERO, others_from: ClockTime::ZERO };
        for part in parts {
            let Some(history) = self.history(part) else { continue };
            let mut retry_from = history.last_at;
            let mut others_from = history.last_at.plus_ms(RETRY_ONLY_MS + fleet.trial_delay_ms(part));
            let is_in_use = self.is_in_use(part, &history);
            // Parts that were never seen apart are quarantined together, and tried apart.
            let has_common = history.common.iter().all(|common| parts.binary_search(common).is_ok());
            let confirmed_at = history.confirmed_at(is_in_use).filter(|at| has_common && now >= *at);
            if let Some(confirmed_at) = confirmed_at {
                let settled_at =
                    if is_in_use { confirmed_at } else { confirmed_at.plus_ms(fleet.settle_ms()) };
                let may_try = now >= history.last_at.plus_ms(history.quarantine_ms()) && fleet.is_owner(part);
                if now >= settled_at && !may_try {
                    return PartAssessment::Quarantined(QuarantinedPart::new(part, history));
                }
                retry_from = retry_from.max(settled_at);
                others_from = others_from.max(settled_at);
            } else if is_in_use && history.is_exempt(now) {
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
            let suspects = record.suspects().iter();
            let mut suspects: Vec<Vec<PartId>> = suspects
                .map(|parts| parts.iter().filter(|part| is_quarantined(part)).cloned().collect())
                .collect();
            suspects.retain(|parts| !parts.is_empty());
            crashes.push(CrashLine { suspects, cleared: Vec::new(), ..crash_line(record, now) });
        }
        CrashLogCopy { crashes }
    }

    /// Merges another gateway's copy of crashes.
    pub fn merge(&mut self, copy: &CrashLogCopy, now: ClockTime) {
        for line in copy.crashes.iter().filter(|line| line.age_ms < MAX_AGE_MS) {
            self.add_suspects(&line.start, now.minus_ms(line.age_ms), &line.suspects, false);
            for part in &line.cleared {
                self.note_cleared(&line.start, part);
            }
        }
        self.bound_records(now);
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

fn crash_line(record: &CrashRecord, now: ClockTime) -> CrashLine {
    CrashLine {
        start: record.start.clone(),
        age_ms: now.since_ms(record.at),
        suspects: record.suspects().to_vec(),
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
