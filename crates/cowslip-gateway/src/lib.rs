//! The gateway process: HTTP servers, connection pools and background tasks around the decision logic of
//! `cowslip-entry`.
//!
//! - process start and shutdown: [`run_gateway`]
//! - shared state: `gateway`, `gateway_state`, `load_outlook`, `running_calls`, `waiting_requests`, `standalone_share`
//! - connections of callers: `caller_listener`, `caller_server`, `caller_body`
//! - request path: `request_flow`, `request_context`, `dispatch`, `request_progress`,
//!   `upstream_choice`, `retry_choice`, `send_outcome`, `outcome_record`, `call_guard`, `plain_call`, `slow_call`,
//!   `stream_call`, `event_source`, `event_check`, `stream_relay`, `stream_handover`, `resume_permit`,
//!   `cut_cause`
//! - memory for bodies and answers: `request_memory`, `answer_memory`
//! - order of waiting requests: `admission_turns`, `queue_choice`, `queue_place`, `target_look`, `change_signal`
//! - prompt parts that end upstreams: `part_guard`, `crash_exchange`, `quarantine_store`
//! - responses: `response_body`, `request_rejection`
//! - upstream connections: `upstream_pool`, `guarded_stream`, `upstream_request`, `upstream_notice`
//! - store and other gateways: `store_watch`, `table_rows`, `view_copy`, `leader_exchange`, `report_builder`, `peer_clients`
//! - leader role: `lease_task`, `lease_calls`, `leader_state`, `plan_task`, `plan_record`
//! - singleton calls to the cloud API: `duty_calls`, `duty_usage`, `duty_scaling`, `duty_rows`, `duty_counts`, `duty_status`
//! - logs, metrics and the explanation of a request: `gateway_log`, `gateway_metrics`, `explain_page`

mod admission_turns;
mod answer_memory;
mod call_guard;
mod caller_body;
mod caller_listener;
mod caller_server;
mod capacity_record;
mod change_signal;
mod choice_inputs;
mod crash_exchange;
mod cut_cause;
mod dispatch;
mod duty_calls;
mod duty_counts;
mod duty_rows;
mod duty_scaling;
mod duty_status;
mod duty_usage;
mod event_check;
mod event_source;
mod explain_page;
mod gateway;
mod gateway_log;
mod gateway_metrics;
mod gateway_process;
mod gateway_state;
mod guarded_stream;
mod leader_exchange;
mod leader_state;
mod lease_calls;
mod lease_task;
mod load_outlook;
mod outcome_record;
mod part_guard;
mod peer_clients;
mod plain_call;
mod plan_record;
mod plan_task;
mod quarantine_store;
mod queue_choice;
mod queue_place;
mod report_builder;
mod request_context;
mod request_flow;
mod request_memory;
mod request_progress;
mod request_rejection;
mod response_body;
mod resume_permit;
mod retry_choice;
mod running_calls;
mod send_outcome;
mod slow_call;
mod standalone_share;
mod store_watch;
mod stream_call;
mod stream_handover;
mod stream_relay;
mod table_rows;
mod target_look;
mod upstream_choice;
mod upstream_notice;
mod upstream_pool;
mod upstream_request;
mod view_copy;
mod waiting_requests;

pub use cowslip_runtime::SharedLimiter;
pub use gateway_log::{LINES_PER_S, RequestLineLimiter, gateway_logger};
pub use gateway_process::run_gateway;
pub use upstream_pool::{SendFault, UpstreamConnection, UpstreamPool};

/// Fleet size assumed until a leader or the lease row has reported one.
pub(crate) const FALLBACK_MEMBERS: usize = 12;
