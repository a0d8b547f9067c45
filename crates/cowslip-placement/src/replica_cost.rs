//! Cost of keeping a replica loaded.

use cowslip_units::MemorySize;

/// Cost of a replica, weighed against its expected reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaCost {
    /// Load time in ms without contention.
    pub load_ms: u64,
    /// Reserved memory.
    pub memory: MemorySize,
    /// Memory of the upstream.
    pub upstream_memory: MemorySize,
}
