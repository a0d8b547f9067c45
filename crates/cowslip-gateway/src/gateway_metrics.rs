//! Prometheus metrics, served as text on the metrics address.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Kind and outcome of a request or call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    /// Kind of request or call.
    pub kind: &'static str,
    /// How it ended.
    pub outcome: &'static str,
}

/// Kind of a notice that an upstream sent in a response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct NoticeLabels {
    /// `leaving` or `away` (asked for a pause).
    pub kind: &'static str,
}

/// Why a stream was cut, or something refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CutLabels {
    /// Cause as in the log line.
    pub cause: &'static str,
}

/// Why a model is loaded, or why a load has not begun.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabels {
    /// Cause as in the log line.
    pub cause: &'static str,
}

/// Place from which the weights of a model are loaded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TierLabels {
    /// `memory`, `disk` or `store`.
    pub tier: &'static str,
}

/// Priority class of a request in the admission queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ClassLabels {
    /// Number of the class; 0 is the most urgent.
    pub class: u32,
}

impl ClassLabels {
    /// Labels of a class.
    pub(crate) fn new(class: usize) -> Self {
        Self { class: u32::try_from(class).unwrap_or(u32::MAX) }
    }
}

/// Buckets of times: 1 ms to 33 s.
fn times() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}

/// Buckets of processor times: 10 µs to 0.33 s.
fn processor_times() -> Histogram {
    Histogram::new(exponential_buckets(0.000_01, 2.0, 16))
}

/// All metrics of a gateway. Label values come from fixed sets, so the number of series is bounded.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    /// Requests by kind of route and outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Sends to upstreams by kind of route and outcome.
    pub sends: Family<OutcomeLabels, Counter>,
    /// Calls to the store, by call and outcome.
    pub store_calls: Family<OutcomeLabels, Counter>,
    /// Notices in upstream responses, by kind.
    pub notices: Family<NoticeLabels, Counter>,
    /// Orders to engines, by action and answer.
    pub orders: Family<OutcomeLabels, Counter>,
    /// Singleton calls, by duty and answer.
    pub duty_calls: Family<OutcomeLabels, Counter>,
    /// Usage windows that this gateway has closed, sent, or found late, as leader.
    pub usage_windows: Family<OutcomeLabels, Counter>,
    /// Last closed usage window, as far as known.
    pub usage_closed: Gauge,
    /// Last usage window whose report was accepted, as far as known.
    pub usage_sent: Gauge,
    /// Reports to the leader, by outcome.
    pub reports: Family<OutcomeLabels, Counter>,
    /// Streams resumed at another upstream.
    pub resumes: Counter,
    /// Streams whose callers got no proper end, by cause.
    pub stream_cuts: Family<CutLabels, Counter>,
    /// Paced upstreams whose window is smaller than their slots.
    pub narrow_windows: Gauge,
    /// Sends rejected by self-paced engines that were full.
    pub full_rejections: Counter,
    /// Connections closed or refused at the limit, by listener and cause.
    pub short_connections: Family<OutcomeLabels, Counter>,
    /// Open connections of callers.
    pub caller_connections: Gauge,
    /// Bodies of requests that were not read to their end to save memory, by cause.
    pub refused_bodies: Family<CutLabels, Counter>,
    /// Bytes that bodies of requests hold.
    pub body_bytes: Gauge,
    /// Retried sends.
    pub retries: Counter,
    /// Requests without a begun answer whose upstream has ended.
    pub upstream_ends: Counter,
    /// Requests sent although one of their prompt parts is suspected.
    pub part_trials: Counter,
    /// Prompt parts that are quarantined.
    pub quarantined_parts: Gauge,
    /// Number of times that this gateway started or stopped leading.
    pub lease_changes: Counter,
    /// Writes of the lease row that were in flight when the store was restored from an older backup.
    pub lease_writes_dropped: Counter,
    /// Number of restores of the store from an older backup that this gateway has seen.
    pub era_changes: Counter,
    /// Log lines suppressed by rate limits.
    pub lines_suppressed: Counter,
    /// Failed assertions.
    pub violations: Counter,
    /// Requests that wait for an upstream.
    pub waiting: Gauge,
    /// Requests in the admission queue by class.
    pub queued: Family<ClassLabels, Gauge>,
    /// Choices among all upstreams on behalf of the admission queue.
    pub queue_picks: Counter,
    /// Requests in progress.
    pub running: Gauge,
    /// Upstreams that currently ask for no requests.
    pub paused_upstreams: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge<u64, AtomicU64>,
    /// Staleness of the view in ms; -1 when no view is known.
    pub view_age_ms: Gauge,
    /// Time to the first byte of a response in seconds.
    pub first_byte_s: Histogram,
    /// Time in seconds that requests waited for an upstream.
    pub wait_s: Histogram,
    /// Time in seconds that requests waited in the admission queue until they got a place, by class.
    pub queued_s: Family<ClassLabels, Histogram>,
    /// Duration in seconds of store calls that read a whole table; long polls are not included.
    pub store_s: Histogram,
    /// Delay in seconds with which timers of this process fire.
    pub timer_late_s: Histogram,
    /// Loads from the weight store that this gateway, as leader, has ordered and that have not ended, by cause.
    pub store_loads: Family<CauseLabels, Gauge>,
    /// Loads that requests wait for and that this gateway, as leader, has not begun, by reason.
    pub delayed_loads: Family<CauseLabels, Gauge>,
    /// Models that no open engine has a copy of, as far as this gateway knows as leader.
    pub models_without_copy: Gauge,
    /// Longest wait in seconds of a model's requests as its load began, by the place of the weights.
    pub load_wait_s: Family<TierLabels, Histogram>,
    /// Reports that this gateway has answered as leader, by kind.
    pub report_answers: Family<OutcomeLabels, Counter>,
    /// Processor time in seconds of one plan.
    pub plan_s: Histogram,
    /// Processor time in seconds of the answer to one report, without its transport.
    pub answer_s: Histogram,
    /// Processor time in seconds that the process has used.
    pub processor_s: Gauge<f64, AtomicU64>,
}

