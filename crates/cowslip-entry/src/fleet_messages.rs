//! What gateways tell their leader, and what it answers.

use std::net::SocketAddr;

use cowslip_units::{ClockTime, ModelId, TeamId, UpstreamId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{LeaderHandover, UpstreamEntry, UpstreamStart};

/// How fresh a gateway's view of the store is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewFreshness {
    /// Store version up to which the operators' table is known.
    pub version: u64,
    /// Store version of the table's newest change.
    pub changed: u64,
    /// Age in ms of the store call that proved it; `None` when it is not proven.
    pub age_ms: Option<u64>,
    /// Store version up to which the upstreams' table is known.
    pub upstream_version: u64,
    /// Age in ms of the store call that proved the upstreams' table; `None` when it is not proven.
    pub upstream_age_ms: Option<u64>,
}

/// The leader's last renewal of its lease as far as answers told it, with the row's version. An answer that arrives now
/// may have been on its way for any part of its call, so the renewal is dated by its arrival. A leader whose lease has
/// just run out tells nothing of it, and what it told before holds: a candidate without it waits a whole lease longer.
pub fn last_renewal(
    known: Option<(u64, ClockTime)>,
    told: Option<LeaseRenewal>,
    now: ClockTime,
) -> Option<(u64, ClockTime)> {
    told.map(|lease| (lease.version, now.minus_ms(lease.age_ms))).or(known)
}

/// Requests for a model, or for one of its adapters, at a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandLine {
    /// The model.
    pub model: ModelId,
    /// The adapter, for requests that name one.
    pub adapter: Option<SmolStr>,
    /// Requests that arrived since the last report.
    pub arrived: u32,
    /// Requests that wait because no upstream holds what they need.
    pub waiting: u32,
    /// Longest wait among them in ms.
    pub oldest_ms: u64,
    /// Best rank among them; 0 goes first.
    pub priority: u8,
}

/// Calls of a gateway that run at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningLine {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The model; `None` at a plain service.
    pub model: Option<ModelId>,
    /// The adapter, for requests that name one.
    pub adapter: Option<SmolStr>,
    /// Number of calls.
    pub count: u32,
}

/// Tokens of a team that a gateway asks for and gives back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The team.
    pub team: TeamId,
    /// Tokens that waiting requests lack.
    pub short: u64,
    /// Tokens for the requests of the next moments.
    pub ahead: u64,
    /// Tokens that the answering leader granted and that expired unspent.
    pub returned: u64,
    /// Tokens spent without a leader, which no leader has counted yet.
    pub spent_alone: u64,
}

/// A gateway's report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Name of the gateway's VM.
    pub gateway: SmolStr,
    /// Where other gateways reach it.
    pub address: Option<SocketAddr>,
    /// How fresh its view is.
    pub view: ViewFreshness,
    /// The leader whose news it knows.
    pub term: u64,
    /// Up to where it knows them.
    pub marks: UpdateCursors,
    /// Demand for models.
    pub demand: Vec<DemandLine>,
    /// Running calls.
    pub running: Vec<RunningLine>,
    /// Tokens asked for and given back.
    pub tokens: Vec<QuotaRequest>,
    /// Upstreams that have said to it that they leave.
    #[serde(default)]
    pub leaving: Vec<UpstreamStart>,
    /// True for a gateway that may lead next.
    #[serde(default)]
    pub may_lead: bool,
    /// True when the store has just answered it, while the leader's renewal of its lease was overdue.
    #[serde(default)]
    pub reaches_store: bool,
    /// True for a report between two usual ones, for requests that wait. It leaves the running calls out, and the answer
    /// tells only what such requests need: a leader of 85 gateways had no room on its link for more.
    pub brief: bool,
}

/// The leader's word on one team's tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrantLine {
    /// The team.
    pub team: TeamId,
    /// Tokens granted.
    pub granted: u64,
    /// Time in ms until what is short is believed to be there; 0 when nothing is short.
    pub wait_ms: u64,
}

