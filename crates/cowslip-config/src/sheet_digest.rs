//! Digests of sheets.

use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// SHA-256 of a sheet's text in lower-case hexadecimal. The text is stored as the object `sheet/<digest>`.
///
/// The bytes are hashed without normalisation, so different texts that declare the same rows have different
/// digests.
pub fn sheet_digest(text: &str) -> SmolStr {
    let bytes = Sha256::digest(text.as_bytes());
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
