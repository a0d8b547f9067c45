//! One step of the filter chain.

use std::future::Future;
use std::sync::Arc;

use cowslip_routing::ErrorResponse;

use crate::{RequestContext, RouterCore};

/// Checks a request and fills in its part of the context, or refuses.
pub trait RequestFilter {
    /// Applies the filter.
    fn apply(
        &self,
        core: &Arc<RouterCore>,
        context: &mut RequestContext,
    ) -> impl Future<Output = Result<(), ErrorResponse>> + Send;
}
