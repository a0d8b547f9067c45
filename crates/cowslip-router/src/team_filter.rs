//! Authenticates a request: determines the team from its key.

use std::sync::Arc;

use cowslip_config::{RouteRow, RouteTarget};
use cowslip_routing::ErrorResponse;
use cowslip_runtime::sha256_hex;
use cowslip_units::{ErrorKind, KeyDigest};
use http::header::AUTHORIZATION;

use crate::route_filter::service_route;
use crate::{RequestContext, RequestFilter, RouterCore};

/// Reads the key, keeps only its digest and removes the header, so that no later step can read or forward the
/// key.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamFilter;

impl RequestFilter for TeamFilter {
    async fn apply(&self, core: &Arc<RouterCore>, context: &mut RequestContext) -> Result<(), ErrorResponse> {
        let authorization = context.headers.remove(AUTHORIZATION);
        let state = core.state();
        let route = service_route(&state.sheet, context.uri.path());
        if route.is_some_and(|row| row.open) {
            return Ok(());
        }
        let Some(authorization) = authorization else {
            // Requests to open model routes are matched by the route filter.
            let is_open_model = |row: &RouteRow| row.open && matches!(row.target, RouteTarget::Models(_));
            let has_open = state.sheet.routes.iter().any(is_open_model);
            if has_open && context.uri.path().starts_with("/v1/") {
                return Ok(());
            }
            return Err(key_missing());
        };
        let key = authorization.to_str().ok().and_then(bearer_key).ok_or_else(key_missing)?;
        let digest: KeyDigest = sha256_hex(key.as_bytes()).parse().map_err(|_| key_missing())?;
        let team = state.team_of(&digest).map_err(|kind| {
            let message = match kind {
                ErrorKind::KeyWithdrawn => "the key was withdrawn",
                _ => "the key is not known",
            };
            ErrorResponse::new(kind, message)
        })?;
        context.team = Some(team);
        context.key = Some(digest);
        Ok(())
    }
}

/// Rejection of a request without a valid `Authorization` header.
pub(crate) fn key_missing() -> ErrorResponse {
    ErrorResponse::new(
        ErrorKind::KeyMissing,
        "the header \"Authorization: Bearer KEY\" is missing or malformed",
    )
}

fn bearer_key(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
