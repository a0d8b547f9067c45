//! Parsing of request bodies addressed to models.

use cowslip_routing::ErrorResponse;
use cowslip_units::{ErrorKind, ModelId};
use serde::Deserialize;
use smol_str::SmolStr;

/// Token limit if the caller sets none; the engines use the same default.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Assumed prompt bytes per token, for the reservation; the response reports the actual count.
const BYTES_PER_TOKEN: usize = 4;

/// API endpoint of a model request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelEndpoint {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

impl ModelEndpoint {
    /// Path of the endpoint at the engine.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }
}

/// The parts of a model request that the router needs; the body itself is forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelRequest {
    /// Endpoint, which determines the form of the body.
    pub endpoint: ModelEndpoint,
    /// Name of a model or an adapter.
    pub model: ModelId,
    /// All prompt texts, concatenated.
    pub prompt: String,
    /// Upper limit of generated tokens.
    pub max_tokens: u64,
    /// True if the response is to be streamed.
    pub stream: bool,
}

#[derive(Deserialize)]
struct ModelRequestBody {
    model: SmolStr,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<PromptText>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: Option<bool>,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(rename = "role")]
    _role: SmolStr,
    content: Option<MessageText>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum MessageText {
    Text(String),
    Parts(Vec<TextPart>),
}

#[derive(Deserialize)]
struct TextPart {
    text: String,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum PromptText {
    One(String),
    Several(Vec<String>),
}

fn reject(message: &str) -> ErrorResponse {
    ErrorResponse::new(ErrorKind::BadRequest, message)
}

impl ModelRequest {
    /// Parses the body of a request to the given endpoint.
    pub fn from_body(endpoint: ModelEndpoint, body: &[u8]) -> Result<Self, ErrorResponse> {
        let model_request = parse(body)?;
        Self::check(endpoint, model_request)
    }

    /// Parses the body of a report; its fields determine the endpoint.
    pub fn from_report(body: &[u8]) -> Result<Self, ErrorResponse> {
        let model_request = parse(body)?;
        let endpoint =
            if model_request.messages.is_some() { ModelEndpoint::Chat } else { ModelEndpoint::Completion };
        let model_request = Self::check(endpoint, model_request)?;
        if model_request.stream {
            return Err(reject("a report cannot be streamed"));
        }
        Ok(model_request)
    }

    fn check(endpoint: ModelEndpoint, body: ModelRequestBody) -> Result<Self, ErrorResponse> {
        let model = ModelId::new(&body.model).map_err(|error| reject(&error.to_string()))?;
        let max_tokens = body.max_tokens.or(body.max_completion_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err(reject("max_tokens must be at least 1"));
        }
        let prompt = match endpoint {
            ModelEndpoint::Chat => {
                let messages = body.messages.ok_or_else(|| reject("missing field `messages`"))?;
                if messages.is_empty() {
                    return Err(reject("messages must not be empty"));
                }
                messages.iter().map(message_text).collect()
            }
            ModelEndpoint::Completion => match body.prompt.ok_or_else(|| reject("missing field `prompt`"))? {
                PromptText::One(text) => text,
                PromptText::Several(texts) => texts.concat(),
            },
        };
        Ok(Self { endpoint, model, prompt, max_tokens, stream: body.stream.unwrap_or(false) })
    }

    /// Estimated number of prompt tokens.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
    }

    /// Number of tokens to reserve: estimated prompt plus the limit of generated tokens.
    pub fn cost(&self) -> u64 {
        self.prompt_tokens().saturating_add(self.max_tokens)
    }
}

fn parse(body: &[u8]) -> Result<ModelRequestBody, ErrorResponse> {
    serde_json::from_slice(body).map_err(|error| reject(&format!("the body is not a valid request: {error}")))
}

fn message_text(message: &ChatMessage) -> String {
    match &message.content {
        Some(MessageText::Text(text)) => text.clone(),
        Some(MessageText::Parts(parts)) => parts.iter().map(|part| part.text.as_str()).collect(),
        None => String::new(),
    }
}
