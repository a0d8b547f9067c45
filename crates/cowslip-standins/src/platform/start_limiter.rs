//! Rate limit of transfer starts.

/// Limits a rate by spacing the starts evenly.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartLimiter {
    spacing_ms: u64,
    next_ms: u64,
}

impl StartLimiter {
    /// Creates a limiter of `per_10s` starts per 10 s; 0 means no limit.
    pub(crate) fn new(per_10s: u64) -> Self {
        Self { spacing_ms: 10_000_u64.checked_div(per_10s).unwrap_or(0), next_ms: 0 }
    }

    /// Reserves the next start and returns the time in ms until then.
    pub(crate) fn take(&mut self, now_ms: u64) -> u64 {
        let start_ms = self.next_ms.max(now_ms);
        self.next_ms = start_ms + self.spacing_ms;
        start_ms - now_ms
    }
}
