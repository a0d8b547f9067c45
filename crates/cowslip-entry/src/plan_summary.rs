//! What a plan found: which loads from the weight store run, and which loads that requests wait for have not begun, and
//! why.

use std::fmt;

use cowslip_units::ModelId;

use crate::WeightTier;

/// Why a model is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadCause {
    /// Requests wait for it, and no engine holds it.
    Waiting,
    /// It lacks several replicas, so that its engines reject requests.
    Hot,
    /// It needs one more replica.
    Replica,
    /// No request has asked for it yet, and no engine has a copy of it.
    Ahead,
}

impl LoadCause {
    /// All causes.
    pub const ALL: [Self; 4] = [Self::Waiting, Self::Hot, Self::Replica, Self::Ahead];

    /// Name in log lines and labels of metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Hot => "hot",
            Self::Replica => "replica",
            Self::Ahead => "ahead",
        }
    }
}

impl fmt::Display for LoadCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Why a load that requests wait for has not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadDelay {
    /// No engine that could load it has a copy, and the weight store has no slot for it.
    StoreBusy,
    /// A busy engine has a nearer copy, and waiting for it takes less time.
    EngineBusy,
    /// No engine can take it: all are busy, closed, or hold models that must stay.
    NoEngine,
}

impl LoadDelay {
    /// All delays.
    pub const ALL: [Self; 3] = [Self::StoreBusy, Self::EngineBusy, Self::NoEngine];

    /// Name in log lines and labels of metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::StoreBusy => "store_busy",
            Self::EngineBusy => "engine_busy",
            Self::NoEngine => "no_engine",
        }
    }
}

impl fmt::Display for LoadDelay {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A load that requests wait for and that has not begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelayedLoad {
    /// Model to be loaded.
    pub model: ModelId,
    /// Time in ms since the first request for it.
    pub oldest_ms: u64,
    /// Why it has not begun.
    pub delay: LoadDelay,
    /// Expected time in ms until an engine holds the model; `None` when it is not known.
    pub wait_ms: Option<u64>,
}

/// A load that requests waited for and that the last plan has begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BegunLoad {
    /// Model to be loaded.
    pub model: ModelId,
    /// Time in ms since the first request for it.
    pub oldest_ms: u64,
    /// Place from which the weights are loaded.
    pub tier: WeightTier,
}

/// Loads from the weight store that are ordered or run, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreUse {
    loads: [usize; LoadCause::ALL.len()],
}

impl StoreUse {
    /// Counts a load.
    pub(crate) fn add(&mut self, cause: LoadCause) {
        self.loads[cause as usize] += 1;
    }

    /// Loads for that cause.
    pub fn of(&self, cause: LoadCause) -> usize {
        self.loads[cause as usize]
    }

    /// All loads.
    pub fn total(&self) -> usize {
        self.loads.iter().sum()
    }
}

/// What the last plan found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlanSummary {
    /// Loads that requests wait for and that have not begun.
    pub delayed: Vec<DelayedLoad>,
    /// Loads that requests waited for and that this plan has begun.
    pub begun: Vec<BegunLoad>,
    /// Loads from the weight store.
    pub store: StoreUse,
}

impl PlanSummary {
    /// Number of loads that have not begun for that reason.
    pub fn delayed_by(&self, delay: LoadDelay) -> usize {
        self.delayed.iter().filter(|load| load.delay == delay).count()
    }
}
