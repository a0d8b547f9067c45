//! Messages between the system's own processes, as plain data.
//!
//! The transport (JSON-RPC) is in `cowslip-rpc`; the decision crates use these types directly. A message
//! never contains a point in time, only ages in milliseconds, because clocks of different processes are not
//! comparable.

mod claim_messages;
mod demand_report;
mod fleet_change;
mod operator_messages;
mod peer_exchange;
mod placement_table;
mod share_messages;
mod view_messages;
mod view_snapshot;

pub use claim_messages::{AttemptStatus, ClaimStatusRequest};
pub use demand_report::{DemandReply, DemandReport, ModelDemand, TeamDemand};
pub use fleet_change::{ChangeRecord, FleetChange, MemberEntry};
pub use operator_messages::{
    ApplyRequest, ChangeOutcome, ExplainReply, KeyRequest, ModelStatus, OperatorFault, RouterStatus,
    StatusReply, SwitchRequest, UpstreamStatus,
};
pub use peer_exchange::{PeerReport, PermitHint, TokenHint};
pub use placement_table::{
    AdapterPlacement, PlacementTable, ReplicaPlacement, ReplicaState, TableVersion, UpstreamState,
    WatchReply, WatchRequest,
};
pub use share_messages::{
    PermitGrant, PermitRequest, PermitReturn, TokenGrant, TokenRequest, TokenSettlement,
};
pub use view_messages::{ConfirmReply, FetchReply, FetchRequest, PushReply, PushRequest};
pub use view_snapshot::{KeyEntry, KeyState, SheetRef, ViewSnapshot};
