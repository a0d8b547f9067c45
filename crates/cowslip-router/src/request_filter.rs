//! Interface of the filters in the request chain.

use std::future::Future;
use std::sync::Arc;

use cowslip_routing::ErrorResponse;

use crate::{RequestContext, RouterCore};

/// Validates a request and sets its fields of the context, or rejects the request.
pub trait RequestFilter {
    /// Applies the filter to a request.
    fn apply(
        &self,
        core: &Arc<RouterCore>,
        context: &mut RequestContext,
    ) -> impl Future<Output = Result<(), ErrorResponse>> + Send;
}
