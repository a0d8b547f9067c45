//! Serialised form of a whole fleet view, which a starting process reads instead of the change log.

use cowslip_units::{DomainId, KeyDigest, TeamId, UpstreamId, ViewVersion};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::MemberEntry;

/// Reference to the sheet in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRef {
    /// Version of the change that applied it.
    pub version: ViewVersion,
    /// SHA-256 of its text in hexadecimal; the text is the object `sheet/<digest>`.
    pub digest: SmolStr,
}

/// Whether a key admits requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// Requests with the key are admitted.
    Given,
    /// Requests with the key are rejected permanently.
    Withdrawn,
}

/// A key and its team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// The team whose requests the key admits.
    pub team: TeamId,
    /// Whether the key still admits requests.
    pub state: KeyState,
}

/// Result of all changes up to a version; every vector is sorted by its first field.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewSnapshot {
    /// Version of the last change applied.
    pub version: ViewVersion,
    /// The sheet in force; `None` before the first one.
    pub sheet: Option<SheetRef>,
    /// All keys ever given.
    pub keys: Vec<KeyEntry>,
    /// Failure domains that take no new work.
    pub domains_out: Vec<DomainId>,
    /// Upstreams that take no new work.
    pub upstreams_out: Vec<UpstreamId>,
    /// The routers that hold shares.
    pub members: Vec<MemberEntry>,
}
