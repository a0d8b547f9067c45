//! Requests of this gateway that are sent although one of their prompt parts is suspected.
//!
//! There is one at a time for each part, so that a poison part ends one upstream and not several, and so that a
//! crash has as few suspects as possible.

use cowslip_units::{ClockTime, PartId, UpstreamId};

use crate::survival_watch::SURVIVAL_MS;

/// Time in ms after its first event from which a trial holds up no other request, also when its caller reads too slowly
/// to show whether the upstream survives it.
const MAX_BEGUN_MS: u64 = 2 * SURVIVAL_MS;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Trial {
    number: u64,
    parts: Vec<PartId>,
    upstream: UpstreamId,
    begun_at: Option<ClockTime>,
}

impl Trial {
    fn is_under_way(&self, now: ClockTime) -> bool {
        self.begun_at.is_none_or(|at| now.since_ms(at) < MAX_BEGUN_MS)
    }
}

/// Trials under way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrialTable {
    trials: Vec<Trial>,
    last_number: u64,
}

impl TrialTable {
    /// True when a trial with one of the parts is under way.
    pub fn is_tried(&self, parts: &[PartId], now: ClockTime) -> bool {
        let mut trials = self.trials.iter().filter(|trial| trial.is_under_way(now));
        trials.any(|trial| trial.parts.iter().any(|part| parts.contains(part)))
    }

    /// Upstreams with a trial that is under way.
    pub fn upstreams(&self, now: ClockTime) -> impl Iterator<Item = &UpstreamId> {
        self.trials.iter().filter(move |trial| trial.is_under_way(now)).map(|trial| &trial.upstream)
    }

    /// Begins a trial and returns its number.
    pub fn begin(&mut self, parts: Vec<PartId>, upstream: UpstreamId) -> u64 {
        self.last_number += 1;
        self.trials.push(Trial { number: self.last_number, parts, upstream, begun_at: None });
        self.last_number
    }

    /// Records that the answer of a trial has begun.
    pub fn record_begin(&mut self, number: u64, now: ClockTime) {
        if let Some(trial) = self.trials.iter_mut().find(|trial| trial.number == number) {
            trial.begun_at.get_or_insert(now);
        }
    }

    /// Ends a trial.
    pub fn end(&mut self, number: u64) {
        self.trials.retain(|trial| trial.number != number);
    }
}
