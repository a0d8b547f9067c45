//! Limits of the number of servers of a service.

/// Limits of the number of servers in each failure domain in which the service runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScalingRule {
    /// Smallest number.
    pub min: u32,
    /// Largest number.
    pub max: u32,
    /// Time in ms from an order for a server until it serves.
    pub boot_ms: u64,
}
