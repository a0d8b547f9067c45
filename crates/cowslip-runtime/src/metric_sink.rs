//! Metrics in statsd format, sent with `cadence`.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};

/// Sends metrics to a statsd address, or discards them if none is configured.
#[derive(Clone, Debug)]
pub struct MetricSink {
    client: Arc<StatsdClient>,
}

impl MetricSink {
    /// Creates a sink whose metric names start with `prefix`. Without an address, metrics are discarded.
    pub fn new(prefix: &str, addr: Option<SocketAddr>) -> Self {
        let client = match addr.and_then(udp_sink) {
            Some(sink) => StatsdClient::from_sink(prefix, sink),
            None => StatsdClient::from_sink(prefix, NopMetricSink),
        };
        Self { client: Arc::new(client) }
    }

    /// Increments a counter by `count`.
    pub fn count(&self, name: &str, count: u64) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        // A metric that cannot be sent must not affect a request.
        let _ = self.client.count(name, count);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration in ms.
    pub fn time_ms(&self, name: &str, millis: u64) {
        let _ = self.client.time(name, millis);
    }
}

fn udp_sink(addr: SocketAddr) -> Option<UdpMetricSink> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    UdpMetricSink::from(addr, socket).ok()
}
