//! Loads that wait until memory has been freed.

use cowslip_units::{ClockTime, MemorySize, UpstreamId};

use crate::RowKey;

/// A load that waits until memory has been freed on its upstream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LoadIntent {
    /// The replica or adapter to load.
    pub(crate) key: RowKey,
    /// Memory that is held for it.
    pub(crate) need: MemorySize,
    /// When the upstream was chosen.
    pub(crate) since: ClockTime,
}

impl LoadIntent {
    pub(crate) const fn upstream(&self) -> &UpstreamId {
        &self.key.upstream
    }
}
