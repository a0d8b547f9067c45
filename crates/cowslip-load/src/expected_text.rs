//! The text that the stand-in engines generate, so that an answer can be checked to be whole and its own.

use cowslip_runtime::sha256_hex;

/// Hexadecimal digits of the prompt's digest in each word.
const DIGEST_DIGITS: usize = 8;

/// First digits of SHA-256 over the model, a newline and the prompt.
pub fn prompt_digest(model: &str, prompt: &str) -> String {
    let mut digest = sha256_hex(format!("{model}\n{prompt}").as_bytes());
    digest.truncate(DIGEST_DIGITS);
    digest
}

/// The whole generated text of `tokens` tokens.
pub fn expected_text(model: &str, prompt: &str, tokens: u64) -> String {
    let digest = prompt_digest(model, prompt);
    (0..tokens).map(|offset| format!("word{offset}-{digest} ")).collect()
}
