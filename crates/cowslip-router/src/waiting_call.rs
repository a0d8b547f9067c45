//! The dispatcher's side of a queued request.

use cowslip_routing::PromptPrefix;
use cowslip_units::{KeyDigest, UpstreamId};
use tokio::sync::oneshot;

use crate::{ErrorResponse, PermitGuard};

/// Result that the dispatcher sends to a queued request.
pub type PermitResult = Result<PermitGuard, ErrorResponse>;

/// A queued request.
#[derive(Debug)]
pub struct WaitingCall {
    /// Channel for the permit or the rejection.
    pub permit_sender: oneshot::Sender<PermitResult>,
    /// Digest of the caller's key; `None` on open routes and for reports.
    pub key: Option<KeyDigest>,
    /// Prompt prefix, for the selection of an upstream.
    pub prefix: Option<PromptPrefix>,
    /// Upstreams that have failed this request.
    pub excluded: Vec<UpstreamId>,
}
