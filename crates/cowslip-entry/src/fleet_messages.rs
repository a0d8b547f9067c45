//! Messages between gateways: reports to the leader, its answers, and copies of the store's tables.

use std::net::SocketAddr;

use cowslip_units::{ClockTime, ModelId, TeamId, UpstreamId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    CrashLogCopy, LeaderHandover, ModelsLine, UpstreamEntry, UpstreamStart, UsageAnswer, UsageReport,
};

/// Versions and staleness of a gateway's view of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewFreshness {
    /// Store version up to which the operators' table has been read.
    pub version: u64,
    /// Store version of the table's newest change.
    pub changed: u64,
    /// Time in ms since the store call that last confirmed the view; `None` when no call has.
    pub age_ms: Option<u64>,
    /// Store version up to which the upstreams' table has been read.
    pub upstream_version: u64,
    /// Time in ms since the store call that last confirmed the upstreams' table; `None` when no call has.
    pub upstream_age_ms: Option<u64>,
}

/// Returns the latest known renewal of the leader's lease, as the version of the lease row and the time of
/// the renewal. `received` is the renewal carried by an answer that arrives `now`; `known` is the previous
/// result. An answer may have spent any part of its call in transit, so the renewal is dated back from the
/// answer's arrival. A leader whose lease has just expired sends no renewal; `known` is kept then, because a
/// candidate without a renewal waits for a whole lease longer.
pub fn last_renewal(
    known: Option<(u64, ClockTime)>,
    received: Option<LeaseRenewal>,
    now: ClockTime,
) -> Option<(u64, ClockTime)> {
    received.map(|lease| (lease.version, now.minus_ms(lease.age_ms))).or(known)
}

/// Demand at one gateway for a model or for one of its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandLine {
    /// Model that the requests name.
    pub model: ModelId,
    /// Adapter of the model; `None` for requests without one.
    pub adapter: Option<SmolStr>,
    /// Requests that arrived since the last report.
    pub arrived: u32,
    /// Requests that wait because no upstream holds the model or adapter.
    pub waiting: u32,
    /// Longest wait in ms among the waiting requests.
    pub oldest_ms: u64,
    /// Best priority among the waiting requests; 0 is the highest.
    pub priority: u8,
}

/// Calls of one gateway in flight at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningLine {
    /// Upstream that runs the calls.
    pub upstream: UpstreamId,
    /// Model that the calls use; `None` at a plain service.
    pub model: Option<ModelId>,
    /// Adapter of the model; `None` for calls without one.
    pub adapter: Option<SmolStr>,
    /// Number of calls.
    pub count: u32,
}

/// True for a value that is left out of a message: most work lines have no answers to report.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Work of one gateway at an upstream whose room is counted in tokens too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkLine {
    /// Upstream that does the work.
    pub upstream: UpstreamId,
    /// Tokens that the calls in flight are expected to hold.
    pub tokens: u64,
    /// Start of the upstream that gave the answers below, as in its entry; 0 without answers.
    #[serde(default, skip_serializing_if = "is_default")]
    pub born: u64,
    /// Answers in the expected time since the last report, while no request waited there.
    #[serde(default, skip_serializing_if = "is_default")]
    pub good: u32,
    /// Late answers and failures since the last report.
    #[serde(default, skip_serializing_if = "is_default")]
    pub bad: u32,
    /// Rejections for lack of room since the last report.
    #[serde(default, skip_serializing_if = "is_default")]
    pub rejected: u32,
    /// Sum of the factors in percent that its answers stated since the last report.
    #[serde(default, skip_serializing_if = "is_default")]
    pub factor_sum: u64,
    /// Number of those factors.
    #[serde(default, skip_serializing_if = "is_default")]
    pub factors: u32,
}

/// Calls that an upstream may have in flight, and how long work takes there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceLine {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its start, as in its entry.
    pub born: u64,
    /// Calls of all gateways that it may have in flight.
    pub calls: u32,
    /// Mean time of work there in percent of the usual time; `None` while it is not known.
    pub factor: Option<u32>,
}

/// A gateway's cursor in the pace lines of a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceCursor {
    /// Term of the leader.
    pub term: u64,
    /// Cursor in its lines.
    pub revision: u64,
}

