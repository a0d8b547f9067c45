//! Entries of the versioned change log.

use std::net::SocketAddr;

use cowslip_units::{ChangeId, DomainId, IncarnationId, KeyDigest, TeamId, UpstreamId, ViewVersion, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One router that is a member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberEntry {
    /// This start of the router process.
    pub incarnation: IncarnationId,
    /// VM of the router.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Address of its JSON-RPC interface for other processes.
    pub rpc_addr: SocketAddr,
}

/// A change to the fleet's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum FleetChange {
    /// A sheet was applied; its text is the object `sheet/<digest>`.
    SheetApplied {
        /// SHA-256 of the text in hexadecimal.
        digest: SmolStr,
    },
    /// A key was given to a team.
    KeyGiven {
        /// Digest of the key.
        digest: KeyDigest,
        /// The team whose requests the key admits.
        team: TeamId,
    },
    /// A key was withdrawn permanently.
    KeyWithdrawn {
        /// Digest of the key.
        digest: KeyDigest,
    },
    /// A failure domain was taken out of service or returned.
    DomainSwitched {
        /// The failure domain.
        domain: DomainId,
        /// True when it takes no new work.
        out: bool,
    },
    /// An upstream was taken out of service or returned.
    UpstreamSwitched {
        /// The upstream.
        upstream: UpstreamId,
        /// True when it takes no new work.
        out: bool,
    },
    /// Replaces the routers that hold shares, sorted by incarnation.
    MembersSet {
        /// The complete member list.
        members: Vec<MemberEntry>,
    },
}

/// A change with its version in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Position in the log; the first change has version 1.
    pub version: ViewVersion,
    /// Random id drawn once by the author; a retried write carries the same id.
    pub change_id: ChangeId,
    /// Name of the author, for operators.
    pub author: SmolStr,
    /// Content of the change.
    pub change: FleetChange,
}
