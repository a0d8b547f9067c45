//! Memory and descriptors that a process may use, and how they are divided.
//!
//! Of the memory, a quarter is for bodies of requests, a third (at most [`MAX_ANSWER_BYTES`]) for answers, and a third
//! for connections of callers with their heads; the rest is for the process itself. A quarter of the descriptors is kept
//! for the store, other gateways, the status listeners and files; of the others, each call of a caller takes one for the
//! caller and one for the upstream.

/// Memory of a process that is given no limit.
const DEFAULT_MEMORY_BYTES: usize = 1 << 30;

/// Most bytes that buffered answers share.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Memory of a connection with a request whose head is as large as allowed: 60 KB were measured with 95 fields in 16 KB.
const CONNECTION_BYTES: usize = 64 << 10;

/// Connections above the limit that are still answered, beside a quarter of the limit.
const EXTRA_CONNECTIONS: usize = 16;

/// Least number of callers' connections.
const MIN_CONNECTIONS: usize = 16;

/// Limits on a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    memory_bytes: usize,
    descriptors: Option<usize>,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self { memory_bytes: DEFAULT_MEMORY_BYTES, descriptors: None }
    }
}

impl ProcessLimits {
    /// Sets the memory of the process in MB.
    #[must_use]
    pub const fn with_memory_mb(mut self, megabytes: usize) -> Self {
        self.memory_bytes = megabytes.saturating_mul(1 << 20);
        self
    }

    /// Sets the number of descriptors; a lower one that is set already stays.
    #[must_use]
    pub fn with_descriptors(mut self, descriptors: usize) -> Self {
        self.descriptors = Some(self.descriptors.map_or(descriptors, |set| set.min(descriptors)));
        self
    }

    /// Bytes that bodies of requests share.
    pub const fn body_bytes(&self) -> usize {
        self.memory_bytes / 4
    }

    /// Bytes that buffered answers share.
    pub fn answer_bytes(&self) -> usize {
        (self.memory_bytes / 3).min(MAX_ANSWER_BYTES)
    }

    /// Number of callers' connections that are served. A quarter and `EXTRA_CONNECTIONS` more may be open, to be
    /// refused.
    pub fn caller_connections(&self) -> usize {
        let by_memory = self.memory_bytes / 3 / CONNECTION_BYTES;
        let open = self.descriptors.map_or(by_memory, |descriptors| (descriptors * 3 / 8).min(by_memory));
        (open.saturating_sub(EXTRA_CONNECTIONS) * 4 / 5).max(MIN_CONNECTIONS)
    }
}
