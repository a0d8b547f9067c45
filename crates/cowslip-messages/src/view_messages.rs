//! Messages that distribute and confirm the fleet view.

use cowslip_units::{IncarnationId, ViewVersion};
use serde::{Deserialize, Serialize};

use crate::{ChangeRecord, ViewSnapshot};

/// Changes sent to a router right after their commit, or by a router whose view is newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushRequest {
    /// Contiguous changes in order of version.
    pub changes: Vec<ChangeRecord>,
}

/// The receiver's state after a push.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushReply {
    /// Incarnation of the receiver.
    pub incarnation: IncarnationId,
    /// Version of its view; lower than the last change if earlier changes are missing.
    pub version: ViewVersion,
}

/// Answer to a confirmation call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmReply {
    /// The answering router.
    pub incarnation: IncarnationId,
    /// Version of its view.
    pub version: ViewVersion,
    /// Age in ms of its own confirmation by the store, directly or through peers; `None` when it is older
    /// than the view window or only degraded.
    pub age_ms: Option<u64>,
}

/// Asks for all changes after a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Version of the caller's view.
    pub since: ViewVersion,
}

/// Answer to [`FetchRequest`]: changes, or a snapshot when they are no longer kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchReply {
    /// Full snapshot, when the changes since the requested version are not kept.
    pub snapshot: Option<ViewSnapshot>,
    /// Contiguous changes after the snapshot, or after the requested version.
    pub changes: Vec<ChangeRecord>,
    /// Text of the sheet in force, when the caller's view has none or an older one.
    pub sheet_text: Option<String>,
}
