//! Names of placement policies.

use std::fmt;
use std::str::FromStr;

/// Name of a placement policy in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PolicyName {
    /// Earliest readiness, fair load starts, replicas kept warm by expected reuse.
    #[default]
    KeepWarm,
    /// First upstream with enough memory, fixed idle time, loads in order of arrival; a baseline for
    /// comparison.
    FirstFit,
}

impl fmt::Display for PolicyName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::KeepWarm => "keep_warm",
            Self::FirstFit => "first_fit",
        })
    }
}

impl FromStr for PolicyName {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, &'static str> {
        match text {
            "keep_warm" => Ok(Self::KeepWarm),
            "first_fit" => Ok(Self::FirstFit),
            _ => Err("must be keep_warm or first_fit"),
        }
    }
}
