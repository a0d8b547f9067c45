//! Units of measured values.

use std::fmt;

use serde::Serialize;

/// Unit of a measured value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SlopeUnit {
    /// Microseconds of wall time on one thread.
    Micros,
    /// Bytes as JSON or CSV.
    WrittenBytes,
    /// Bytes of resident memory.
    ResidentBytes,
    /// A count put out by a state machine; the same in each run with the same seed.
    Count,
}

impl fmt::Display for SlopeUnit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Micros => "us",
            Self::WrittenBytes => "B",
            Self::ResidentBytes => "B rss",
            Self::Count => "count",
        })
    }
}
