//! Puts a request into its trace.

use std::sync::Arc;

use cowslip_routing::ErrorResponse;
use cowslip_runtime::{TraceContext, TraceSpan};

use crate::{RequestContext, RequestFilter, RouterCore};

/// The filter, with the span of the whole request.
#[derive(Debug)]
pub struct TraceFilter<'a> {
    span: &'a TraceSpan,
}

impl<'a> TraceFilter<'a> {
    /// Puts requests into the trace of `span`.
    pub const fn new(span: &'a TraceSpan) -> Self {
        Self { span }
    }
}

impl RequestFilter for TraceFilter<'_> {
    async fn apply(
        &self,
        _core: &Arc<RouterCore>,
        context: &mut RequestContext,
    ) -> Result<(), ErrorResponse> {
        let trace: TraceContext = self.span.context();
        context.trace = Some(trace);
        Ok(())
    }
}
