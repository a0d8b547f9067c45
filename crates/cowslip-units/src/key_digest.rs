//! Digests of callers' API keys; the keys themselves are never stored.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::UnitError;

/// Length of a SHA-256 digest in hexadecimal digits.
const HEX_DIGITS: usize = 64;

/// The SHA-256 digest of an API key, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct KeyDigest(SmolStr);

impl KeyDigest {
    /// Formats the 32 bytes of a SHA-256 digest.
    pub fn new(bytes: [u8; 32]) -> Self {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        Self(SmolStr::new(hex))
    }

    /// The digest in hexadecimal.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for KeyDigest {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        Self::try_from(SmolStr::new(text))
    }
}

impl TryFrom<SmolStr> for KeyDigest {
    type Error = UnitError;

    fn try_from(text: SmolStr) -> Result<Self, UnitError> {
        let lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() == HEX_DIGITS && text.bytes().all(lower_hex) {
            return Ok(Self(text));
        }
        Err(UnitError::BadNumber {
            what: "key digest",
            text: text.to_string(),
            expected: "64 lower-case hexadecimal digits",
        })
    }
}

impl From<KeyDigest> for SmolStr {
    fn from(digest: KeyDigest) -> Self {
        digest.0
    }
}
