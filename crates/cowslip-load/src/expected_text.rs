//! The text that the engine stand-ins generate, to verify that a response is complete and belongs to its
//! request.

use cowslip_runtime::sha256_hex;

/// Hexadecimal digits of the prompt digest in each word.
const DIGEST_DIGITS: usize = 8;

/// Returns the first digits of the SHA-256 digest of model, newline and prompt.
pub fn prompt_digest(model: &str, prompt: &str) -> String {
    let mut digest = sha256_hex(format!("{model}\n{prompt}").as_bytes());
    digest.truncate(DIGEST_DIGITS);
    digest
}

/// Returns the complete generated text of `tokens` tokens.
pub fn expected_text(model: &str, prompt: &str, tokens: u64) -> String {
    let digest = prompt_digest(model, prompt);
    (0..tokens).map(|offset| format!("word{offset}-{digest} ")).collect()
}
