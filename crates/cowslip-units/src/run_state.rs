//! Whether a rejected or failed request ran.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte was sent to any upstream, or the upstream reported that it rejected the request without
    /// running it.
    NotRun,
    /// An upstream ran it.
    Ran,
    /// It may have run, fully or in part.
    Unknown,
}

impl RunState {
    /// The word used in answers: `not_run`, `ran` or `unknown`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
