//! The end of one incarnation of an upstream, and the requests that waited there for the begin of their answers.
//!
//! An answer that had begun cannot be what ends an upstream at the begin of an answer, so its request is no
//! suspect. Several gateways add the requests that each of them had there, and the parts that each of them has
//! found to be sound since. Both only grow, so merged records agree in whichever order they are merged.

use cowslip_units::{ClockTime, PartId};

use crate::UpstreamStart;

/// Maximum number of parts of all suspects of one record.
const MAX_PARTS: usize = 128;

/// Blame of one crash, in thousandths: its suspects share it.
pub(crate) const FULL_BLAME: u32 = 1_000;

/// Crash of one incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// Incarnation that ended.
    pub start: UpstreamStart,
    /// Time of the end, or of the first message about it.
    pub at: ClockTime,
    /// Shared prompt parts of each suspected request, without the cleared ones; sorted.
    suspects: Vec<Vec<PartId>>,
    /// Parts of them on which an answer began later, sorted.
    cleared: Vec<PartId>,
    /// Revision of the log with the last change.
    pub revision: u64,
    /// True when this gateway has changed the record and the leader has not got that yet.
    pub is_unshared: bool,
}

impl CrashRecord {
    /// A crash without suspects.
    pub const fn new(start: UpstreamStart, at: ClockTime) -> Self {
        Self { start, at, suspects: Vec::new(), cleared: Vec::new(), revision: 0, is_unshared: false }
    }

    /// Prompt parts of each suspected request.
    pub fn suspects(&self) -> &[Vec<PartId>] {
        &self.suspects
    }

    /// Parts on which an answer began after the crash.
    pub fn cleared(&self) -> &[PartId] {
        &self.cleared
    }

    /// True when a suspect is left.
    pub const fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Adds a suspected request by its sorted prompt parts; returns false when that changes nothing. Requests with
    /// the same parts are one suspect.
    pub fn add_suspect(&mut self, mut parts: Vec<PartId>) -> bool {
        parts.retain(|part| self.cleared.binary_search(part).is_err());
        let known = self.suspects.iter().map(Vec::len).sum::<usize>() + self.cleared.len();
        if parts.is_empty() || known + parts.len() > MAX_PARTS {
            return false;
        }
        match self.suspects.binary_search(&parts) {
            Ok(_) => false,
            Err(at) => {
                self.suspects.insert(at, parts);
                true
            }
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
        for parts in &mut self.suspects {
            parts.retain(|known| known != part);
        }
        self.suspects.retain(|parts| !parts.is_empty());
        self.suspects.sort_unstable();
        self.suspects.dedup();
    }

    /// Suspects with that part.
    pub fn suspects_with<'a>(&'a self, part: &'a PartId) -> impl Iterator<Item = &'a Vec<PartId>> {
        self.suspects.iter().filter(move |parts| parts.binary_search(part).is_ok())
    }

    /// True when a suspect has that part.
    pub fn has_part(&self, part: &PartId) -> bool {
        self.suspects_with(part).next().is_some()
    }

    /// Share of the blame for this crash that falls on a part, in thousandths.
    pub fn blame(&self, part: &PartId) -> u32 {
        let with_part = u32::try_from(self.suspects_with(part).count()).unwrap_or(u32::MAX);
        let all = u32::try_from(self.suspects.len()).unwrap_or(u32::MAX);
        with_part.saturating_mul(FULL_BLAME) / all.max(1)
    }
}
