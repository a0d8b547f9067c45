//! The gateway on the users' platform: the process around the decisions of `cowslip-entry`.
//!
//! - the process: [`run_gateway`]
//! - a request's way: `caller_server`, `request_flow`, `request_context`, `dispatch`, `plain_call`, `stream_relay`
//! - upstreams: `upstream_pool`, `guarded_stream`, `upstream_request`
//! - the store and other gateways: `store_follow`, `leader_exchange`, `leader_duty`
//! - logs and metrics: `gateway_log`, `gateway_metrics`

mod answer_body;
mod caller_server;
mod dispatch;
mod gateway_log;
mod gateway_metrics;
mod gateway_process;
mod gateway_state;
mod guarded_stream;
mod leader_duty;
mod leader_exchange;
mod leader_state;
mod own_parts;
mod plain_call;
mod plan_duty;
mod report_draft;
mod request_context;
mod request_flow;
mod request_refusal;
mod store_follow;
mod stream_relay;
mod upstream_notice;
mod upstream_pool;
mod upstream_request;

pub use cowslip_runtime::SharedLimiter;
pub use gateway_log::{LINES_PER_S, LineBudget, gateway_logger};
pub use gateway_process::run_gateway;
pub use upstream_pool::{SendFault, UpstreamConnection, UpstreamPool};

/// Gateways assumed while no leader has told how many there are.
pub(crate) const FALLBACK_MEMBERS: usize = 12;
