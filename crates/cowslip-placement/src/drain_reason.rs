//! Reasons for drains.

use cowslip_units::ModelId;

/// Why a replica or adapter is drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DrainReason {
    /// Its expected reuse does not justify its memory.
    Idle,
    /// Its memory is needed for this model or adapter.
    FreesMemory(ModelId),
    /// The sheet in force no longer declares it.
    Undeclared,
    /// Its upstream is out of service, and its model has reached the limit of replicas.
    OutOfService,
}