/// What a gateway may spend of a team's limit when it loses the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandaloneQuota {
    /// The team.
    pub team: TeamId,
    /// Tokens.
    pub tokens: u64,
    /// Time in ms for which only urgent or small requests get tokens, because few are left.
    pub tight_ms: u64,
}

/// A model that an upstream is going to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArrivalLine {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The model.
    pub model: ModelId,
    /// Time in ms until it can serve.
    pub wait_ms: u64,
    /// True when the load has begun, so that the time is known and not only expected.
    pub begun: bool,
}

/// An upstream that holds what a gateway's requests wait for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceLine {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The model.
    pub model: ModelId,
    /// The adapter, for requests that name one.
    pub adapter: Option<SmolStr>,
    /// Calls of the other gateways there.
    pub calls: u32,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterName {
    /// The model.
    pub model: ModelId,
    /// The adapter.
    pub adapter: SmolStr,
}

/// Up to where a gateway knows the leader's collections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateCursors {
    /// Upstreams.
    pub upstreams: u64,
    /// Adapters.
    pub adapters: u64,
    /// Members.
    pub members: u64,
}

/// The leader's lease, as it tells candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// Version of the lease row.
    pub version: u64,
    /// Time in ms since the write that renewed it was sent.
    pub age_ms: u64,
}

/// The answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderAnswer {
    /// True when the answering gateway leads.
    pub leads: bool,
    /// Where it believes the leader to be.
    pub leader: Option<SocketAddr>,
    /// How fresh the answering gateway's view is.
    pub view: ViewFreshness,
    /// Tells leaders apart: each has a higher number than those before.
    pub term: u64,
    /// The answering gateway's lease, when it leads.
    pub lease: Option<LeaseRenewal>,
    /// True when only grants and arrivals are told, in answer to a brief report.
    pub brief: bool,
    /// True when the news are left for a later answer, because many gateways need everything at once.
    pub deferred: bool,
    /// True when the news are everything that there is.
    pub fresh: bool,
    /// Up to where the news go.
    pub marks: UpdateCursors,
    /// Upstreams that came, changed or went.
    pub upstreams: Vec<(UpstreamId, Option<UpstreamEntry>)>,
    /// Adapters of upstreams where they changed.
    pub adapters: Vec<(UpstreamId, Option<Vec<AdapterName>>)>,
    /// Gateways that came (true) or went.
    pub members: Vec<(SmolStr, bool)>,
    /// Size of the fleet as far as it is known, more than its known members after a loss of all; zero when unknown.
    pub fleet: u32,
    /// Where some of them are reached.
    pub peers: Vec<SocketAddr>,
    /// Tokens.
    pub grants: Vec<TokenGrantLine>,
    /// Tokens to spend without a leader.
    pub rooms: Vec<StandaloneQuota>,
    /// Running calls of the other gateways, by upstream.
    pub running: Vec<(UpstreamId, u32)>,
    /// Models that the gateway waits for and that are being loaded.
    pub arrivals: Vec<ArrivalLine>,
    /// Upstreams that hold what the gateway's requests wait for, as the leader's orders have left them. Their entries in
    /// the store tell it a heartbeat later.
    pub places: Vec<PlaceLine>,
    /// Upstreams that the gateway may not know to be leaving, or to have left. Brief answers tell them too.
    pub left: Vec<UpstreamId>,
    /// Models that are about to be unloaded.
    pub leaving: Vec<(UpstreamId, ModelId)>,
    /// What a leader that has just stopped leading tells those that may lead next.
    #[serde(default)]
    pub handover: Option<LeaderHandover>,
}

/// A row of the store, passed on by a gateway that has read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedRow {
    /// Its key.
    pub key: SmolStr,
    /// Its value, as text.
    pub value: String,
    /// Its version.
    pub version: u64,
}

/// A gateway's copy of the store's tables, for one that the store does not answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewCopy {
    /// How fresh the operators' table is.
    pub view: ViewFreshness,
    /// Rows of the operators' table.
    pub operator_rows: Vec<CopiedRow>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamEntry>,
    /// Those of them whose entries vanished while the store was in trouble, with the time in ms since. They are gone
    /// unless they come back.
    pub held: Vec<(UpstreamId, u64)>,
}
