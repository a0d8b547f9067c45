//! The router's side of a waiting request.

use cowslip_routing::PromptPrefix;
use cowslip_units::{KeyDigest, UpstreamId};
use tokio::sync::oneshot;

use crate::{ErrorResponse, PermitGuard};

/// What the dispatcher sends to a waiting request.
pub type TurnResult = Result<PermitGuard, ErrorResponse>;

/// A request that waits for its turn.
#[derive(Debug)]
pub struct WaitingCall {
    /// Receives the permit or the refusal.
    pub turn: oneshot::Sender<TurnResult>,
    /// Digest of its key.
    pub key: Option<KeyDigest>,
    /// Prefix of the prompt, for the choice of an upstream.
    pub prefix: Option<PromptPrefix>,
    /// Upstreams that have failed the request.
    pub excluded: Vec<UpstreamId>,
}
