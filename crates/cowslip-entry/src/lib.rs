//! Decisions of the gateway on the users' platform, as plain state machines: no I/O, no clock, no names of the
//! platform.
//!
//! - the operators' table: [`FleetConfig`], [`OperatorView`]
//! - upstreams and the choice among them: [`UpstreamEntry`], [`KnownUpstream`], [`UpstreamBook`], [`UpstreamProof`]
//! - limits kept by all gateways together: [`TokenPurse`] and [`GrantBook`], [`ColdGate`], [`RepeatBudget`]
//! - how long a request may wait: [`WaitLimit`]
//! - the leader's placement: [`DemandTable`], [`LoadPlanner`]
//! - messages between gateways: [`GatewayReport`], [`LeaderAnswer`], [`LeaderHandover`]

mod adapter_plan;
mod caller_limits;
mod cold_gate;
mod engine_order;
mod fleet_config;
mod fleet_messages;
mod grant_book;
mod grant_window;
mod known_upstream;
mod leader_handover;
mod leader_news;
mod load_budget;
mod load_planner;
mod model_answer;
mod model_demand;
mod news_log;
mod notice_book;
mod operator_view;
mod own_part;
mod planned_engine;
mod rendezvous;
mod repeat_budget;
mod report_times;
mod request_need;
mod route_rule;
mod service_rule;
mod store_slots;
mod store_speed;
mod store_trouble;
mod team_rule;
mod token_purse;
mod token_wait;
mod upstream_book;
mod upstream_entry;
mod upstream_proof;
mod wait_limit;

pub use adapter_plan::adapters_of;
pub use caller_limits::CallerLimits;
pub use cold_gate::{ColdGate, ColdLimit};
pub use engine_order::{EngineAction, EngineOrder, EngineStatus, OrderAnswer, PlanStep};
pub use fleet_config::FleetConfig;
pub use fleet_messages::{
    AdapterName, ArrivalLine, CopiedRow, DemandLine, GatewayReport, LeaderAnswer, LeaseNews, NewsMarks,
    PlaceLine, RunningLine, TeamRoom, TokenAsk, TokenGrantLine, ViewCopy, ViewStamp, last_renewal,
};
pub use grant_book::GrantBook;
pub use grant_window::GrantWindow;
pub use known_upstream::KnownUpstream;
pub use leader_handover::{LeaderHandover, ModelRate, OrderAge, ReceivedHandover, WindowCopy};
pub use leader_news::{LeaderNews, ToldNews};
pub use load_budget::{LoadBudget, StoreLimit};
pub use load_planner::LoadPlanner;
pub use model_demand::{AdapterDemand, DemandTable, ModelDemand};
pub use news_log::NewsLog;
pub use notice_book::{AnswerNotice, NoticeBook, UpstreamStart, spread_ms};
pub use operator_view::{OperatorChange, OperatorRow, OperatorView, ViewOutcome};
pub use own_part::{OwnPart, PartTerms};
pub use planned_engine::{PlannedEngine, WeightTier};
pub use rendezvous::{pair_weight, rank_of, text_hash};
pub use repeat_budget::{RepeatBudget, RepeatLimit};
pub use report_times::{
    alone_after_ms, candidate_pause_ms, heard_ms, leader_due_ms, report_pause_ms, urgent_pause_ms,
};
pub use request_need::{ModelNeed, RequestNeed};
pub use route_rule::{RouteKind, RouteRule, RouteTarget};
pub use service_rule::{EngineRule, ModelRule, ServiceRule};
pub use store_speed::StoreSpeed;
pub use store_trouble::StoreTrouble;
pub use team_rule::TeamRule;
pub use token_purse::{GRANT_MS, PurseStep, TokenNeed, TokenPurse};
pub use token_wait::TokenWait;
pub use upstream_book::{LAPSE_HOLD_MS, PickScope, UpstreamBook, UpstreamNews, UpstreamPick, WaitCause};
pub use upstream_entry::{HeldModel, UpstreamEntry};
pub use upstream_proof::UpstreamProof;
pub use wait_limit::WaitLimit;
