//! What a caller may send.

/// Bounds on a caller's requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest header in bytes.
    pub header_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Time in ms for a header to arrive.
    pub header_ms: u64,
    /// Time in ms for which a connection may stay idle.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4 << 20, header_ms: 3_000, idle_ms: 15_000 }
    }
}
