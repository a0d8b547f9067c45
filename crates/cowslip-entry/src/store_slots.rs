//! Admission of loads from the weight store.
//!
//! Load this answers: the store runs few loads at full speed, and each further one only slows down the
//! others. It is shared by models loaded ahead of demand, rare ones that a single request waits for, and hot
//! ones whose engines reject requests. Models without any copy that requests wait for have a share that hot ones cannot
//! take: without it they waited for as long as others were hot.

use cowslip_units::ClockTime;

use crate::{LoadBudget, LoadCause, StoreLimit, StoreUse};

/// Largest share of the full-speed loads that may run ahead of demand.
const AHEAD_SHARE: f64 = 0.75;

/// Time in ms after a hot model needed the weight store in which other loads are throttled. A replica of a
/// hot model serves many requests, the load of a rare one mostly a single request.
const CONTENDED_MS: u64 = 2_000;

/// Factor by which loads of hot models may exceed the number of loads that run at full speed.
const HOT_FACTOR: usize = 2;

/// Part of the loads that may run which models without a copy may use whatever else runs.
const MISSING_DIVISOR: usize = 4;

/// Slots for loads from the weight store.
#[derive(Clone, Debug)]
pub(crate) struct StoreSlots {
    limit: StoreLimit,
    budget: LoadBudget,
    /// Time at which a hot model last needed a slot.
    hot_at: Option<ClockTime>,
    /// True while requested models have no copy.
    has_missing: bool,
    /// Measured number of loads at full speed; `None` where the limit's own number counts.
    measured_at_once: Option<usize>,
}

impl StoreSlots {
    /// Slots within `limit`, all of them free.
    pub(crate) fn new(limit: StoreLimit, now: ClockTime) -> Self {
        Self { limit, budget: LoadBudget::new(now), hot_at: None, has_missing: false, measured_at_once: None }
    }

    /// Refills the budget at a rate of `per_s` loads.
    pub(crate) fn refill(&mut self, per_s: f64, now: ClockTime) {
        self.budget.refill(per_s, self.limit.extra, now);
    }

    /// Sets the measured number of loads that run at full speed; `None` to use the limit's own number.
    pub(crate) fn set_measured(&mut self, at_once: Option<usize>) {
        self.measured_at_once = at_once;
    }

    /// Records that a hot model needs a load of which no engine has a copy.
    pub(crate) fn record_hot_demand(&mut self, now: ClockTime) {
        self.hot_at = Some(now);
    }

    /// Sets whether requested models have no copy.
    pub(crate) fn set_missing(&mut self, has_missing: bool) {
        self.has_missing = has_missing;
    }

    /// True when a load may begin for `cause` beside those that run.
    pub(crate) fn can_start(&self, running: StoreUse, cause: LoadCause, now: ClockTime) -> bool {
        self.budget.can_start() && self.has_slot(running, cause, now)
    }

    fn has_slot(&self, running: StoreUse, cause: LoadCause, now: ClockTime) -> bool {
        let reserved = self.reserved();
        let is_within_total = running.total() < self.max_running(cause, now);
        match cause {
            LoadCause::Waiting => is_within_total || running.of(LoadCause::Waiting) < reserved,
            LoadCause::Hot if self.has_missing => {
                let others = running.total() - running.of(LoadCause::Waiting);
                is_within_total && others + reserved < self.max_running(cause, now)
            }
            LoadCause::Ahead if self.has_missing => false,
            LoadCause::Hot | LoadCause::Replica | LoadCause::Ahead => is_within_total,
        }
    }

    /// Loads of models without a copy that may run whatever else runs.
    fn reserved(&self) -> usize {
        let most = self.measured_at_once.unwrap_or(self.limit.at_once * HOT_FACTOR);
        (most / MISSING_DIVISOR).max(1)
    }

    /// Loads of models without a copy that can run at a time while others need the store too.
    pub(crate) fn missing_share(&self, now: ClockTime) -> usize {
        self.max_running(LoadCause::Waiting, now).max(self.reserved())
    }

    /// Charges a load that begins.
    pub(crate) fn take(&mut self) {
        self.budget.take();
    }

    /// Most loads that may run, including the one that begins, for `cause`.
    fn max_running(&self, cause: LoadCause, now: ClockTime) -> usize {
        let contended = self.hot_at.is_some_and(|at| now.since_ms(at) < CONTENDED_MS);
        if let Some(at_once) = self.measured_at_once {
            return max_at_full_speed(at_once, contended, cause);
        }
        let at_once = self.limit.at_once;
        match cause {
            LoadCause::Hot => at_once * HOT_FACTOR,
            LoadCause::Waiting | LoadCause::Replica if contended => at_once / 2,
            LoadCause::Waiting | LoadCause::Replica => at_once + 1,
            LoadCause::Ahead if contended => 1,
            LoadCause::Ahead => ((at_once as f64 * AHEAD_SHARE) as usize).max(1),
        }
    }
}

/// Most loads that may run for `cause` where no load may slow down others. Hot models get all slots, and others leave one
/// free for them.
fn max_at_full_speed(at_once: usize, contended: bool, cause: LoadCause) -> usize {
    match cause {
        LoadCause::Hot => at_once,
        LoadCause::Waiting | LoadCause::Replica if contended => at_once.saturating_sub(1),
        LoadCause::Waiting | LoadCause::Replica => at_once,
        LoadCause::Ahead if contended => 0,
        LoadCause::Ahead => at_once.saturating_sub(1).max(1),
    }
}
