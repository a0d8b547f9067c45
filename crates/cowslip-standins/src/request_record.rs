//! A request as recorded in the journal of an engine or a service.

use http::request::Parts;
use serde::{Deserialize, Serialize};

use crate::RequestOutcome;
use crate::http_reply::{header_pairs, header_text};

/// One request as received, with its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Header `x-request-id`; empty when absent.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Path including the query.
    pub path: String,
    /// All headers in the order received.
    pub headers: Vec<(String, String)>,
    /// Model or adapter; empty for a plain service.
    pub model: String,
    /// Current state, or how the request ended.
    pub outcome: RequestOutcome,
    /// Time of arrival in ms since the stand-in started.
    pub started_ms: u64,
    /// Tokens generated.
    pub tokens: u32,
    /// Header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// True when a plain service executed a non-idempotent call.
    pub effect: bool,
}

impl RequestRecord {
    /// Creates the record of a request that arrived at `now_ms` and has not ended.
    pub(crate) fn new(parts: &Parts, now_ms: u64) -> Self {
        Self {
            request_id: header_text(parts, "x-request-id").unwrap_or_default(),
            method: parts.method.to_string(),
            path: parts.uri.path_and_query().map_or_else(String::new, ToString::to_string),
            headers: header_pairs(parts),
            model: String::new(),
            outcome: RequestOutcome::Running,
            started_ms: now_ms,
            tokens: 0,
            idempotency_key: header_text(parts, "idempotency-key"),
            effect: false,
        }
    }
}
