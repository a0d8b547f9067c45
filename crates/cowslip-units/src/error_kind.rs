//! The closed list of error kinds, each with the HTTP answer that it maps to.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{ErrorAnswer, RetryHint, UnitError};

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $status:literal $name:literal $retry:expr;)+) => {
        /// Why a request was rejected or failed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum ErrorKind {
            $($(#[$doc])* #[serde(rename = $name)] $kind,)+
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$kind,)+];

            /// Status, name and retry hint of the kind.
            pub const fn answer(self) -> ErrorAnswer {
                match self {
                    $(Self::$kind => ErrorAnswer { status: $status, name: $name, retry: $retry },)+
                }
            }
        }
    };
}

use RetryHint::{AfterMs, Never};

error_kinds! {
    /// Malformed JSON, a wrong type, a missing or invalid field.
    BadRequest = 400 "bad_request" Never;
    /// The body ended before its declared length.
    BodyIncomplete = 400 "body_incomplete" Never;
    /// The deadline header is not a number of milliseconds in the accepted range.
    DeadlineInvalid = 400 "deadline_invalid" Never;
    /// A route that is not idempotent was called without an idempotency key.
    IdempotencyKeyMissing = 400 "idempotency_key_missing" Never;
    /// The idempotency key is empty, too long or has unprintable characters.
    IdempotencyKeyInvalid = 400 "idempotency_key_invalid" Never;
    /// The request needs more tokens than the team's whole burst.
    RequestTooLarge = 400 "request_too_large" Never;
    /// The request carries no API key and the route is not open.
    KeyMissing = 401 "key_missing" Never;
    /// The API key was never issued.
    KeyUnknown = 401 "key_unknown" Never;
    /// The API key was withdrawn.
    KeyWithdrawn = 401 "key_withdrawn" Never;
    /// The operators' token is missing or wrong.
    OperatorUnknown = 401 "operator_unknown" Never;
    /// None of the team's routes includes the model or service.
    RouteForbidden = 403 "route_forbidden" Never;
    /// No model or adapter of that name is declared.
    ModelNotFound = 404 "model_not_found" Never;
    /// No route matches the path.
    RouteNotFound = 404 "route_not_found" Never;
    /// No report of that id belongs to the team.
    ReportNotFound = 404 "report_not_found" Never;
    /// The route does not accept the method.
    MethodNotAllowed = 405 "method_not_allowed" Never;
    /// The client sent its request too slowly.
    ReadTimeout = 408 "read_timeout" AfterMs(1_000);
    /// The change was based on a configuration that has since been replaced.
    ChangeConflict = 409 "change_conflict" Never;
    /// The body is larger than the limit.
    BodyTooLarge = 413 "body_too_large" Never;
    /// The idempotency key was used with another request.
    IdempotencyKeyReused = 422 "idempotency_key_reused" Never;
    /// The sheet has faults; nothing was applied.
    SheetInvalid = 422 "sheet_invalid" Never;
    /// The team's rate limit is exhausted.
    RateLimited = 429 "rate_limited" AfterMs(1_000);
    /// The header is larger than the limit.
    HeaderTooLarge = 431 "header_too_large" Never;
    /// The caller disconnected before the answer was complete.
    CallerLeft = 499 "caller_left" Never;
    /// A bug in this program.
    Internal = 500 "internal" AfterMs(1_000);
    /// The upstream failed or truncated its answer.
    UpstreamFailed = 502 "upstream_failed" AfterMs(1_000);
    /// The upstream's answer was malformed or belonged to another request.
    UpstreamGarbled = 502 "upstream_garbled" AfterMs(1_000);
    /// A request that is not idempotent may or may not have taken effect.
    OutcomeUnknown = 502 "outcome_unknown" Never;
    /// Too many requests are queued at this VM.
    QueueFull = 503 "queue_full" AfterMs(500);
    /// Too many connections are open at this VM.
    TooManyConnections = 503 "too_many_connections" AfterMs(500);
    /// No upstream can serve the request before its deadline.
    NoCapacity = 503 "no_capacity" AfterMs(2_000);
    /// A part of the prompt is quarantined, because upstreams ended under it.
    PromptQuarantined = 503 "prompt_quarantined" AfterMs(20_000);
    /// This VM cannot confirm that its view is current.
    ViewStale = 503 "view_stale" AfterMs(500);
    /// The platform's store does not answer and the request depends on it.
    StoreUnavailable = 503 "store_unavailable" AfterMs(2_000);
    /// This VM is stopping.
    Draining = 503 "draining" AfterMs(100);
    /// Only the leader answers this call.
    NotLeader = 503 "not_leader" AfterMs(200);
    /// The deadline passed.
    DeadlineExceeded = 504 "deadline_exceeded" AfterMs(1_000);
    /// The upstream stopped sending in the middle of its answer.
    UpstreamStalled = 504 "upstream_stalled" AfterMs(1_000);
}

impl ErrorKind {
    /// The kind's name in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        self.answer().name
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for ErrorKind {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match Self::ALL.iter().find(|kind| kind.as_str() == text) {
            Some(kind) => Ok(*kind),
            None => Err(UnitError::BadNumber {
                what: "error kind",
                text: text.to_owned(),
                expected: "a kind from the closed list",
            }),
        }
    }
}
