//! Sets the deadline of a request.

use std::sync::Arc;

use cowslip_routing::ErrorResponse;
use cowslip_units::ErrorKind;

use crate::{RequestContext, RequestFilter, RouterCore};

/// Longest accepted deadline in ms: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Takes the deadline from the header `X-Deadline-Ms` (milliseconds after arrival), or else from the route's
/// default.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlineFilter;

impl RequestFilter for DeadlineFilter {
    async fn apply(
        &self,
        _core: &Arc<RouterCore>,
        context: &mut RequestContext,
    ) -> Result<(), ErrorResponse> {
        let default_ms = context.matched.as_ref().map_or(MAX_DEADLINE_MS, |matched| matched.deadline_ms);
        let millis = match context.headers.get("x-deadline-ms") {
            None => default_ms,
            Some(value) => {
                let digits =
                    value.to_str().ok().filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
                let millis = digits.and_then(|text| text.parse().ok());
                millis.filter(|millis| (1..=MAX_DEADLINE_MS).contains(millis)).ok_or_else(|| {
                    let message = format!("X-Deadline-Ms must be a whole number from 1 to {MAX_DEADLINE_MS}");
                    ErrorResponse::new(ErrorKind::DeadlineInvalid, &message)
                })?
            }
        };
        context.deadline = context.arrived_at.plus_ms(millis);
        Ok(())
    }
}
