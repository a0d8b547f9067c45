//! Random ids and digests in hexadecimal.

use cowslip_runtime::{random_hex, sha256_hex};

/// Guards against swapped or missing digits. The expected value is the published digest of "abc".
#[test]
fn digest_is_lower_case_hexadecimal() {
    let known = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(sha256_hex(b"abc"), known);
}

/// Guards against ids that are too short or repeat.
#[test]
fn random_ids_differ() {
    let id = random_hex(16);
    assert_eq!(id.len(), 32);
    assert!(id.bytes().all(|byte| b"0123456789abcdef".contains(&byte)));
    assert_ne!(id, random_hex(16));
}
