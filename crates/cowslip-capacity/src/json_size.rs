//! Size of messages and rows.

use serde::Serialize;

/// Returns the bytes of `value` as JSON, without RPC framing; NaN if it cannot be serialised.
#[allow(clippy::cast_precision_loss)]
pub fn json_bytes<T: Serialize>(value: &T) -> f64 {
    serde_json::to_vec(value).map_or(f64::NAN, |text| text.len() as f64)
}
