//! Drains of replicas and adapters.

use cowslip_messages::TableVersion;
use cowslip_units::ClockTime;

use crate::RowKey;
use crate::drain_reason::DrainReason;

/// A drain in progress.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DrainPlan {
    /// The replica or adapter.
    pub(crate) key: RowKey,
    /// When the drain started.
    pub(crate) since: ClockTime,
    /// First table version that shows the drain; every router must have it before the unload.
    pub(crate) version: TableVersion,
    pub(crate) reason: DrainReason,
}
