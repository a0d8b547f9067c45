//! The last contact with a router.

use cowslip_units::{ClockTime, IncarnationId, VmId};

/// A router that has answered the leader.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouterContact {
    pub(crate) incarnation: IncarnationId,
    pub(crate) vm: VmId,
    /// When it last answered.
    pub(crate) last_contact_at: ClockTime,
}
