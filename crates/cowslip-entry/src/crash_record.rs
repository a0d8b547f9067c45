//! The end of one incarnation of an upstream, and the requests there whose answers had not begun, or only just.
//!
//! An answer that had gone on for a while cannot be what ends an upstream at the begin of an answer, so its request
//! is no suspect. Several gateways add the requests that each of them had there, and the parts that each of them has
//! found to be sound since. Both only grow, so merged records agree in whichever order they are merged.

use cowslip_units::{ClockTime, PartId};

use crate::suspect_list::{FULL_BLAME, SuspectList};
use crate::{UpstreamStart, is_request_key};

/// Maximum number of parts of all suspects of one record.
const MAX_PARTS: usize = 128;

/// Blame in thousandths that the suspects share whose answers had begun: there are more of these, and most crashes at the
/// begin of an answer come before its first event.
const BEGUN_BLAME: u32 = FULL_BLAME * 3 / 4;

/// How far the answer to a request had come when its upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStage {
    /// It had no event.
    Waiting,
    /// It had begun, and had not gone on long enough to show that the upstream survives it.
    Begun,
}

impl AnswerStage {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Begun => "begun",
        }
    }
}

/// Crash of one incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// Incarnation that ended.
    pub start: UpstreamStart,
    /// Time of the end, or of the first message about it.
    pub at: ClockTime,
    /// Suspects that waited for the begin of their answers.
    pub(crate) waiting: SuspectList,
    /// Suspects whose answers had begun.
    pub(crate) begun: SuspectList,
    /// Parts of them that an upstream survived later, sorted.
    cleared: Vec<PartId>,
    /// Revision of the log with the last change.
    pub revision: u64,
    /// True when this gateway has changed the record and the leader has not got that yet.
    pub is_unshared: bool,
}

impl CrashRecord {
    /// A crash without suspects.
    pub fn new(start: UpstreamStart, at: ClockTime) -> Self {
        Self {
            start,
            at,
            waiting: SuspectList::default(),
            begun: SuspectList::default(),
            cleared: Vec::new(),
            revision: 0,
            is_unshared: false,
        }
    }

    /// Prompt parts and key of each suspected request.
    pub fn suspects(&self) -> impl Iterator<Item = &Vec<PartId>> {
        self.waiting.requests().iter().chain(self.begun.requests())
    }

    /// Parts that an upstream survived after the crash.
    pub fn cleared(&self) -> &[PartId] {
        &self.cleared
    }

    /// True when a suspect is left.
    pub const fn has_suspects(&self) -> bool {
        !self.waiting.is_empty() || !self.begun.is_empty()
    }

    /// True when a prompt part of a suspect is left.
    pub fn has_suspected_parts(&self) -> bool {
        self.suspects().flatten().any(|part| !is_request_key(part))
    }

    /// Adds a suspected request by its sorted prompt parts and key; returns false when that changes nothing.
    pub fn add_suspect(&mut self, mut parts: Vec<PartId>, stage: AnswerStage) -> bool {
        parts.retain(|part| self.cleared.binary_search(part).is_err());
        let known = self.waiting.part_count() + self.begun.part_count() + self.cleared.len();
        if parts.is_empty() || known + parts.len() > MAX_PARTS {
            return false;
        }
        match stage {
            AnswerStage::Waiting => self.waiting.add(parts),
            AnswerStage::Begun => self.begun.add(parts),
        }
    }

    /// Clears a part; returns false when it is not suspected.
    pub fn clear_part(&mut self, part: &PartId) -> bool {
        if !self.has_part(part) {
            return false;
        }
        self.note_cleared(part)
    }

    /// Takes over that another gateway has cleared a part, whether or not it is suspected here; returns false when
    /// that is known.
    pub fn note_cleared(&mut self, part: &PartId) -> bool {
        match self.cleared.binary_search(part) {
            Err(at) if self.cleared.len() < MAX_PARTS => {
                self.cleared.insert(at, part.clone());
                self.drop_part(part);
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    /// Removes a part from all suspects.
    pub fn drop_part(&mut self, part: &PartId) {
        self.waiting.drop_part(part);
        self.begun.drop_part(part);
    }

    /// Suspects with that part.
    pub fn suspects_with<'a>(&'a self, part: &'a PartId) -> impl Iterator<Item = &'a Vec<PartId>> {
        self.waiting.with_part(part).chain(self.begun.with_part(part))
    }

    /// True when a suspect has that part.
    pub fn has_part(&self, part: &PartId) -> bool {
        self.waiting.has_part(part) || self.begun.has_part(part)
    }

    /// Share of the blame for this crash that falls on a part, in thousandths.
    pub fn blame(&self, part: &PartId) -> u32 {
        let begun = self.begun.blame(part) * BEGUN_BLAME / FULL_BLAME;
        self.waiting.blame(part).max(begun)
    }
}
