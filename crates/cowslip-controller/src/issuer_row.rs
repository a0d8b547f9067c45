//! The row in which a controller releases the orders that it issued as a leader.

use cowslip_units::{FencingToken, IncarnationId, VmId};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Prefix of the keys of these rows.
pub(crate) const ISSUER_PREFIX: &str = "controller/";

/// Key of the row of a VM.
pub(crate) fn issuer_key(vm: &VmId) -> SmolStr {
    format_smolstr!("{ISSUER_PREFIX}{vm}")
}

/// Value of the row `controller/<vm>`. It is first written when the process listens on its address, so an
/// earlier incarnation on the same VM has ended by then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct IssuerRow {
    pub(crate) vm: VmId,
    /// The running incarnation of the controller.
    pub(crate) incarnation: IncarnationId,
    /// This incarnation sends no more orders of this epoch or of earlier ones.
    pub(crate) gave_up: FencingToken,
}
