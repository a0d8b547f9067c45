//! Stored form of the leader lease.

use cowslip_units::{FencingToken, IncarnationId, VmId};
use serde::{Deserialize, Serialize};

/// Holder of the leader lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// VM of the process.
    pub vm: VmId,
    /// This start of the controller process.
    pub incarnation: IncarnationId,
}

fn is_zero(members: &u32) -> bool {
    *members == 0
}

fn is_zero_ms(millis: &u64) -> bool {
    *millis == 0
}

/// Value of the row `lease/controller`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// `None` after a release.
    pub holder: Option<LeaseHolder>,
    /// Incremented at each takeover.
    pub epoch: FencingToken,
    /// Renewals by the present holder.
    pub renewals: u64,
    /// Size of the fleet as reported by the holder; zero when not reported.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub members: u32,
    /// Least time in ms for which earlier processes of the holder's VM held the lease without interruption
    /// before this one; zero when another VM held it before.
    #[serde(default, skip_serializing_if = "is_zero_ms")]
    pub earlier_ms: u64,
}

impl LeaseRow {
    /// True when a process of that VM holds the lease.
    pub fn is_held_by(&self, vm: &VmId) -> bool {
        self.holder.as_ref().is_some_and(|holder| holder.vm == *vm)
    }
}
