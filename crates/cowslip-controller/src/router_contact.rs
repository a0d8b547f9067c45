//! Routers that answer.

use cowslip_units::{ClockTime, IncarnationId, VmId};

/// A router that answered the leader.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouterContact {
    /// The router.
    pub(crate) incarnation: IncarnationId,
    /// Its VM.
    pub(crate) vm: VmId,
    /// Its last answer.
    pub(crate) last_contact_at: ClockTime,
}
