//! Tracing: one span per hop, written to the log as JSON lines.
//!
//! Spans are created with `opentelemetry`. Exporting them as log lines needs no background thread, and a log
//! collector that supports OpenTelemetry field names can forward them.

use std::fmt;
use std::future::{Future, ready};
use std::time::{SystemTime, UNIX_EPOCH};

use opentelemetry::trace::{
    Span, SpanContext, SpanId, SpanKind, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer,
    TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, SpanData, SpanExporter};
use slog::{Logger, info};

/// Version field of the `traceparent` headers written by this program.
const TRACEPARENT_VERSION: &str = "00";

/// A trace id and a span id, as in the `traceparent` header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceContext {
    span: SpanContext,
}

impl TraceContext {
    /// Parses a `traceparent` header; `None` if it is malformed.
    pub fn from_header(text: &str) -> Option<Self> {
        let mut parts = text.trim().split('-');
        let version = parts.next()?;
        let trace = TraceId::from_hex(parts.next().filter(|part| part.len() == 32)?).ok()?;
        let span = SpanId::from_hex(parts.next().filter(|part| part.len() == 16)?).ok()?;
        let flags = u8::from_str_radix(parts.next().filter(|part| part.len() == 2)?, 16).ok()?;
        if version.len() != 2 || version == "ff" {
            return None;
        }
        let span = SpanContext::new(trace, span, TraceFlags::new(flags), true, TraceState::default());
        span.is_valid().then_some(Self { span })
    }

    /// Formats this context as a `traceparent` header.
    pub fn to_header(&self) -> String {
        let flags = self.span.trace_flags().to_u8();
        format!("{TRACEPARENT_VERSION}-{}-{}-{flags:02x}", self.span.trace_id(), self.span.span_id())
    }

    /// Trace id in hexadecimal.
    pub fn trace_id(&self) -> String {
        self.span.trace_id().to_string()
    }
}

/// Creates the spans of a process.
#[derive(Clone, Debug)]
pub struct TraceSource {
    tracer: SdkTracer,
}

impl TraceSource {
    /// Creates a source whose spans are written to `logger`.
    pub fn new(process: &'static str, logger: Logger) -> Self {
        let provider = SdkTracerProvider::builder().with_simple_exporter(LogExporter { logger }).build();
        Self { tracer: provider.tracer(process) }
    }

    /// Starts a span in the trace of `parent`, or in a new trace.
    pub fn start(&self, name: &'static str, parent: Option<&TraceContext>) -> TraceSpan {
        let context = match parent {
            Some(parent) => Context::new().with_remote_span_context(parent.span.clone()),
            None => Context::new(),
        };
        let builder = self.tracer.span_builder(name).with_kind(SpanKind::Server);
        TraceSpan { span: self.tracer.build_with_context(builder, &context) }
    }
}

/// A running span; it ends when dropped.
pub struct TraceSpan {
    span: opentelemetry_sdk::trace::Span,
}

impl TraceSpan {
    /// Context to pass on to the next hop.
    pub fn context(&self) -> TraceContext {
        TraceContext { span: self.span.span_context().clone() }
    }

    /// Sets an attribute of the span.
    pub fn set(&mut self, key: &'static str, value: &str) {
        self.span.set_attribute(KeyValue::new(key, value.to_owned()));
    }
}

impl fmt::Debug for TraceSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("TraceSpan").field(&self.context().to_header()).finish()
    }
}

/// Writes completed spans to the log.
#[derive(Debug)]
struct LogExporter {
    logger: Logger,
}

impl SpanExporter for LogExporter {
    fn export(&self, batch: Vec<SpanData>) -> impl Future<Output = OTelSdkResult> + Send {
        for span in batch {
            let attributes: Vec<String> =
                span.attributes.iter().map(|pair| format!("{}={}", pair.key, pair.value)).collect();
            info!(self.logger, "span";
                "name" => span.name.as_ref(),
                "trace_id" => span.span_context.trace_id().to_string(),
                "span_id" => span.span_context.span_id().to_string(),
                "parent_span_id" => span.parent_span_id.to_string(),
                "start_unix_us" => unix_micros(span.start_time),
                "duration_us" => unix_micros(span.end_time).saturating_sub(unix_micros(span.start_time)),
                "attributes" => attributes.join(" "));
        }
        ready(Ok(()))
    }
}

fn unix_micros(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
