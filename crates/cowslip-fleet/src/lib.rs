//! State machines for the state that processes share: `(state, event, now) -> (state, actions)`.
//!
//! Nothing here performs I/O, reads a clock or draws random numbers. Times are points on the process's own
//! monotonic clock. The binaries and the randomised tests in `tests/` run the same machines.
//!
//! - fleet view: [`FleetView`], [`ViewConfirmation`], [`VersionTracker`], [`HandoffGate`]
//! - changes to the view: [`CommitProtocol`], [`next_member_change`], [`snapshot_transaction`]
//! - team tokens: [`BucketOwners`], [`TokenBucket`], [`TeamShares`]
//! - upstream permits: [`PermitMap`], [`RampBudget`], [`UpstreamPermits`]
//! - periodic reports between routers: [`compose_report`]
//! - claims and reports: [`ClaimTable`], [`ReportTable`]
//! - leader election: [`LeaderLease`]

mod bucket_owners;
mod claim_attempt;
mod claim_row;
mod claim_table;
mod commit_protocol;
mod fleet_view;
mod handoff_gate;
mod leader_lease;
mod lease_row;
mod lease_step;
mod lease_times;
mod member_change;
mod observed_row;
mod peer_report;
mod permit_map;
mod ramp_budget;
mod rendezvous_hash;
mod report_row;
mod report_table;
mod row_keys;
mod share_queue;
mod snapshot_row;
mod sorted_vec;
mod team_share;
mod team_shares;
mod time_limits;
mod token_bucket;
mod token_share;
mod upstream_permits;
mod upstream_share;
mod version_tracker;
mod view_confirmation;

pub use bucket_owners::{BucketOwners, MAX_BUCKET_OWNERS};
pub use claim_row::{AnswerBody, ClaimKey, ClaimRow, ClaimState, MAX_ROW_BODY_BYTES, StoredAnswer};
pub use claim_table::{ClaimStep, ClaimTable};
pub use commit_protocol::{ChangeFault, CommitProtocol, CommitStep, VersionRow};
pub use fleet_view::{ApplyOutcome, FleetView};
pub use handoff_gate::HandoffGate;
pub use leader_lease::LeaderLease;
pub use lease_row::{LeaseHolder, LeaseRow};
pub use lease_step::LeaseStep;
pub use lease_times::LeaseTimes;
pub use member_change::next_member_change;
pub use peer_report::compose_report;
pub use permit_map::PermitMap;
pub use ramp_budget::RampBudget;
pub use rendezvous_hash::MemberSeeds;
pub use report_row::{REPORT_PREFIX, ReportRow, ReportState, report_key};
pub use report_table::{ReportStep, ReportTable};
pub use row_keys::{
    HEAD_KEY, LEASE_EPOCH_PREFIX, LEASE_KEY, SNAPSHOT_KEY, applied_key, change_key, epoch_key, sheet_key,
};
pub use snapshot_row::{SNAPSHOT_PERIOD, snapshot_transaction};
pub use team_shares::{ReserveStep, TeamShares, TokenCall};
pub use time_limits::{
    CONFIRM_PERIOD_MS, HANDOFF_DELAY_MS, LEASE_POLL_MS, LEASE_RENEW_MS, LEASE_RETRY_MS, LEASE_TAKEOVER_MS,
    LEASE_VALID_MS, LEND_HELD_MS, LEND_USABLE_MS, MAX_DRIFT_PERCENT, SHARE_HANDOFF_DELAY_MS, STREAM_END_MS,
    VIEW_WINDOW_MS, with_drift,
};
pub use token_bucket::TokenBucket;
pub use token_share::TokenShare;
pub use upstream_permits::{HeldPermit, PermitCall, PermitSource, PermitStep, UpstreamPermits};
pub use version_tracker::VersionTracker;
pub use view_confirmation::{ConfirmOutcome, ConfirmTicket, ViewConfirmation};
