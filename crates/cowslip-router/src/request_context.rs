//! The state of a request as it passes through the filter chain.

use std::net::SocketAddr;

use bytes::Bytes;
use cowslip_routing::RequestClass;
use cowslip_runtime::TraceContext;
use cowslip_units::{ClockTime, KeyDigest, ReportId, RequestId, RouteId, TeamId};
use http::{HeaderMap, Method, Uri};
use smol_str::SmolStr;

use crate::{ModelRequest, TokenReservation};

/// Action requested by the caller, determined by the route filter.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestAction {
    /// Call of a model or adapter.
    Model(ModelRequest),
    /// Call of a plain service.
    Service,
    /// List the models available to the team.
    ListModels,
    /// Create a report.
    NewReport(ModelRequest),
    /// Fetch the state of a report.
    FetchReport(ReportId),
    /// Cancel a report.
    CancelReport(ReportId),
}

/// Route and action of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteMatch {
    /// Id of the declared route; empty for paths served by the router itself.
    pub route: RouteId,
    /// Requested action.
    pub action: RequestAction,
    /// True if the request may be repeated.
    pub idempotent: bool,
    /// Default deadline in ms after arrival.
    pub deadline_ms: u64,
    /// Number of tokens to reserve; zero if the request is not charged.
    pub cost: u64,
}

/// A request with the results of the filters. Each filter sets its own fields once.
#[derive(Debug)]
pub struct RequestContext {
    /// Request id, used in logs and towards upstreams.
    pub request: RequestId,
    /// Time of arrival.
    pub arrived_at: ClockTime,
    /// Address of the caller.
    pub client: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Request headers; the team filter removes the key.
    pub headers: HeaderMap,
    /// Request body, read completely.
    pub body: Bytes,
    /// Trace context, set by the trace filter.
    pub trace: Option<TraceContext>,
    /// Digest of the caller's key, set by the team filter.
    pub key: Option<KeyDigest>,
    /// Team, set by the team filter; `None` on open routes.
    pub team: Option<TeamId>,
    /// Matched route, set by the route filter.
    pub matched: Option<RouteMatch>,
    /// Digest of team, route and idempotency key, set by the idempotency filter.
    pub idempotency: Option<SmolStr>,
    /// Time by which the response must begin, set by the deadline filter.
    pub deadline: ClockTime,
    /// Reserved tokens, set by the rate filter.
    pub tokens: Option<TokenReservation>,
}

impl RequestContext {
    /// Priority class; callers' requests are always urgent.
    pub const fn class(&self) -> RequestClass {
        RequestClass::Urgent
    }

    /// Returns a header's value if it is valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
