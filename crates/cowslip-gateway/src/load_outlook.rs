//! What the leader has told of the loads of models that requests wait for.

use cowslip_entry::{ArrivalLine, DelayLine};
use cowslip_units::{ClockTime, ModelId};

/// A load that is this many ms past its expected end is overdue: it is no longer counted on, and the leader
/// is asked again.
const LATE_LOAD_MS: u64 = 150;

/// Time in ms for which the leader's estimate of a load that has not begun is used.
const DELAY_VALID_MS: u64 = 2_000;

/// A load reported by the leader, for a model that requests are waiting for.
#[derive(Clone, Debug)]
pub(crate) struct PendingLoad {
    /// Model that is loaded.
    pub model: ModelId,
    /// Expected end of the load.
    pub at: ClockTime,
    /// True when the load has started.
    pub begun: bool,
}

/// The leader's estimate of when a model can be served whose load has not begun.
#[derive(Clone, Debug)]
pub(crate) struct LoadDelayEstimate {
    /// Model that requests wait for.
    pub model: ModelId,
    /// Expected end of the load.
    pub at: ClockTime,
    /// End of the time for which the estimate is used.
    pub until: ClockTime,
}

/// Loads that the leader has reported, and its estimates for those that have not begun.
#[derive(Debug, Default)]
pub(crate) struct LoadOutlook {
    /// Loads that run or are planned.
    pending: Vec<PendingLoad>,
    /// Estimates for loads that have not begun.
    delays: Vec<LoadDelayEstimate>,
}

impl LoadOutlook {
    /// Time in ms until a model can be served whose load has not begun, as the leader last estimated; `None` without a
    /// recent estimate.
    pub(crate) fn delay_ms(&self, model: &ModelId, now: ClockTime) -> Option<u64> {
        let line = self.delays.iter().find(|line| line.model == *model && now < line.until)?;
        Some(line.at.since_ms(now))
    }

    /// Applies the leader's estimates.
    pub(crate) fn set_delays(&mut self, lines: Vec<DelayLine>, now: ClockTime) {
        let is_placed = |model: &ModelId| self.pending.iter().any(|load| load.model == *model);
        self.delays.retain(|known| {
            now < known.until
                && !is_placed(&known.model)
                && !lines.iter().any(|line| line.model == known.model)
        });
        self.delays.extend(lines.into_iter().map(|line| LoadDelayEstimate {
            model: line.model,
            at: now.plus_ms(line.wait_ms),
            until: now.plus_ms(DELAY_VALID_MS),
        }));
    }

    /// Time in ms until a load of the model reported by the leader ends; with `begun`, only loads that have
    /// started count. Overdue loads are ignored.
    pub(crate) fn eta_ms(&self, model: &ModelId, begun: bool, now: ClockTime) -> Option<u64> {
        let lines = self.pending.iter().filter(|line| line.model == *model && (line.begun || !begun));
        let current = lines.filter(|line| now < line.at.plus_ms(LATE_LOAD_MS));
        current.map(|line| line.at.since_ms(now)).min()
    }

    /// Replaces the loads reported by the leader.
    pub(crate) fn set_pending(&mut self, lines: Vec<ArrivalLine>, now: ClockTime) {
        let pending_load = |line: ArrivalLine| PendingLoad {
            model: line.model,
            at: now.plus_ms(line.wait_ms),
            begun: line.begun,
        };
        self.pending = lines.into_iter().map(pending_load).collect();
    }
}
