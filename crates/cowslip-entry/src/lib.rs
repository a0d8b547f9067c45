//! Decisions of the gateway as plain state machines: no I/O, no clock, no platform specifics.
//!
//! - the operators' table: [`FleetConfig`], [`OperatorView`]
//! - upstreams and load balancing among them: [`UpstreamEntry`], [`KnownUpstream`], [`UpstreamRegistry`],
//!   [`UpstreamFreshness`]
//! - room at an upstream: [`UpstreamLoad`], [`UpstreamWork`], [`FullBackoff`]
//! - expected time at an upstream: [`FirstEventModel`], [`SpeedEstimate`], [`LatencyEstimate`]
//! - calls at once at an upstream that has just started or is slow: [`PaceWindow`], [`FleetPace`]
//! - limits that all gateways keep together: [`TokenQuota`] and [`QuotaAllocator`], [`SlowStartGate`],
//!   [`RetryThrottle`]
//! - prompt parts and requests that end upstreams: [`CrashLog`], [`PartQuarantine`], [`SurvivalWatch`],
//!   [`request_key`]
//! - memory for buffered answers and for bodies of requests: [`AnswerBudget`], [`BodyBudget`], [`ProcessLimits`]
//! - how long a request may wait: [`WaitLimit`]
//! - which waiting request goes next: [`AdmissionQueue`]
//! - model placement by the leader: [`DemandTable`], [`LoadPlanner`]
//! - singleton calls of the leader: [`DutyCall`], [`DutyGate`], [`UsageMeter`], [`UsageLedger`], [`WallClock`]
//! - number of servers: [`ServerScaler`]
//! - messages between gateways: [`GatewayReport`], [`LeaderAnswer`], [`LeaderHandover`]

mod adapter_plan;
mod admission_queue;
mod admission_request;
mod admission_target;
mod answer_budget;
mod body_budget;
mod caller_limits;
mod change_log;
mod clock_median;
mod copy_index;
mod crash_log;
mod crash_messages;
mod crash_record;
mod dispatch_rate;
mod duty_call;
mod duty_gate;
mod engine_order;
mod era_tracker;
mod first_event_model;
mod fleet_config;
mod fleet_members;
mod fleet_messages;
mod fleet_pace;
mod full_backoff;
mod grant_window;
mod known_upstream;
mod latency_estimate;
mod leader_handover;
mod leader_updates;
mod load_budget;
mod load_planner;
mod missing_models;
mod model_answer;
mod model_demand;
mod models_line;
mod notice_table;
mod open_usage;
mod operator_view;
mod output_estimate;
mod pace_window;
mod part_assessment;
mod part_history;
mod part_quarantine;
mod part_survivals;
mod pick_explanation;
mod place_senders;
mod plan_summary;
mod planned_engine;
mod process_delay;
mod process_limits;
mod quarantined_part;
mod quota_allocator;
mod rendezvous;
mod report_times;
mod request_key;
mod request_need;
mod retry_throttle;
mod returning_keys;
mod route_rule;
mod row_schedule;
mod scaled_domain;
mod scaled_service;
mod scaling_history;
mod scaling_order;
mod scaling_record;
mod scaling_rule;
mod server_scaler;
mod service_load;
mod service_rule;
mod slow_start_gate;
mod speed_estimate;
mod standalone_share;
mod store_outage;
mod store_slots;
mod store_speed;
mod survival_watch;
mod suspect_list;
mod team_rule;
mod timed_cost;
mod token_quota;
mod token_wait;
mod trial_table;
mod upstream_entry;
mod upstream_freshness;
mod upstream_load;
mod upstream_log;
mod upstream_pick;
mod upstream_registry;
mod upstream_work;
mod usage_ledger;
mod usage_messages;
mod usage_meter;
mod usage_row;
mod usage_terms;
mod wait_cause;
mod wait_limit;
mod wall_clock;

