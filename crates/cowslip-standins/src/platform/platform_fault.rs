//! Platform faults, as set by `PUT /faults`.

use serde::{Deserialize, Serialize};

/// A service of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformService {
    /// The table service.
    Table,
    /// The object store.
    Objects,
    /// The weight store.
    Weights,
    /// The VM list.
    Vms,
}

/// Kind of a platform fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformFaultMode {
    /// No fault.
    None,
    /// Calls are answered with 503 and have no effect.
    Down,
    /// Calls are executed `ms` late, even if the caller has disconnected.
    Slow,
    /// Writes take effect, then the connection is closed without a response.
    LoseAnswers,
    /// Reads are answered from the state `ms` ago.
    Stale,
    /// Writes are executed twice: with `ms` of 0 at once, and the second result is returned; else again `ms`
    /// later.
    Duplicate,
    /// The connection is closed without executing the call.
    DropConnection,
}

/// A fault of one service; replaces the service's previous fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformFault {
    /// The service that fails.
    pub service: PlatformService,
    /// How it fails.
    pub mode: PlatformFaultMode,
    /// Duration in ms, for the modes that use one.
    #[serde(default)]
    pub ms: u64,
    /// Applies to every K-th call that the mode affects; 0 and 1 mean every call.
    #[serde(default)]
    pub every: u64,
}
