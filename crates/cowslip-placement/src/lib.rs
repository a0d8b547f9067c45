//! Placement decisions as plain state machines: no I/O, no clock reads, no randomness.
//!
//! - [`ReplicaLedger`]: the decided replicas and adapters, and the memory that they reserve
//! - [`LoadQueue`]: the limits of the weight store
//! - [`DemandTracker`]: the demand that routers report
//! - [`PlacementPlanner`]: what to load, unload and keep, by a [`PlacementPolicy`]

mod decision_line;
mod decision_log;
mod demand_sum;
mod demand_tracker;
mod drain_plan;
mod drain_reason;
mod engine_order;
mod engine_state;
mod engine_table;
mod first_fit_policy;
mod idle_index;
mod keep_warm_policy;
mod ledger_answers;
mod ledger_batch;
mod ledger_batches;
mod ledger_entry;
mod ledger_event;
mod ledger_queries;
mod ledger_refusal;
mod ledger_reports;
mod ledger_row;
mod list_absence;
mod load_decision;
mod load_intent;
mod load_queue;
mod load_rank;
mod model_usage;
mod order_action;
mod order_answer;
mod order_issuer;
mod place_estimate;
mod placement_planner;
mod placement_policy;
mod planner_places;
mod planner_step;
mod planner_table;
mod replica_cost;
mod replica_ledger;
mod replica_need;
mod row_key;
mod row_kind;
mod team_starts;
mod upstream_record;
mod upstream_report;
mod waiting_load;
mod weight_tier;

pub use decision_line::DecisionLine;
pub use decision_log::DecisionLog;
pub use demand_sum::DemandSum;
pub use demand_tracker::{DemandTracker, ROUTER_TIMEOUT_MS};
pub use engine_order::EngineOrder;
pub use first_fit_policy::FirstFitPolicy;
pub use keep_warm_policy::KeepWarmPolicy;
pub use ledger_batch::LedgerBatch;
pub use ledger_event::LedgerEvent;
pub use ledger_refusal::LedgerRefusal;
pub use ledger_row::LedgerRow;
pub use list_absence::ListAbsence;
pub use load_decision::LoadDecision;
pub use load_queue::LoadQueue;
pub use load_rank::LoadRank;
pub use model_usage::{ModelUsage, RATE_DECAY_MS};
pub use order_action::OrderAction;
pub use order_answer::OrderAnswer;
pub use order_issuer::OrderIssuer;
pub use place_estimate::PlaceEstimate;
pub use placement_planner::PlacementPlanner;
pub use placement_policy::PlacementPolicy;
pub use planner_step::PlannerStep;
pub use replica_cost::ReplicaCost;
pub use replica_ledger::ReplicaLedger;
pub use replica_need::ReplicaNeed;
pub use row_key::RowKey;
pub use row_kind::RowKind;
pub use upstream_report::UpstreamReport;
pub use waiting_load::WaitingLoad;
pub use weight_tier::WeightTier;
