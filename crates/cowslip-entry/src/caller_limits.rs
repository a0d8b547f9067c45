//! Limits on the requests and connections of callers.

/// Limits on one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a header in bytes.
    pub header_bytes: usize,
    /// Largest size of a body in bytes.
    pub body_bytes: usize,
    /// Longest time in ms for a header to arrive.
    pub header_ms: u64,
    /// Time in ms after which an idle connection is closed.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4 << 20, header_ms: 3_000, idle_ms: 15_000 }
    }
}
