//! What each controller says about the orders that it issued as a leader.

use cowslip_units::{FencingToken, IncarnationId, VmId};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Start of the keys of these rows.
pub(crate) const ISSUER_PREFIX: &str = "controller/";

/// Key of a VM's row.
pub(crate) fn issuer_key(vm: &VmId) -> SmolStr {
    format_smolstr!("{ISSUER_PREFIX}{vm}")
}

/// Value of the row `controller/<vm>`. It is written once the process listens on its address, so an earlier
/// incarnation on the VM has ended by then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct IssuerRow {
    /// The VM.
    pub(crate) vm: VmId,
    /// The present start of its controller.
    pub(crate) incarnation: IncarnationId,
    /// This incarnation sends no order of this epoch or an earlier one any more.
    pub(crate) gave_up: FencingToken,
}
