//! Reasons for which a request is not admitted.

use http::{Response, StatusCode};

use crate::http_reply::error_reply;
use crate::reply_body::ReplyBody;

/// Why a request was rejected or failed at admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunRejection {
    /// The model or adapter is not loaded.
    NotLoaded,
    /// Slots and queue are full.
    Busy,
    /// The engine's role allows prefill only.
    WrongRole,
    /// A request with this id is in flight.
    Duplicate,
    /// This request overloaded the engine during its warm-up and crashed it.
    Overloaded,
    /// The engine is down.
    Down,
}

impl RunRejection {
    /// Returns the error response; `None` closes the connection without one.
    pub(crate) fn reply(self) -> Option<Response<ReplyBody>> {
        let (status, kind, message, ran) = match self {
            Self::NotLoaded => {
                (StatusCode::CONFLICT, "not_loaded", "the model or adapter is not loaded", Some(false))
            }
            Self::Busy => (StatusCode::TOO_MANY_REQUESTS, "busy", "slots and queue are full", Some(false)),
            Self::WrongRole => {
                (StatusCode::CONFLICT, "wrong_role", "this engine only fills prompts", Some(false))
            }
            // The first request with this id may run, so the response omits `ran`.
            Self::Duplicate => {
                (StatusCode::BAD_REQUEST, "duplicate_request", "a request with this id is under way", None)
            }
            Self::Overloaded => {
                (StatusCode::INTERNAL_SERVER_ERROR, "failed", "too many requests while fresh", None)
            }
            Self::Down => return None,
        };
        Some(error_reply(status, kind, message, ran))
    }
}