impl GatewayMetrics {
    /// Creates and registers all metrics, at zero.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("cowslip"),
            requests: Family::default(),
            sends: Family::default(),
            store_calls: Family::default(),
            notices: Family::default(),
            orders: Family::default(),
            duty_calls: Family::default(),
            usage_windows: Family::default(),
            usage_closed: Gauge::default(),
            usage_sent: Gauge::default(),
            reports: Family::default(),
            resumes: Counter::default(),
            stream_cuts: Family::default(),
            narrow_windows: Gauge::default(),
            full_rejections: Counter::default(),
            short_connections: Family::default(),
            caller_connections: Gauge::default(),
            refused_bodies: Family::default(),
            body_bytes: Gauge::default(),
            retries: Counter::default(),
            upstream_ends: Counter::default(),
            part_trials: Counter::default(),
            quarantined_parts: Gauge::default(),
            lease_changes: Counter::default(),
            lease_writes_dropped: Counter::default(),
            era_changes: Counter::default(),
            lines_suppressed: Counter::default(),
            violations: Counter::default(),
            waiting: Gauge::default(),
            queued: Family::default(),
            queue_picks: Counter::default(),
            running: Gauge::default(),
            paused_upstreams: Gauge::default(),
            config_version: Gauge::default(),
            view_age_ms: Gauge::default(),
            first_byte_s: times(),
            wait_s: times(),
            queued_s: Family::new_with_constructor(times),
            store_s: times(),
            timer_late_s: times(),
            store_loads: Family::default(),
            delayed_loads: Family::default(),
            models_without_copy: Gauge::default(),
            load_wait_s: Family::new_with_constructor(times),
            report_answers: Family::default(),
            plan_s: processor_times(),
            answer_s: processor_times(),
            processor_s: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by kind and outcome", self.requests.clone());
        registry.register("sends", "Sends to upstreams by kind and outcome", self.sends.clone());
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        registry.register("notices", "What upstreams said of themselves", self.notices.clone());
        registry.register("orders", "Orders to engines", self.orders.clone());
        registry.register("duty_calls", "Singleton calls to the cloud API", self.duty_calls.clone());
        registry.register("usage_windows", "Usage windows closed, sent and late", self.usage_windows.clone());
        registry.register("usage_last_closed", "Last usage window that is closed", self.usage_closed.clone());
        registry.register("usage_last_sent", "Last usage window that is sent", self.usage_sent.clone());
        registry.register("reports", "Reports to the leader", self.reports.clone());
        registry.register("resumes", "Streams resumed at another upstream", self.resumes.clone());
        registry.register("stream_cuts", "Streams cut, by cause", self.stream_cuts.clone());
        registry.register("full_rejections", "Sends rejected by full engines", self.full_rejections.clone());
        registry.register(
            "narrow_windows",
            "Paced upstreams whose window of calls is below their slots",
            self.narrow_windows.clone(),
        );
        registry.register(
            "short_connections",
            "Connections closed or refused at the limit",
            self.short_connections.clone(),
        );
        registry.register("caller_connections", "Connections of callers", self.caller_connections.clone());
        registry.register("refused_bodies", "Bodies not read, by cause", self.refused_bodies.clone());
        registry.register("body_bytes", "Bytes of requests in memory", self.body_bytes.clone());
        registry.register("repeats", "Sends repeated", self.retries.clone());
        registry.register(
            "upstream_ends",
            "Requests that waited at an upstream that ended",
            self.upstream_ends.clone(),
        );
        registry.register(
            "part_trials",
            "Requests sent with suspected prompt parts",
            self.part_trials.clone(),
        );
        registry.register(
            "quarantined_parts",
            "Prompt parts that are quarantined",
            self.quarantined_parts.clone(),
        );
        registry.register("lease_changes", "Changes of the leader lease", self.lease_changes.clone());
        registry.register(
            "lease_writes_dropped",
            "Writes of the lease that a return of the store from an older copy made void",
            self.lease_writes_dropped.clone(),
        );
        registry.register(
            "store_era_changes",
            "Returns of the store from an older copy",
            self.era_changes.clone(),
        );
        registry.register("log_lines_left_out", "Log lines left out", self.lines_suppressed.clone());
        registry.register("violations", "Assertions that failed", self.violations.clone());
        registry.register("waiting", "Requests that wait for an upstream", self.waiting.clone());
        registry.register("queued", "Requests in the admission queue by class", self.queued.clone());
        registry.register(
            "queue_picks",
            "Choices among all upstreams for the admission queue",
            self.queue_picks.clone(),
        );
        registry.register("upstreams_away", "Upstreams that want nothing now", self.paused_upstreams.clone());
        registry.register("running", "Requests that run", self.running.clone());
        registry.register("config_version", "Version of the configuration", self.config_version.clone());
        registry.register("view_age_milliseconds", "Age of the view", self.view_age_ms.clone());
        registry.register("first_byte_seconds", "Time to the first byte", self.first_byte_s.clone());
        registry.register("wait_seconds", "Time that requests waited", self.wait_s.clone());
        registry.register(
            "queued_seconds",
            "Time in the admission queue until a place, by class",
            self.queued_s.clone(),
        );
        registry.register("store_seconds", "Time of store calls", self.store_s.clone());
        registry.register("timer_late_seconds", "How late own timers fire", self.timer_late_s.clone());
        self.register_leader_work();
    }

    fn register_leader_work(&mut self) {
        let registry = &mut self.registry;
        registry.register("store_loads", "Loads from the weight store, by cause", self.store_loads.clone());
        registry.register(
            "delayed_loads",
            "Loads that requests wait for and that have not begun, by reason",
            self.delayed_loads.clone(),
        );
        registry.register(
            "models_without_copy",
            "Models that no open engine has a copy of",
            self.models_without_copy.clone(),
        );
        registry.register(
            "load_wait_seconds",
            "Longest wait for a load until it began, by place of the weights",
            self.load_wait_s.clone(),
        );
        registry.register("report_answers", "Reports answered as leader", self.report_answers.clone());
        registry.register("plan_seconds", "Processor time of a plan", self.plan_s.clone());
        registry.register(
            "report_answer_seconds",
            "Processor time of an answer to a report",
            self.answer_s.clone(),
        );
        registry.register(
            "processor_seconds",
            "Processor time that the process has used",
            self.processor_s.clone(),
        );
    }

    /// Counts connections that were closed or refused at the limit of a listener.
    pub(crate) fn count_connections(&self, listener: &'static str, cause: &'static str, count: u64) {
        self.short_connections.get_or_create(&OutcomeLabels { kind: listener, outcome: cause }).inc_by(count);
    }

    /// Counts a call to the store.
    pub(crate) fn count_store_call(&self, kind: &'static str, failed: bool) {
        let outcome = if failed { "failed" } else { "ok" };
        self.store_calls.get_or_create(&OutcomeLabels { kind, outcome }).inc();
    }

    /// Text exposition of all metrics; empty when encoding fails.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            // Writing to a string does not fail; should it, an empty page is better than a partial one.
            text.clear();
        }
        text
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
