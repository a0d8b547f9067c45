//! A gateway's process: its state and the services shared by its tasks.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cowslip_adapter::{GatewaySettings, StoreClient};
use cowslip_entry::CallerLimits;
use cowslip_fleet::LeaderLease;
use cowslip_runtime::{CallerConnections, ProcessClock, descriptor_limit};
use cowslip_units::ClockTime;
use slog::Logger;
use tokio::sync::{Notify, watch};

use crate::answer_memory::AnswerMemory;
use crate::change_signal::ChangeSignal;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_state::GatewayState;
use crate::request_memory::RequestMemory;
use crate::upstream_pool::UpstreamPool;

/// Connections of the readiness check, and of metrics, that are served at once: some for the platform and some for
/// operators.
const STATUS_CONNECTIONS: usize = 8;

/// A gateway: its state and the services shared by its tasks.
#[derive(Debug)]
pub(crate) struct Gateway {
    /// Settings of the process.
    pub settings: GatewaySettings,
    /// Monotonic clock of the process.
    pub clock: ProcessClock,
    /// Start time of the process.
    pub started_at: ClockTime,
    /// Root logger.
    pub logger: Logger,
    /// Metrics registry.
    pub metrics: GatewayMetrics,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Connections to upstreams.
    pub pool: UpstreamPool,
    /// Memory for the answers that are buffered.
    pub answer_memory: AnswerMemory,
    /// Connections of callers.
    pub connections: Arc<CallerConnections>,
    /// Connections of the readiness check.
    pub readiness_connections: Arc<CallerConnections>,
    /// Connections that read the metrics.
    pub metrics_connections: Arc<CallerConnections>,
    /// Memory for the bodies of requests.
    pub request_memory: RequestMemory,
    /// Wakes waiting requests after a change that may let them proceed.
    pub state_changed: ChangeSignal,
    /// Wakes the report task.
    report_now: Notify,
    /// True when something has to be reported that the last report does not include.
    report_requested: AtomicBool,
    /// Wakes requests that wait at upstreams while prompt parts are quarantined.
    pub parts_quarantined: Notify,
    /// Wakes the task that tells other gateways of crashes.
    pub crashes_changed: Notify,
    /// Wakes the tasks that watch the store.
    pub watch_now: Notify,
    /// Wakes the plan task.
    pub plan_now: Notify,
    /// True when callers' connections are to be closed, late in the shutdown.
    pub closing: watch::Sender<bool>,
    /// Copy of the lease as of its last check; verified again at the moment of each order.
    pub lease: Mutex<Option<LeaderLease>>,
    state: Mutex<GatewayState>,
}

impl Gateway {
    /// A gateway without any state yet.
    pub(crate) fn new(settings: GatewaySettings, clock: ProcessClock, logger: Logger) -> Arc<Self> {
        let store = StoreClient::new(settings.store);
        let limits = match descriptor_limit() {
            Some(descriptors) => settings.limits.with_descriptors(descriptors),
            None => settings.limits,
        };
        let table = |limit| Arc::new(CallerConnections::new(limit, CallerLimits::default().header_ms));
        Arc::new(Self {
            settings,
            clock,
            started_at: clock.now(),
            logger,
            metrics: GatewayMetrics::new(),
            store,
            pool: UpstreamPool::new(clock),
            answer_memory: AnswerMemory::new(limits.answer_bytes()),
            connections: table(limits.caller_connections()),
            readiness_connections: table(STATUS_CONNECTIONS),
            metrics_connections: table(STATUS_CONNECTIONS),
            request_memory: RequestMemory::new(limits.body_bytes(), clock),
            state_changed: ChangeSignal::default(),
            report_now: Notify::new(),
            report_requested: AtomicBool::new(false),
            crashes_changed: Notify::new(),
            parts_quarantined: Notify::new(),
            watch_now: Notify::new(),
            plan_now: Notify::new(),
            closing: watch::Sender::new(false),
            lease: Mutex::new(None),
            state: Mutex::new(GatewayState::new()),
        })
    }

    /// Locks the state. The guard must not be held across an await.
    pub(crate) fn lock(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Asks for a report before the regular one.
    pub(crate) fn request_report(&self) {
        self.report_requested.store(true, Ordering::Relaxed);
        self.report_now.notify_one();
    }

    /// Records that a report is about to be built, which includes all that was asked for until now.
    pub(crate) fn begin_report(&self) {
        self.report_requested.store(false, Ordering::Relaxed);
    }

    /// Waits until a report is asked for that the last one does not include.
    pub(crate) async fn wait_report_requested(&self) {
        while !self.report_requested.load(Ordering::Relaxed) {
            self.report_now.notified().await;
        }
    }

    /// Records the delay of a timer of `wait_ms` that was set at `set_at` and fired now.
    pub(crate) fn record_timer(&self, set_at: ClockTime, wait_ms: u64) {
        let now = self.now();
        let delay_ms = now.since_ms(set_at.plus_ms(wait_ms));
        self.lock().delay.record_delay(delay_ms, now);
        self.metrics.timer_late_s.observe(delay_ms as f64 / 1_000.0);
    }

    /// True when a line about a request may be logged now. Logs the number of suppressed lines when there is
    /// one.
    pub(crate) fn may_log(&self) -> bool {
        let (allowed, suppressed) = self.lock().line_limiter.take(self.now());
        if let Some(count) = suppressed {
            self.metrics.lines_suppressed.inc_by(count);
            slog::warn!(self.logger, "log_lines_left_out"; "kind" => "requests", "count" => count);
        }
        allowed
    }
}
