//! Messages between gateways about crashes, and the stored form of the parts that are held back.

use cowslip_units::PartId;
use serde::{Deserialize, Serialize};

use crate::UpstreamStart;

/// The end of one incarnation of an upstream, and its suspects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashLine {
    /// Incarnation that ended.
    pub start: UpstreamStart,
    /// Time in ms since the end.
    pub age_ms: u64,
    /// Shared prompt parts of each suspected request.
    pub suspects: Vec<Vec<PartId>>,
    /// Parts of suspected requests on which an answer began after the end.
    pub cleared: Vec<PartId>,
}

/// What one gateway knows of some or all crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashLogCopy {
    /// The crashes, sorted by incarnation.
    pub crashes: Vec<CrashLine>,
}

impl CrashLogCopy {
    /// True for a copy without crashes.
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}
