//! Assigns a request to its trace.

use std::sync::Arc;

use cowslip_routing::ErrorResponse;
use cowslip_runtime::{TraceContext, TraceSpan};

use crate::{RequestContext, RequestFilter, RouterCore};

/// Sets the trace context of a request from the span of the whole request.
#[derive(Debug)]
pub struct TraceFilter<'a> {
    span: &'a TraceSpan,
}

impl<'a> TraceFilter<'a> {
    /// Creates a filter that assigns requests to the trace of `span`.
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
