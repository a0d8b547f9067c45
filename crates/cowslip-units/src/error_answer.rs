//! HTTP status, name and retry hint of an error kind.

/// When a caller should retry a rejected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryHint {
    /// Never: the same request is rejected again.
    Never,
    /// After a fixed number of milliseconds, unless the answer itself carries a more exact value.
    AfterMs(u64),
}

/// One row of the table from error kind to HTTP answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Name of the kind in answers, logs and metrics.
    pub name: &'static str,
    /// When the caller should retry.
    pub retry: RetryHint,
}
