//! When an upstream was last seen to survive an answer on each prompt part.

use cowslip_units::{ClockTime, PartId};

/// Time in ms for which a survival is remembered.
pub(crate) const SURVIVAL_RETENTION_MS: u64 = 60_000;

/// Maximum number of parts; the oldest survivals are dropped first.
const MAX_PARTS: usize = 4_096;

/// Parts with the time of their last survival, sorted by part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartSurvivals {
    times: Vec<(PartId, ClockTime)>,
}

impl PartSurvivals {
    fn find(&self, part: &PartId) -> Result<usize, usize> {
        self.times.binary_search_by(|(known, _)| known.cmp(part))
    }

    /// Last survival of a part; `None` when none is remembered.
    pub fn last(&self, part: &PartId) -> Option<ClockTime> {
        self.times.get(self.find(part).ok()?).map(|(_, at)| *at)
    }

    /// Records a survival. An older one than the known one changes nothing.
    pub fn record(&mut self, part: &PartId, at: ClockTime) {
        match self.find(part) {
            Ok(index) => {
                if let Some((_, known)) = self.times.get_mut(index) {
                    *known = at.max(*known);
                }
            }
            Err(index) => {
                self.times.insert(index, (part.clone(), at));
                if self.times.len() > MAX_PARTS {
                    self.drop_older_half();
                }
            }
        }
    }

    /// Drops the older half, so that the next many survivals need no search for the oldest one.
    fn drop_older_half(&mut self) {
        let mut times: Vec<ClockTime> = self.times.iter().map(|(_, at)| *at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.times.retain(|(_, at)| *at > median);
    }

    /// Drops survivals that are too old.
    pub fn expire(&mut self, now: ClockTime) {
        self.times.retain(|(_, at)| now.since_ms(*at) < SURVIVAL_RETENTION_MS);
    }

    /// Number of remembered parts.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// True when no survival is remembered.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }
}
