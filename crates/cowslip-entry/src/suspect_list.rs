//! Requests that are suspected to have ended one upstream, by what the crash log knows them by.

use cowslip_units::PartId;

use crate::is_request_key;

/// Blame of one crash, in thousandths: its suspects share it.
pub(crate) const FULL_BLAME: u32 = 1_000;

/// Suspected requests: the sorted shared prompt parts and the key of each, without what was cleared; sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectList {
    requests: Vec<Vec<PartId>>,
}

impl SuspectList {
    /// The suspects.
    pub fn requests(&self) -> &[Vec<PartId>] {
        &self.requests
    }

    /// True without a suspect.
    pub const fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of parts and keys of all suspects.
    pub fn part_count(&self) -> usize {
        self.requests.iter().map(Vec::len).sum()
    }

    /// Adds a request by its sorted parts; returns false when it is known. Requests with the same parts and key are one
    /// suspect.
    pub fn add(&mut self, parts: Vec<PartId>) -> bool {
        match self.requests.binary_search(&parts) {
            Ok(_) => false,
            Err(at) => {
                self.requests.insert(at, parts);
                true
            }
        }
    }

    /// Removes a part from all suspects.
    pub fn drop_part(&mut self, part: &PartId) {
        for parts in &mut self.requests {
            parts.retain(|known| known != part);
        }
        self.requests.retain(|parts| !parts.is_empty());
        self.requests.sort_unstable();
        self.requests.dedup();
    }

    /// Suspects with that part.
    pub fn with_part<'a>(&'a self, part: &'a PartId) -> impl Iterator<Item = &'a Vec<PartId>> {
        self.requests.iter().filter(move |parts| parts.binary_search(part).is_ok())
    }

    /// True when a suspect has that part.
    pub fn has_part(&self, part: &PartId) -> bool {
        self.with_part(part).next().is_some()
    }

    /// Share of the blame that falls on a part, in thousandths. Requests share it; for a prompt part, those with the
    /// same parts count once, and those without any not at all.
    pub fn blame(&self, part: &PartId) -> u32 {
        if is_request_key(part) {
            return share(self.with_part(part).count(), self.requests.len());
        }
        let prompts = self.requests.iter().map(|parts| prompt_parts(parts));
        let mut prompts: Vec<Vec<&PartId>> = prompts.filter(|parts| !parts.is_empty()).collect();
        prompts.sort_unstable();
        prompts.dedup();
        share(prompts.iter().filter(|parts| parts.contains(&part)).count(), prompts.len())
    }
}

fn prompt_parts(parts: &[PartId]) -> Vec<&PartId> {
    parts.iter().filter(|part| !is_request_key(part)).collect()
}

/// Blame in thousandths of so many suspects among all.
fn share(suspects: usize, all: usize) -> u32 {
    let (suspects, all) =
        (u32::try_from(suspects).unwrap_or(u32::MAX), u32::try_from(all).unwrap_or(u32::MAX));
    suspects.saturating_mul(FULL_BLAME) / all.max(1)
}
