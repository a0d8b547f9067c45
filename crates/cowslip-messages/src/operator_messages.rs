//! Operators' calls to a controller.

use cowslip_units::{ErrorKind, IncarnationId, ModelId, TeamId, UpstreamId, ViewVersion, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ReplicaState;

/// Applies a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The operators' shared token.
    pub token: SmolStr,
    /// Random id drawn once by the operator's command; a repeated call carries the same id.
    pub change_id: SmolStr,
    /// Name of the operator, for the log.
    pub author: SmolStr,
    /// Version of the sheet this one was based on; `None` to replace whatever is in force.
    pub base: Option<ViewVersion>,
    /// The sheet's text (CSV).
    pub text: String,
}

/// Gives or withdraws a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRequest {
    /// The operators' shared token.
    pub token: SmolStr,
    /// Random id drawn once by the operator's command.
    pub change_id: SmolStr,
    /// Name of the operator, for the log.
    pub author: SmolStr,
    /// Digest of the key; the key itself is never sent.
    pub digest: SmolStr,
    /// Team to give the key to; `None` to withdraw it.
    pub team: Option<TeamId>,
}

/// Takes a failure domain or an upstream out of service, or returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchRequest {
    /// The operators' shared token.
    pub token: SmolStr,
    /// Random id drawn once by the operator's command.
    pub change_id: SmolStr,
    /// Name of the operator, for the log.
    pub author: SmolStr,
    /// Name of the failure domain or upstream.
    pub name: SmolStr,
    /// True to take it out of service.
    pub out: bool,
}

/// Result of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeOutcome {
    /// Version of the change; the present version when nothing changed.
    pub version: ViewVersion,
    /// False when the same state was already in force.
    pub changed: bool,
    /// True when every member has the change or no longer admits requests without it.
    pub everywhere: bool,
    /// VMs that have not acknowledged the change.
    pub pending: Vec<VmId>,
    /// Time in ms from commit to the answer.
    pub took_ms: u64,
}

/// Rejection of an operator's call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorFault {
    /// Kind from the closed list.
    pub kind: ErrorKind,
    /// What was wrong, one line per fault.
    pub messages: Vec<String>,
    /// Address of the leader's RPC interface, for [`ErrorKind::NotLeader`].
    pub leader: Option<SmolStr>,
}

/// State of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// This start of the router process.
    pub incarnation: IncarnationId,
    /// VM of the router.
    pub vm: VmId,
    /// Version of its view.
    pub version: ViewVersion,
    /// Age in ms of its confirmation; `None` before the first one.
    pub confirm_age_ms: Option<u64>,
    /// True when it is confirmed by a majority of members only, because the store is down for all.
    pub degraded: bool,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests in flight.
    pub running: u32,
    /// True while it drains.
    pub draining: bool,
    /// Failed assertions since its start; zero in a correct program.
    pub violations: u64,
}

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// True when an operator took it or its failure domain out of service.
    pub out: bool,
    /// False when it has ended or is leaving.
    pub live: bool,
    /// Total memory in MiB.
    pub memory_mib: u64,
    /// Memory reserved in the ledger, in MiB.
    pub reserved_mib: u64,
}

/// Placement of a model or adapter on one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Model or adapter.
    pub model: ModelId,
    /// Upstream that holds it.
    pub upstream: UpstreamId,
    /// State in the ledger.
    pub state: ReplicaState,
}

/// Answer to a status call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Version of the change log's head, as last seen by the answering controller.
    pub version: ViewVersion,
    /// Version and digest of the sheet in force.
    pub sheet: Option<(ViewVersion, SmolStr)>,
    /// The leader's VM, if one is known.
    pub leader: Option<VmId>,
    /// Routers that answered.
    pub routers: Vec<RouterStatus>,
    /// Members that did not answer.
    pub silent: Vec<VmId>,
    /// State of each upstream.
    pub upstreams: Vec<UpstreamStatus>,
    /// Replicas and adapters decided, with their state.
    pub replicas: Vec<ModelStatus>,
}

/// Answer to an explain call: the reasons for a model's placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainReply {
    /// Model or adapter.
    pub model: ModelId,
    /// Reasons, one line each, newest last.
    pub lines: Vec<String>,
}
