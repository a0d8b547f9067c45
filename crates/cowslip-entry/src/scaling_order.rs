//! Orders of a number of servers, and their answers.

use std::fmt;

use cowslip_units::{DomainId, ServiceId};

/// Why a number was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScalingReason {
    /// Calls need more servers now.
    Shortage,
    /// Calls will need more servers when one ordered now is ready.
    Forecast,
    /// Requests wait for models that fit into no server.
    Models,
    /// The number was outside the operators' limits.
    Limits,
    /// Fewer servers would have been enough for a whole hold time.
    Surplus,
    /// An earlier leader ordered the number, and its answer is not recorded.
    Restored,
}

impl ScalingReason {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Shortage => "shortage",
            Self::Forecast => "forecast",
            Self::Models => "models",
            Self::Limits => "limits",
            Self::Surplus => "surplus",
            Self::Restored => "restored",
        }
    }
}

impl fmt::Display for ScalingReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Inputs of a decision, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScalingBasis {
    /// Calls in flight in all failure domains.
    pub calls: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Servers that carry the present load, in all failure domains together.
    pub needed: u32,
    /// Largest such number within the hold time.
    pub hold_needed: u32,
    /// Servers that serve in the failure domain.
    pub serving: u32,
    /// Age of the inputs in ms.
    pub age_ms: u64,
}

/// A number of servers that must be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingOrder {
    /// Service that the servers belong to.
    pub service: ServiceId,
    /// Failure domain that they run in.
    pub domain: DomainId,
    /// Number of servers.
    pub desired: u32,
    /// Number before; `None` when none was ordered before.
    pub previous: Option<u32>,
    /// Why the number was chosen.
    pub reason: ScalingReason,
    /// Inputs of the decision.
    pub basis: ScalingBasis,
    /// True when an earlier call with this number had no whole answer.
    pub is_repeat: bool,
    /// Revision of the record that must be in the store before the call.
    pub revision: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScalingAnswer {
    /// The number is accepted.
    Done,
    /// The call was not sent, or the API answered that it did not accept it.
    Refused,
    /// The call was sent and has no whole answer: it may still take effect.
    InDoubt,
}
