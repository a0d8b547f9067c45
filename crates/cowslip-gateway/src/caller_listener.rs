//! Accepts connections within a limit and wraps them for the HTTP server.

use std::sync::Arc;
use std::time::Duration;

use cowslip_entry::CallerLimits;
use cowslip_runtime::{CallerConnections, CallerStream, ConnectionTimeouts, HeadFilter};
use cowslip_units::ErrorKind;
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use slog::warn;
use tokio::net::TcpStream;

use crate::gateway::Gateway;

/// Least size in bytes of the buffers of a connection.
const MIN_BUFFER_BYTES: usize = 16_384;

/// Room in bytes for the request line beside the header.
const REQUEST_LINE_BYTES: usize = 8_192;

/// Passes heads on unchanged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlainHeads;

impl HeadFilter for PlainHeads {
    fn filter(&mut self, _received: &mut [u8]) {}

    fn timeout_response(&self) -> Vec<u8> {
        let body = format!("{{\"error\":\"{}\"}}", ErrorKind::ReadTimeout);
        format!(
            "HTTP/1.1 408 Request Timeout\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
             retry-after: 1\r\nconnection: close\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

/// Wraps an accepted connection; `None` when there are far too many or it is closed already. At the limit, the
/// connection that has waited longest for a request is closed for the new one, or else the slowest body is abandoned.
pub(crate) fn admit_connection(
    gateway: &Gateway,
    stream: TcpStream,
    connections: &Arc<CallerConnections>,
    limits: &CallerLimits,
) -> Option<CallerStream<PlainHeads>> {
    if connections.is_full() && !connections.evict_idle() {
        // Without a slow body the new connection is refused.
        gateway.request_memory.abandon_slowest();
    }
    let idle = Duration::from_millis(limits.idle_ms);
    let header = Duration::from_millis(limits.header_ms);
    let timeouts = ConnectionTimeouts { first: idle, header, idle };
    CallerStream::with_timeouts(stream, connections, PlainHeads, timeouts)
}

/// The HTTP server of one connection. The stream has timeouts of its own.
pub(crate) fn connection_server(limits: &CallerLimits) -> http1::Builder {
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size((limits.header_bytes + REQUEST_LINE_BYTES).max(MIN_BUFFER_BYTES));
    server
}

/// Reports the connections that were closed or refused at the limit since the last call.
pub(crate) fn report_connections(gateway: &Gateway) {
    let listeners = [
        ("callers", &gateway.connections),
        ("readiness", &gateway.readiness_connections),
        ("metrics", &gateway.metrics_connections),
    ];
    for (listener, connections) in listeners {
        let counts = connections.take_counts();
        if counts == Default::default() {
            continue;
        }
        let causes = [("evicted", counts.evicted), ("refused", counts.refused), ("dropped", counts.dropped)];
        for (cause, count) in causes {
            gateway.metrics.count_connections(listener, cause, count);
        }
        warn!(gateway.logger, "connections_short"; "listener" => listener, "open" => connections.len(),
            "evicted" => counts.evicted, "refused" => counts.refused, "dropped" => counts.dropped);
    }
}
