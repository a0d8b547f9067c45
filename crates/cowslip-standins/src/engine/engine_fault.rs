//! Faults of an engine or a plain service, as set by `PUT /faults`.

use serde::{Deserialize, Serialize};

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFaultMode {
    /// No fault.
    #[default]
    None,
    /// Part of the response is not JSON.
    Garbage,
    /// The response stops halfway for `ms`; forever when `ms` is 0.
    Stall,
    /// The connection is closed halfway through the response. An order is executed but not answered.
    Cut,
    /// The response carries an id that belongs to no request.
    WrongId,
    /// The response, or the second half of a stream, is that of another request.
    Cross,
    /// The request starts `ms` late.
    Slow,
    /// The request is rejected as busy.
    Refuse,
    /// The model, or every model, is evicted at once without notice.
    Evict,
    /// The request or order runs at once, but its response is delayed by `ms`.
    LateAnswer,
    /// The process loses all state at once; for `ms`, connections are closed without a response.
    Die,
    /// A stream skips one offset.
    Gap,
    /// A response ends cleanly but incomplete: a stream lacks its last events, another body its second half.
    Truncate,
}

/// A fault; replaces the previous one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFault {
    /// How it fails.
    pub mode: EngineFaultMode,
    /// Model that the fault is limited to; `None` means all.
    #[serde(default)]
    pub model: Option<String>,
    /// Duration in ms, for the modes that use one.
    #[serde(default)]
    pub ms: u64,
    /// Applies to every K-th request; 0 and 1 mean every request.
    #[serde(default)]
    pub every: u64,
}
