//! Generated text and its JSON encoding.

use serde_json::{Value, json};

use crate::engine::completion_request::CompletionRequest;

/// Content of a response. Normally derived from the request itself; some faults replace parts of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompletionText {
    id: String,
    digest: String,
    model: String,
    chat: bool,
    max_tokens: u32,
    prompt_tokens: u64,
}

impl CompletionText {
    /// Creates the correct response to `request`.
    pub(crate) fn new(request: &CompletionRequest) -> Self {
        Self {
            id: request.id.clone(),
            digest: request.digest.clone(),
            model: request.model.clone(),
            chat: request.chat,
            max_tokens: request.max_tokens,
            prompt_tokens: request.prompt_tokens,
        }
    }

    /// Replaces the request id.
    #[must_use]
    pub(crate) fn with_id(mut self, id: &str) -> Self {
        id.clone_into(&mut self.id);
        self
    }

    /// Replaces the text by that of another prompt.
    #[must_use]
    pub(crate) fn with_digest(mut self, digest: &str) -> Self {
        digest.clone_into(&mut self.digest);
        self
    }

    /// Returns the request id in the response.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Returns the token at `offset`, followed by a space.
    pub(crate) fn word(&self, offset: u32) -> String {
        format!("word{offset}-{} ", self.digest)
    }

    /// Returns the JSON of the stream event at `offset`, without the `data:` framing.
    pub(crate) fn chunk(&self, offset: u32) -> Value {
        let last = offset + 1 >= self.max_tokens;
        let finish = if last { json!("length") } else { Value::Null };
        let word = self.word(offset);
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": word}, "finish_reason": finish})
        } else {
            json!({"index": 0, "text": word, "finish_reason": finish})
        };
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        let mut chunk = json!({
            "id": self.id, "object": object, "model": self.model, "offset": offset, "choices": [choice],
        });
        if last {
            chunk["usage"] = self.usage();
        }
        chunk
    }

    /// Returns the JSON of a response that is not streamed.
    pub(crate) fn full_response(&self) -> Value {
        let text: String = (0..self.max_tokens).map(|offset| self.word(offset)).collect();
        let choice = if self.chat {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": "length"})
        } else {
            json!({"index": 0, "text": text, "finish_reason": "length"})
        };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        json!({
            "id": self.id, "object": object, "model": self.model, "choices": [choice], "usage": self.usage(),
        })
    }

    fn usage(&self) -> Value {
        let generated = u64::from(self.max_tokens);
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": generated,
            "total_tokens": self.prompt_tokens + generated,
        })
    }
}