/// A gateway's request for quota of a team's rate, with the tokens that it returns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Team that pays for the tokens.
    pub team: TeamId,
    /// Tokens that waiting requests lack.
    pub short: u64,
    /// Tokens requested ahead of demand.
    pub ahead: u64,
    /// Tokens granted by the answering leader that expired unspent.
    pub returned: u64,
    /// Tokens spent without a leader and not yet charged by one.
    pub spent_alone: u64,
}

/// Periodic report of a gateway to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Name of the gateway's VM.
    pub gateway: SmolStr,
    /// Address at which other gateways reach it.
    pub address: Option<SocketAddr>,
    /// Versions and staleness of its view of the store.
    pub view: ViewFreshness,
    /// Term of the leader whose updates it has received.
    pub term: u64,
    /// Position in that leader's updates.
    pub marks: UpdateCursors,
    /// Demand since the last report, by model and adapter.
    pub demand: Vec<DemandLine>,
    /// Calls in flight.
    pub running: Vec<RunningLine>,
    /// Quota requested and returned.
    pub tokens: Vec<QuotaRequest>,
    /// Upstreams that have announced their shutdown to this gateway.
    #[serde(default)]
    pub leaving: Vec<UpstreamStart>,
    /// True for a candidate for the next leadership.
    #[serde(default)]
    pub may_lead: bool,
    /// True when the store has just answered this gateway although the leader's lease renewal is overdue.
    #[serde(default)]
    pub reaches_store: bool,
    /// Crashes of which the leader has not got this gateway's part.
    #[serde(default)]
    pub crashes: CrashLogCopy,
    /// Cursor in the leader's crash log.
    #[serde(default)]
    pub crash_cursor: CrashCursor,
    /// True for an extra report on behalf of waiting requests. It omits the calls in flight, and its answer
    /// carries only what such requests need: full answers exceeded the link capacity of the leader of 85
    /// gateways.
    pub brief: bool,
    /// Usage counts; only where usage is reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageReport>,
    /// Work at self-paced engines, sorted by upstream.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub work: Vec<WorkLine>,
    /// Cursor in the leader's pace lines.
    #[serde(default)]
    pub pace_cursor: PaceCursor,
    /// True when the gateway reads [`LeaderAnswer::models`]; without it, the answer has whole entries.
    #[serde(default, skip_serializing_if = "is_default")]
    pub reads_models: bool,
}

/// The leader's grant of one team's tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrantLine {
    /// Team that the tokens belong to.
    pub team: TeamId,
    /// Tokens granted.
    pub granted: u64,
    /// Estimated time in ms until the missing tokens are available; 0 when none are missing.
    pub wait_ms: u64,
}

/// A gateway's standalone share of a team's limit, for the time without a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandaloneQuota {
    /// Team that the share belongs to.
    pub team: TeamId,
    /// Tokens that may be spent at once.
    pub tokens: u64,
    /// Time in ms for which only urgent or small requests get tokens, because few are left.
    pub tight_ms: u64,
}

/// A model that is about to be loaded by an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArrivalLine {
    /// Upstream that loads the model.
    pub upstream: UpstreamId,
    /// Model to be loaded.
    pub model: ModelId,
    /// Time in ms until the upstream can serve the model.
    pub wait_ms: u64,
    /// True when the load has begun; `wait_ms` is only an estimate before that.
    pub begun: bool,
}

/// A model that requests wait for and whose load has not begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelayLine {
    /// Model that is waited for.
    pub model: ModelId,
    /// Expected time in ms until an upstream can serve the model.
    pub wait_ms: u64,
}

/// An upstream that holds a model or adapter for which requests of a gateway wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceLine {
    /// Upstream that holds it.
    pub upstream: UpstreamId,
    /// Model that it holds.
    pub model: ModelId,
    /// Adapter of the model; `None` for requests without one.
    pub adapter: Option<SmolStr>,
    /// Calls of the other gateways in flight there.
    pub calls: u32,
}

/// An adapter, qualified by its model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterName {
    /// Model that the adapter extends.
    pub model: ModelId,
    /// Name of the adapter, unique for one model.
    pub adapter: SmolStr,
}

/// A gateway's cursors in the leader's collections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateCursors {
    /// Cursor in the upstreams.
    pub upstreams: u64,
    /// Cursor in the adapters.
    pub adapters: u64,
    /// Cursor in the members.
    pub members: u64,
}

/// A gateway's cursor in the crash log of a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCursor {
    /// Term of the leader.
    pub term: u64,
    /// Cursor in its log.
    pub revision: u64,
}

