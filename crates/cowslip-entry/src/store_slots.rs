//! Who may load from the weight store.
//!
//! Load this answers: the store runs few loads at full speed, and more at once only make each slower. Models that nobody has
//! asked for yet, rare ones that one request waits for, and hot ones whose engines refuse requests all want it.

use cowslip_units::ClockTime;

use crate::{LoadBudget, StoreLimit, StoreSpeed};

/// Loads from the weight store that run ahead of demand at most, as a part of those at full speed.
const AHEAD_PART: f64 = 0.75;

/// Time in ms after a hot model wanted the weight store in which others get little of it. A replica of a hot model serves
/// many requests, a load of a rare one mostly a single request.
const CONTENDED_MS: u64 = 2_000;

/// Loads of hot models from the weight store run up to so many times as many at once as are known to run at full speed.
const HOT_FACTOR: usize = 2;

/// Why a model is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadCause {
    /// Requests wait, and no engine holds it.
    Waiting,
    /// Its engines have too much to do by far.
    Hot,
    /// One more engine should hold it.
    Replica,
    /// Nobody asks for it yet, and no engine has a copy of it.
    Ahead,
}

/// The places at the weight store.
#[derive(Clone, Debug)]
pub(crate) struct StoreSlots {
    limit: StoreLimit,
    /// How many loads run at full speed, as far as was learnt.
    speed: StoreSpeed,
    budget: LoadBudget,
    /// When a hot model last wanted one.
    hot_at: Option<ClockTime>,
}

impl StoreSlots {
    /// Places within a limit, none of them taken.
    pub(crate) fn new(limit: StoreLimit, now: ClockTime) -> Self {
        Self { limit, speed: StoreSpeed::new(limit.at_once, now), budget: LoadBudget::new(now), hot_at: None }
    }

    /// What loads have taken.
    pub(crate) fn speed(&mut self) -> &mut StoreSpeed {
        &mut self.speed
    }

    /// Time in ms that a load should take which begins now and takes `alone_ms` at full speed.
    pub(crate) fn expected_ms(&self, alone_ms: u64) -> u64 {
        self.speed.expected_ms(alone_ms)
    }

    /// Lets time pass at a rate of `per_s` loads.
    pub(crate) fn refill(&mut self, per_s: f64, now: ClockTime) {
        self.budget.refill(per_s, self.limit.extra, now);
    }

    /// A hot model wants a load that no engine has a copy for.
    pub(crate) fn wanted_by_hot(&mut self, now: ClockTime) {
        self.hot_at = Some(now);
    }

    /// True when a load may begin for that cause beside `running` ones.
    pub(crate) fn allows(&self, running: usize, cause: LoadCause, now: ClockTime) -> bool {
        self.budget.allows() && running < self.most(cause, now)
    }

    /// A load begins.
    pub(crate) fn take(&mut self) {
        self.budget.take();
    }

    /// Loads that may run when one more begins for that cause.
    fn most(&self, cause: LoadCause, now: ClockTime) -> usize {
        let at_once = self.speed.at_once();
        let contended = self.hot_at.is_some_and(|at| now.since_ms(at) < CONTENDED_MS);
        match cause {
            LoadCause::Hot => at_once * HOT_FACTOR,
            LoadCause::Waiting | LoadCause::Replica if contended => at_once / 2,
            LoadCause::Waiting | LoadCause::Replica => at_once + 1,
            LoadCause::Ahead if contended => 1,
            LoadCause::Ahead => ((at_once as f64 * AHEAD_PART) as usize).max(1),
        }
    }
}
