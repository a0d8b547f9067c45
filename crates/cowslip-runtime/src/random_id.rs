//! Random ids and digests in hexadecimal.

use rand::Rng;
use sha2::{Digest, Sha256};

const HEX_DIGITS: [char; 16] =
    ['0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'];

/// Encodes `bytes` in lower-case hexadecimal.
fn hex_text(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(HEX_DIGITS[usize::from(byte >> 4)]);
        text.push(HEX_DIGITS[usize::from(byte & 0xf)]);
    }
    text
}

/// Returns `bytes` random bytes in lower-case hexadecimal.
pub fn random_hex(bytes: usize) -> String {
    let mut random = vec![0; bytes];
    rand::rng().fill(random.as_mut_slice());
    hex_text(&random)
}

/// Returns the SHA-256 digest of `data` in lower-case hexadecimal.
pub fn sha256_hex(data: &[u8]) -> String {
    hex_text(&Sha256::digest(data))
}
