//! Validates the idempotency key.

use std::sync::Arc;

use cowslip_routing::ErrorResponse;
use cowslip_runtime::sha256_hex;
use cowslip_units::{ErrorKind, TeamId};
use smol_str::SmolStr;

use crate::{RequestAction, RequestContext, RequestFilter, RouterCore};

/// Longest accepted key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Requires a key for requests that must not be repeated; other requests may have one.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdempotencyFilter;

impl RequestFilter for IdempotencyFilter {
    async fn apply(
        &self,
        _core: &Arc<RouterCore>,
        context: &mut RequestContext,
    ) -> Result<(), ErrorResponse> {
        let Some(matched) = &context.matched else {
            return Ok(());
        };
        let needed = !matched.idempotent && matches!(matched.action, RequestAction::Service);
        let mut values = context.headers.get_all("idempotency-key").iter();
        let (value, second) = (values.next(), values.next());
        let Some(value) = value else {
            if needed {
                let message = "the route is not idempotent, so the header \"Idempotency-Key\" is required";
                return Err(ErrorResponse::new(ErrorKind::IdempotencyKeyMissing, message));
            }
            return Ok(());
        };
        let text = value.to_str().unwrap_or_default();
        let printable = text.bytes().all(|byte| (0x20..0x7f).contains(&byte));
        if text.trim().is_empty() || text.len() > MAX_KEY_BYTES || !printable || second.is_some() {
            let message =
                format!("the idempotency key must be one to {MAX_KEY_BYTES} printable ASCII characters");
            return Err(ErrorResponse::new(ErrorKind::IdempotencyKeyInvalid, &message));
        }
        // The digest covers team and route, so that equal keys of different teams also differ at the
        // upstream.
        let team = context.team.as_ref().map(TeamId::as_str).unwrap_or_default();
        let scoped = format!("{team}\n{}\n{text}", matched.route);
        context.idempotency = Some(SmolStr::new(sha256_hex(scoped.as_bytes())));
        Ok(())
    }
}
