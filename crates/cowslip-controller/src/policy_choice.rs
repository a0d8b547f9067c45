//! Selection of the placement policy.

use cowslip_placement::{
    FirstFitPolicy, KeepWarmPolicy, LoadRank, ModelUsage, PlaceEstimate, PlacementPolicy, ReplicaCost,
    ReplicaNeed, WaitingLoad,
};
use cowslip_units::ClockTime;

use crate::PolicyName;

/// A placement policy, as selected in the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PolicyChoice {
    /// See [`KeepWarmPolicy`].
    KeepWarm(KeepWarmPolicy),
    /// See [`FirstFitPolicy`].
    FirstFit(FirstFitPolicy),
}

impl From<PolicyName> for PolicyChoice {
    fn from(name: PolicyName) -> Self {
        match name {
            PolicyName::KeepWarm => Self::KeepWarm(KeepWarmPolicy::new()),
            PolicyName::FirstFit => Self::FirstFit(FirstFitPolicy::new()),
        }
    }
}

macro_rules! forward {
    ($self:ident, $policy:ident => $call:expr) => {
        match $self {
            Self::KeepWarm($policy) => $call,
            Self::FirstFit($policy) => $call,
        }
    };
}

impl PlacementPolicy for PolicyChoice {
    fn name(&self) -> &'static str {
        forward!(self, policy => policy.name())
    }

    fn rank(&self, load: &WaitingLoad) -> LoadRank {
        forward!(self, policy => policy.rank(load))
    }

    fn choose(&self, places: &[PlaceEstimate]) -> Option<usize> {
        forward!(self, policy => policy.choose(places))
    }

    fn can_evict_idle(&self) -> bool {
        forward!(self, policy => policy.can_evict_idle())
    }

    fn is_replica_justified(&self, need: ReplicaNeed) -> bool {
        forward!(self, policy => policy.is_replica_justified(need))
    }

    fn keep_until(&self, usage: &ModelUsage, cost: ReplicaCost) -> ClockTime {
        forward!(self, policy => policy.keep_until(usage, cost))
    }
}
