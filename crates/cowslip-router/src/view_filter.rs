//! Admits requests only while the view is confirmed.

use std::sync::Arc;

use cowslip_routing::ErrorResponse;
use cowslip_units::ErrorKind;

use crate::{RequestContext, RequestFilter, RouterCore};

/// Rejects requests during shutdown, without a sheet in force, or without a recent confirmation of the view.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewFilter;

impl RequestFilter for ViewFilter {
    async fn apply(
        &self,
        core: &Arc<RouterCore>,
        _context: &mut RequestContext,
    ) -> Result<(), ErrorResponse> {
        let now = core.now();
        let state = core.state();
        if state.closed {
            return Err(ErrorResponse::new(ErrorKind::Draining, "this VM is stopping"));
        }
        if !state.confirmation.can_admit(now) || state.view.sheet_ref().is_none() {
            let message = "this router cannot confirm its configuration at present";
            return Err(ErrorResponse::new(ErrorKind::ViewStale, message));
        }
        Ok(())
    }
}
