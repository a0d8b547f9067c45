//! Encoding of URIs and of JSON bodies.

use bytes::Bytes;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::PlatformError;

/// Characters that are percent-encoded: all but letters, digits and `-._~`.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Content type of JSON bodies.
pub(crate) const JSON: &str = "application/json";

/// Content type of raw bodies.
pub(crate) const RAW: &str = "application/octet-stream";

/// Percent-encodes `text` for use as a path segment or query value.
pub(crate) fn encode_part(text: &str) -> String {
    utf8_percent_encode(text, ENCODED).to_string()
}

/// Encodes `value` as JSON. A failure is reported as an unsent call.
pub(crate) fn encode_body<T: Serialize>(value: &T) -> Result<Bytes, PlatformError> {
    match serde_json::to_vec(value) {
        Ok(body) => Ok(Bytes::from(body)),
        Err(error) => Err(PlatformError::NotConnected(format!("the call has no JSON form: {error}"))),
    }
}

/// Decodes the JSON body of an answer.
pub(crate) fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| PlatformError::Malformed(error.to_string()))
}
