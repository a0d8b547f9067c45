//! What an upstream says of its own load in an answer.

/// Factor of an upstream that works at the usual pace.
pub const USUAL_FACTOR: u32 = 100;

/// Load of an upstream at the time of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the upstream.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long work takes there now, in percent of the usual time; `None` when the upstream does not say it.
    pub factor: Option<u32>,
}

impl UpstreamLoad {
    /// Requests that run or wait.
    pub const fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// True when a further request would wait: for a slot, or for memory as those that wait already.
    pub const fn is_full(&self) -> bool {
        self.waiting > 0 || (self.slots > 0 && self.running >= self.slots)
    }
}
