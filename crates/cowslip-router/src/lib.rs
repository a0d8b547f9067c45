//! The router: HTTP front end for callers, request filter chain, dispatcher and peer RPC.
//!
//! A request first passes the filters in a fixed order: limits ([`IncomingRequest`]), trace, view, team,
//! route, idempotency, deadline, rate. It then waits in the queue ([`DispatchParams`]) until the dispatcher
//! grants it a permit for an upstream. [`CallFlight`] repeats the admission checks at that moment and sends
//! the request; the upstream's response is validated before any of it reaches the caller.
//!
//! The router is single-threaded. [`RouterState`] is guarded by one lock that is never held across an await
//! point.

mod buffered_call;
mod call_fault;
mod call_flight;
mod caller_handler;
mod claim_call;
mod deadline_filter;
mod dispatch_interval;
mod dispatch_loop;
mod dispatch_params;
mod dispatch_rules;
mod ended_probe;
mod fixed_shares;
mod header_sanitizer;
mod health_response;
mod idempotency_filter;
mod leader_link;
mod model_call;
mod model_list;
mod model_request;
mod peer_address;
mod peer_clients;
mod peer_exchange;
mod permit_borrow;
mod permit_guard;
mod placement_index;
mod rate_filter;
mod report_calls;
mod report_runner;
mod request_context;
mod request_filter;
mod request_intake;
mod response_body;
mod route_filter;
mod router_core;
mod router_policy;
mod router_process;
mod router_settings;
mod router_state;
mod rpc_server;
mod running_calls;
mod service_call;
mod store_poll;
mod stream_relay;
mod stream_source;
mod team_filter;
mod token_reservation;
mod trace_filter;
mod upstream_cancel;
mod upstream_client;
mod upstream_request;
mod view_filter;
mod view_sync;
mod vm_directory;
mod vm_poll;
mod waiting_call;

pub use buffered_call::BufferedResponse;
pub use call_fault::CallFault;
pub use call_flight::{CallFlight, StartFault, StartedFlight};
pub use caller_handler::CallerHandler;
pub use cowslip_routing::ErrorResponse;
pub use cowslip_runtime::CallerConnections;
pub use deadline_filter::DeadlineFilter;
pub use dispatch_params::DispatchParams;
pub use dispatch_rules::DispatchRules;
pub use fixed_shares::FixedShares;
pub use idempotency_filter::IdempotencyFilter;
pub use model_call::{ModelCall, ModelResponse};
pub use model_request::{ModelEndpoint, ModelRequest};
pub use peer_address::PeerAddress;
pub use peer_clients::PeerClients;
pub use permit_guard::PermitGuard;
pub use placement_index::PlacementIndex;
pub use rate_filter::RateFilter;
pub use request_context::{RequestAction, RequestContext, RouteMatch};
pub use request_filter::RequestFilter;
pub use request_intake::IncomingRequest;
pub use route_filter::RouteFilter;
pub use router_core::{RouterCore, RouterSignals};
pub use router_policy::RouterPolicy;
pub use router_process::RouterProcess;
pub use router_settings::RouterSettings;
pub use router_state::RouterState;
pub use rpc_server::RpcServer;
pub use running_calls::RunningCalls;
pub use stream_source::{StreamEvent, StreamSource};
pub use team_filter::TeamFilter;
pub use token_reservation::TokenReservation;
pub use trace_filter::TraceFilter;
pub use upstream_cancel::UpstreamCancel;
pub use upstream_client::{SendFault, UpstreamClient};
pub use upstream_request::UpstreamRequest;
pub use view_filter::ViewFilter;
pub use vm_directory::VmDirectory;
pub use waiting_call::{PermitResult, WaitingCall};
