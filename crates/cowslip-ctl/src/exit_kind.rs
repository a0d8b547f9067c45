//! Exit codes of `cowslipctl`.

use std::process::ExitCode;

/// Outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitKind {
    /// Completed.
    Done,
    /// Rejected by the controllers, or the sheet is invalid.
    Rejected,
    /// Invalid usage, settings or file names.
    Usage,
    /// No controller answered.
    Unreachable,
    /// Accepted but not yet in force everywhere.
    Pending,
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        Self::from(match kind {
            ExitKind::Done => 0,
            ExitKind::Rejected => 1,
            ExitKind::Usage => 2,
            ExitKind::Unreachable => 3,
            ExitKind::Pending => 4,
        })
    }
}