pub use adapter_plan::adapters_of;
pub use admission_queue::{AdmissionQueue, AdmissionRejection};
pub use admission_request::{AdmissionRequest, PRIORITY_CLASSES};
pub use admission_target::AdmissionTarget;
pub use answer_budget::{AnswerBudget, FREE_ANSWER_BYTES};
pub use body_budget::{BodyBudget, BodyGrant, BodyTicket};
pub use caller_limits::CallerLimits;
pub use change_log::ChangeLog;
pub use clock_median::ClockMedian;
pub use crash_log::CrashLog;
pub use crash_messages::{CrashLine, CrashLogCopy};
pub use crash_record::{AnswerStage, CrashRecord};
pub use duty_call::{DutyAnswer, DutyCall, DutySubject};
pub use duty_gate::{DutyAge, DutyGate, DutyHandover};
pub use engine_order::{EngineAction, EngineOrder, EngineStatus, OrderAnswer, PlanStep};
pub use era_tracker::{EraFault, EraTracker};
pub use first_event_model::FirstEventModel;
pub use fleet_config::FleetConfig;
pub use fleet_members::FleetMembers;
pub use fleet_messages::{
    AdapterName, ArrivalLine, CopiedRow, CrashCursor, DelayLine, DemandLine, GatewayReport, LeaderAnswer,
    LeaseRenewal, PaceCursor, PaceLine, PlaceLine, QuotaRequest, RunningLine, StandaloneQuota,
    TokenGrantLine, UpdateCursors, ViewCopy, ViewFreshness, WorkLine, last_renewal,
};
pub use fleet_pace::FleetPace;
pub use full_backoff::FullBackoff;
pub use grant_window::GrantWindow;
pub use known_upstream::KnownUpstream;
pub use latency_estimate::LatencyEstimate;
pub use leader_handover::{LeaderHandover, ModelRate, OrderAge, ReceivedHandover, WindowCopy};
pub use leader_updates::{LeaderUpdates, UpdateBatch};
pub use load_budget::{LoadBudget, StoreLimit};
pub use load_planner::LoadPlanner;
pub use model_demand::{AdapterDemand, DemandTable, ModelDemand};
pub use models_line::{ModelNames, ModelsLine};
pub use notice_table::{AnswerNotice, NoticeTable, UpstreamStart, jittered_ms};
pub use open_usage::{OpenSource, OpenUsage, UsageCheckpoint};
pub use operator_view::{OperatorChange, OperatorRow, OperatorView, ViewOutcome};
pub use output_estimate::OutputEstimate;
pub use pace_window::{AnswerCounts, PaceWindow};
pub use part_assessment::{PartAssessment, SuspectedParts};
pub use part_history::PartHistory;
pub use part_quarantine::{PartGate, PartQuarantine};
pub use part_survivals::PartSurvivals;
pub use pick_explanation::PickLine;
pub use place_senders::PlaceSenders;
pub use plan_summary::{BegunLoad, DelayedLoad, LoadCause, LoadDelay, PlanSummary, StoreUse};
pub use planned_engine::{PlannedEngine, WeightTier};
pub use process_delay::ProcessDelay;
pub use process_limits::ProcessLimits;
pub use quarantined_part::QuarantinedPart;
pub use quota_allocator::QuotaAllocator;
pub use rendezvous::{hash_rank, pair_weight, text_hash};
pub use report_times::{
    candidate_interval_ms, leader_due_ms, leaderless_after_ms, leaderless_read_ms, report_interval_ms,
    silent_after_ms, standalone_after_ms, urgent_interval_ms,
};
pub use request_key::{is_request_key, request_key};
pub use request_need::{ModelNeed, RequestNeed};
pub use retry_throttle::{RetryLimit, RetryThrottle};
pub use route_rule::{RouteKind, RouteRule, RouteTarget};
pub use row_schedule::{LeaderContact, RowSchedule, RowStep};
pub use scaling_order::{ScalingAnswer, ScalingBasis, ScalingOrder, ScalingReason};
pub use scaling_record::{RecordedNumber, ScalingRecord};
pub use scaling_rule::ScalingRule;
pub use server_scaler::ServerScaler;
pub use service_load::{DomainServers, ScalingInputs, ServiceLoad};
pub use service_rule::{EngineRule, ModelRule, ServiceRule};
pub use slow_start_gate::{SlowStartGate, SlowStartLimit};
pub use speed_estimate::SpeedEstimate;
pub use standalone_share::{ShareTerms, StandaloneShare};
pub use store_outage::StoreOutage;
pub use survival_watch::{SURVIVAL_MS, SurvivalWatch};
pub use suspect_list::SuspectList;
pub use team_rule::TeamRule;
pub use token_quota::{GRANT_LIFETIME_MS, ReserveOutcome, TokenNeed, TokenQuota};
pub use token_wait::TokenWait;
pub use trial_table::TrialTable;
pub use upstream_entry::{HeldModel, UpstreamEntry};
pub use upstream_freshness::UpstreamFreshness;
pub use upstream_load::{USUAL_FACTOR, UpstreamLoad};
pub use upstream_pick::{PickContext, UpstreamPick};
pub use upstream_registry::{EXPIRY_HOLD_MS, UpstreamRegistry, UpstreamUpdate};
pub use upstream_work::{RoomLimit, RoomSeeker, UpstreamWork};
pub use usage_ledger::{LedgerStep, LedgerView, MAX_USAGE_ROWS, RowOutcome, StoredUsage, UsageLedger};
pub use usage_messages::{UsageAnswer, UsageReport, WindowCounts};
pub use usage_meter::{SendTicket, UsageMeter};
pub use usage_row::UsageRow;
pub use usage_terms::UsageTerms;
pub use wait_cause::WaitCause;
pub use wait_limit::WaitLimit;
pub use wall_clock::WallClock;
