//! Demand for one more replica of a loaded model.

/// The queue of a model that has replicas, and the time that another replica would take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaNeed {
    /// Number of waiting requests.
    pub waiting: u32,
    /// Waiting time of the oldest request in ms.
    pub oldest_ms: u64,
    /// Requests that the existing replicas serve concurrently.
    pub slots: u32,
    /// Estimated time in ms until another replica is ready.
    pub ready_ms: u64,
}
