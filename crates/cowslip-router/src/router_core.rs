//! Settings, clients and state shared by all tasks of a router.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cowslip_platform::PlatformClient;
use cowslip_runtime::{MetricSink, ProcessClock, TraceSource, random_hex};
use cowslip_units::{ClockTime, IncarnationId, UnitError};
use slog::Logger;
use tokio::sync::{Notify, watch};

use crate::{CallerConnections, PeerClients, RouterSettings, RouterState, UpstreamClient};

/// Notifications that wake the router's background tasks.
#[derive(Debug, Default)]
pub struct RouterSignals {
    /// Queued requests may have become eligible for dispatch.
    pub dispatch: Notify,
    /// Demand has to be reported to the leader immediately.
    pub demand: Notify,
    /// A newer view version exists: changes have to be fetched immediately.
    pub view_outdated: Notify,
    /// True once graceful shutdown has begun.
    pub stopping: watch::Sender<bool>,
}

/// Everything that the tasks of a router share.
pub struct RouterCore {
    /// Validated settings of this process.
    pub settings: RouterSettings,
    /// Identifies this start of the process.
    pub incarnation: IncarnationId,
    /// Monotonic clock.
    pub clock: ProcessClock,
    /// Logger of this process.
    pub logger: Logger,
    /// Metrics client.
    pub metrics: MetricSink,
    /// Source of trace spans.
    pub traces: TraceSource,
    /// Client of the platform services.
    pub platform: PlatformClient,
    /// HTTP client for upstreams.
    pub upstreams: UpstreamClient,
    /// RPC clients of other routers and controllers.
    pub peers: PeerClients,
    /// Connections of callers.
    pub connections: Arc<CallerConnections>,
    /// Notifications of background tasks.
    pub signals: RouterSignals,
    state: Mutex<RouterState>,
}

impl RouterCore {
    /// Creates the core of a router that starts now.
    pub fn new(settings: RouterSettings, logger: Logger) -> Result<Self, UnitError> {
        let clock = ProcessClock::new();
        let incarnation = IncarnationId::new(&format!("{}:{}", settings.vm, random_hex(8)))?;
        let metrics = MetricSink::new("cowslip.router", settings.metrics_addr);
        let seed = rand::random();
        let state = RouterState::new(&incarnation, settings.max_waiting, seed, clock.now());
        let connections = CallerConnections::new(settings.max_connections, settings.read_timeout_ms);
        Ok(Self {
            platform: PlatformClient::new(settings.platform),
            traces: TraceSource::new("cowslip-router", logger.clone()),
            upstreams: UpstreamClient::new(),
            peers: PeerClients::default(),
            connections: Arc::new(connections),
            signals: RouterSignals::default(),
            state: Mutex::new(state),
            settings,
            incarnation,
            clock,
            logger,
            metrics,
        })
    }

    /// Locks the state. The lock must be released before the next await point.
    pub fn state(&self) -> MutexGuard<'_, RouterState> {
        // The panic that poisoned the lock has been reported; other requests still need the state.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current time of the monotonic clock.
    pub fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// RPC address of the process with this incarnation, from the members or else from the VM list.
    pub fn rpc_addr(&self, incarnation: &IncarnationId) -> Option<SocketAddr> {
        let state = self.state();
        if let Some(member) = state.view.member(incarnation) {
            return Some(member.rpc_addr);
        }
        let vm = crate::vm_directory::vm_of(incarnation)?.parse().ok()?;
        state.vms.router(&vm)
    }
}

impl fmt::Debug for RouterCore {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("RouterCore").field(&self.incarnation).finish()
    }
}
