//! Leaders that issue orders.

use cowslip_units::{FencingToken, IncarnationId, VmId};
use serde::{Deserialize, Serialize};

/// A leader that may have sent an order, or may still send it after a pause of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderIssuer {
    /// Its VM.
    pub vm: VmId,
    /// The run of its controller process.
    pub incarnation: IncarnationId,
    /// Epoch of its lease.
    pub epoch: FencingToken,
}
