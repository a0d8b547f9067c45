//! Policy for sharing rates and the queue. The fixed policy exists as a baseline for measurements.

use std::fmt;
use std::str::FromStr;

/// Policy as named in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterPolicy {
    /// Tokens of a team move to the routers that need them; teams take turns in the queue.
    #[default]
    Shared,
    /// Each VM has a fixed share of each team's rate; one queue without turns between teams.
    Fixed,
}

impl fmt::Display for RouterPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Shared => "shared",
            Self::Fixed => "fixed",
        })
    }
}

impl FromStr for RouterPolicy {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, &'static str> {
        match text {
            "shared" => Ok(Self::Shared),
            "fixed" => Ok(Self::Fixed),
            _ => Err("must be shared or fixed"),
        }
    }
}
