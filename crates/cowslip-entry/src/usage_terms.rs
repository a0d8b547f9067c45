//! Terms under which usage is reported.

/// Length and due time of usage windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageTerms {
    /// Length of a window in ms.
    pub window_ms: u64,
    /// Time in ms after the end of a window at which its report is due.
    pub late_ms: u64,
}
