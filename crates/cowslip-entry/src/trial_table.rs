//! Requests of this gateway that are sent although one of their prompt parts is suspected.
//!
//! There is one at a time for each part, so that a poison part ends one upstream and not several, and so that a
//! crash has as few suspects as possible.

use cowslip_units::{PartId, UpstreamId};

#[derive(Clone, Debug, PartialEq, Eq)]
struct Trial {
    number: u64,
    parts: Vec<PartId>,
    upstream: UpstreamId,
}

/// Trials under way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrialTable {
    trials: Vec<Trial>,
    last_number: u64,
}

impl TrialTable {
    /// True when a trial with one of the parts is under way.
    pub fn is_tried(&self, parts: &[PartId]) -> bool {
        self.trials.iter().any(|trial| trial.parts.iter().any(|part| parts.contains(part)))
    }

    /// Upstreams with a trial.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.trials.iter().map(|trial| &trial.upstream)
    }

    /// Begins a trial and returns its number.
    pub fn begin(&mut self, parts: Vec<PartId>, upstream: UpstreamId) -> u64 {
        self.last_number += 1;
        self.trials.push(Trial { number: self.last_number, parts, upstream });
        self.last_number
    }

    /// Ends a trial.
    pub fn end(&mut self, number: u64) {
        self.trials.retain(|trial| trial.number != number);
    }
}
