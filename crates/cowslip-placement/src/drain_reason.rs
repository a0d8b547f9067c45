//! Why a replica or adapter is drained.

use cowslip_units::ModelId;

/// Why something is drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DrainReason {
    /// Its expected reuse does not justify its memory.
    Idle,
    /// Its memory is wanted for this model or adapter.
    FreesMemory(ModelId),
    /// The sheet in force does not declare it.
    Undeclared,
    /// Its upstream is out of service and its model may not have more replicas elsewhere.
    OutOfService,
}
