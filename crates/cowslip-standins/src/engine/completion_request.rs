//! Completion requests.

use cowslip_runtime::sha256_hex;
use http::request::Parts;
use serde::Deserialize;

use crate::http_reply::header_text;

/// Tokens generated when the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Prompt bytes counted as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Hexadecimal digits of the digest in each generated word.
const WORD_DIGITS: usize = 8;

/// A completion request, parsed from HTTP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompletionRequest {
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) chat: bool,
    pub(crate) stream: bool,
    pub(crate) urgent: bool,
    pub(crate) max_tokens: u32,
    pub(crate) prompt_tokens: u64,
    /// First digits of the SHA-256 digest of model and prompt.
    pub(crate) digest: String,
    /// Team-scoped digest of the prompt's prefix, from the header `x-fleet-prefix`.
    pub(crate) prefix: Option<String>,
}

#[derive(Debug, Deserialize)]
struct RequestBody {
    model: String,
    #[serde(default)]
    prompt: Option<TextContent>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: Option<TextContent>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum TextContent {
    Text(String),
    Texts(Vec<String>),
    Parts(Vec<TextPart>),
}

#[derive(Debug, Deserialize)]
struct TextPart {
    #[serde(default)]
    text: String,
}

impl TextContent {
    fn join(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Texts(texts) => texts.concat(),
            Self::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        }
    }
}

impl CompletionRequest {
    /// Parses a request; the error describes what is invalid.
    pub(crate) fn parse(parts: &Parts, body: &[u8], chat: bool) -> Result<Self, String> {
        let id = header_text(parts, "x-request-id").filter(|id| !id.is_empty());
        let id = id.ok_or("the header x-request-id is missing")?;
        let read: RequestBody = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let prompt: String = if chat {
            read.messages
                .iter()
                .filter_map(|message| message.content.as_ref())
                .map(TextContent::join)
                .collect()
        } else {
            read.prompt.as_ref().map(TextContent::join).unwrap_or_default()
        };
        let mut digest = sha256_hex(format!("{}\n{prompt}", read.model).as_bytes());
        digest.truncate(WORD_DIGITS);
        Ok(Self {
            id,
            chat,
            stream: read.stream,
            urgent: header_text(parts, "x-priority").is_none_or(|priority| priority != "batch"),
            max_tokens: read.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
            prompt_tokens: u64::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX),
            digest,
            prefix: header_text(parts, "x-fleet-prefix").filter(|prefix| !prefix.is_empty()),
            model: read.model,
        })
    }
}
