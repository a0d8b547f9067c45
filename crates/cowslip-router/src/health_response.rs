//! Health endpoints: `/healthz` for the load balancer and `/readyz` for operators.

use gotham::helpers::http::Body;
use http::{Method, Response, StatusCode};
use serde_json::json;

use crate::RouterCore;
use crate::response_body::json_response;

/// Returns the response if the path is a health endpoint.
pub(crate) fn health_response(core: &RouterCore, method: &Method, path: &str) -> Option<Response<Body>> {
    if method != Method::GET && method != Method::HEAD {
        return None;
    }
    match path {
        "/healthz" => {
            let draining = core.state().draining;
            let status = if draining { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
            Some(json_response(status, json!({ "draining": draining }).to_string()))
        }
        "/readyz" => Some(readiness_response(core)),
        _ => None,
    }
}

fn readiness_response(core: &RouterCore) -> Response<Body> {
    let now = core.now();
    let state = core.state();
    let ready = !state.draining && state.confirmation.can_admit(now) && state.view.sheet_ref().is_some();
    let body = json!({
        "ready": ready,
        "draining": state.draining,
        "version": state.view.version(),
        "sheet": state.sheet_digest(),
        "confirm_age_ms": state.confirmation.age_ms(now),
        "degraded": state.confirmation.is_degraded(now),
        "member": state.view.member(&core.incarnation).is_some(),
        "placement": state.placement.version(),
        "waiting": state.queue.len(),
        "running": state.running.len(),
        "violations": state.violations,
    });
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_response(status, body.to_string())
}
