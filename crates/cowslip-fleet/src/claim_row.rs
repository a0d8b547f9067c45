//! Stored form of a claim.

use cowslip_units::{AttemptId, IncarnationId, RouteId, TeamId};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Largest answer body in bytes that is stored in the row; a larger one is stored as an object.
pub const MAX_ROW_BODY_BYTES: usize = 32 * 1024;

/// Key of a claim's row: `claim/<team>/<route>/<digest of the idempotency key>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimKey(SmolStr);

impl ClaimKey {
    /// Key for a request; `team` is `None` on an open route. Slashes in names are written as `%2F`, since
    /// otherwise team `a/b` with route `c` and team `a` with route `b/c` would share a row.
    pub fn new(team: Option<&TeamId>, route: &RouteId, key_digest: &str) -> Self {
        let team = team.map(|team| team.as_str().replace('/', "%2F")).unwrap_or_default();
        let route = route.as_str().replace('/', "%2F");
        Self(format_smolstr!("claim/{team}/{route}/{key_digest}"))
    }

    /// The row's key.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Body of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerBody {
    /// The body itself, which is UTF-8.
    Text(String),
    /// The body itself in hexadecimal.
    Hex(String),
    /// Key of the object that contains the body.
    Object(SmolStr),
}

/// An upstream's answer as it is stored and replayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers to replay.
    pub headers: Vec<(SmolStr, String)>,
    /// Inline body or reference to it.
    pub body: AnswerBody,
}

/// Progress of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The owner may dispatch the request, or has done so.
    Dispatching,
    /// The request ran and this is its answer.
    Done(StoredAnswer),
    /// The request was sent and its outcome is unknown.
    Unknown,
}

/// Value of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// The router that runs the attempt.
    pub owner: IncarnationId,
    /// Digest of method, path and body.
    pub request_digest: SmolStr,
    /// Progress of the attempt.
    pub state: ClaimState,
}
