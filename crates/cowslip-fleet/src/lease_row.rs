//! The row of the leader lease.

use cowslip_units::{FenceNumber, IncarnationId, VmId};
use serde::{Deserialize, Serialize};

/// Who holds the leader lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The VM.
    pub vm: VmId,
    /// This start of the controller process.
    pub incarnation: IncarnationId,
}

fn is_zero(members: &u32) -> bool {
    *members == 0
}

fn is_no_time(millis: &u64) -> bool {
    *millis == 0
}

/// Value of the row `lease/controller`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder; `None` after a release.
    pub holder: Option<LeaseHolder>,
    /// Counts the holders.
    pub epoch: FenceNumber,
    /// Counts the holder's renewals.
    pub renewals: u64,
    /// Members of the fleet that the holder knows; zero when it does not say.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub members: u32,
    /// Time in ms after which another VM's orders no longer keep the holder's VM from sending its own, as of the write; zero
    /// when they do not.
    #[serde(default, skip_serializing_if = "is_no_time")]
    pub orders_in_ms: u64,
}

impl LeaseRow {
    /// True when a process of that VM holds the lease.
    pub fn is_held_by(&self, vm: &VmId) -> bool {
        self.holder.as_ref().is_some_and(|holder| holder.vm == *vm)
    }
}
