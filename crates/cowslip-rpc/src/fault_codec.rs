//! Conversion between [`OperatorFault`] and JSON-RPC errors.

use cowslip_messages::OperatorFault;
use jsonrpsee::core::ClientError;
use jsonrpsee::types::ErrorObjectOwned;

/// JSON-RPC error code of every fault from the closed list; the fault itself is in the error's data.
const FAULT_CODE: i32 = -32_000;

/// Wraps `fault` in a JSON-RPC error.
pub fn error_from_fault(fault: &OperatorFault) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(FAULT_CODE, fault.kind.as_str(), Some(fault))
}

/// Extracts the fault from a failed call; `None` if the call failed for another reason.
pub fn fault_from_error(error: &ClientError) -> Option<OperatorFault> {
    let ClientError::Call(object) = error else {
        return None;
    };
    let data = object.data()?;
    serde_json::from_str(data.get()).ok()
}