/// The last renewal of the leader's lease, as sent to candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// Version of the lease row.
    pub version: u64,
    /// Time in ms since the renewing write was sent.
    pub age_ms: u64,
}

/// The answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderAnswer {
    /// True when the answering gateway leads.
    pub leads: bool,
    /// Address of the leader, as far as the answering gateway has it.
    pub leader: Option<SocketAddr>,
    /// Versions and staleness of the answering gateway's view of the store.
    pub view: ViewFreshness,
    /// Term of the answering gateway as leader; each leader has a higher one than all leaders before it.
    pub term: u64,
    /// Last renewal of the answering gateway's lease, when it leads.
    pub lease: Option<LeaseRenewal>,
    /// True for an answer to a brief report, which carries only grants and arrivals.
    pub brief: bool,
    /// True when updates are deferred to a later answer, because many gateways need a full snapshot at once.
    pub deferred: bool,
    /// True when the updates are a full snapshot, false for a delta.
    pub fresh: bool,
    /// Cursors after these updates.
    pub marks: UpdateCursors,
    /// Upstreams that were added, changed or removed (`None`).
    pub upstreams: Vec<(UpstreamId, Option<UpstreamEntry>)>,
    /// Upstreams of which only the models changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelsLine>,
    /// Adapters of each upstream where they changed; `None` for a removed upstream.
    pub adapters: Vec<(UpstreamId, Option<Vec<AdapterName>>)>,
    /// Gateways that joined (true) or left the fleet.
    pub members: Vec<(SmolStr, bool)>,
    /// Size of the fleet, which exceeds the number of known members after all gateways were lost at once; 0
    /// when unknown.
    pub fleet: u32,
    /// Addresses of some members.
    pub peers: Vec<SocketAddr>,
    /// Grants for the quota requests of the report.
    pub grants: Vec<TokenGrantLine>,
    /// Standalone shares, by team.
    pub rooms: Vec<StandaloneQuota>,
    /// Calls in flight of the other gateways, by upstream.
    pub running: Vec<(UpstreamId, u32)>,
    /// Models that requests of the gateway wait for and that are being loaded.
    pub arrivals: Vec<ArrivalLine>,
    /// Models that requests of the gateway wait for and whose loads have not begun.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub delays: Vec<DelayLine>,
    /// Upstreams that hold what requests of the gateway wait for, as of the leader's last orders. Their
    /// entries in the store list it only one heartbeat later.
    pub places: Vec<PlaceLine>,
    /// Upstreams that are leaving or have left, unless updates up to the gateway's cursor include that. Brief
    /// answers carry them too.
    pub left: Vec<UpstreamId>,
    /// Models that are about to be unloaded.
    pub leaving: Vec<(UpstreamId, ModelId)>,
    /// Crashes that changed after the gateway's cursor.
    #[serde(default)]
    pub crashes: CrashLogCopy,
    /// Cursor after these crashes.
    #[serde(default)]
    pub crash_cursor: CrashCursor,
    /// Handover of a leader that has just stepped down, for the candidates.
    #[serde(default)]
    pub handover: Option<LeaderHandover>,
    /// Answer to the usage counts of the report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageAnswer>,
    /// Tokens of the other gateways' calls, by upstream, where they are a large part of its KV cache.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tokens: Vec<(UpstreamId, u64)>,
    /// Pace lines that changed after the gateway's cursor.
    #[serde(default)]
    pub paces: Vec<PaceLine>,
    /// Cursor after these lines; `None` in an answer without any.
    #[serde(default)]
    pub pace_cursor: Option<PaceCursor>,
}

/// A row of the store, forwarded by a gateway that has read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedRow {
    /// Key of the row.
    pub key: SmolStr,
    /// Value of the row, as text.
    pub value: String,
    /// Store version of the row.
    pub version: u64,
}

/// A gateway's copy of the store's tables, for one that the store does not answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewCopy {
    /// Versions and staleness of the copied tables.
    pub view: ViewFreshness,
    /// Rows of the operators' table.
    pub operator_rows: Vec<CopiedRow>,
    /// Entries of all upstreams.
    pub upstreams: Vec<UpstreamEntry>,
    /// Upstreams among them whose entries disappeared during a store outage, with the time in ms since. They
    /// are removed unless their entries come back.
    pub held: Vec<(UpstreamId, u64)>,
}
