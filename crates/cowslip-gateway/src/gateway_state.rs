//! Mutable state of a gateway, and the services shared by its tasks.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cowslip_adapter::{GatewaySettings, StoreClient, StoreRow};
use cowslip_entry::{
    ArrivalLine, CallerLimits, CrashCursor, DelayLine, LeaderHandover, ModelNeed, OperatorView,
    OutputEstimate, PaceCursor, PartQuarantine, PickContext, ProcessDelay, ReceivedHandover, RequestNeed,
    RetryThrottle, RunningLine, ServiceRule, StoreOutage, TokenQuota, UpdateCursors, UpstreamFreshness,
    UpstreamPick, UpstreamRegistry, UsageMeter, ViewFreshness, WaitCause,
};
use cowslip_fleet::LeaderLease;
use cowslip_runtime::{CallerConnections, ProcessClock, descriptor_limit};
use cowslip_units::{ClockTime, DomainId, ModelId, PartId, ServiceId, TeamId, UpstreamId};
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::admission_turns::AdmissionTurns;
use crate::answer_memory::AnswerMemory;
use crate::change_signal::ChangeSignal;
use crate::choice_inputs::ChoiceInputs;
use crate::duty_status::LastDecision;
use crate::gateway_log::RequestLineLimiter;
use crate::gateway_metrics::GatewayMetrics;
use crate::leader_state::LeaderState;
use crate::request_memory::RequestMemory;
use crate::upstream_pool::UpstreamPool;

/// A load that is this many ms past its expected end is overdue: it is no longer counted on, and the leader
/// is asked again.
const LATE_LOAD_MS: u64 = 150;

/// Time in ms for which the leader's estimate of a load that has not begun is used.
const DELAY_VALID_MS: u64 = 2_000;

/// Shortest and longest time in ms between two reports while requests wait for loads that have not begun.
const LOAD_POLL_MS: (u64, u64) = (120, 500);

/// Time in ms for which a successful store call counts as proof that the store is reachable.
const STORE_REACHABLE_MS: u64 = 700;

/// Connections of the readiness check, and of metrics, that are served at once: some for the platform and some for
/// operators.
const STATUS_CONNECTIONS: usize = 8;

/// A request that is waiting for an upstream.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    /// Unique id of the wait.
    pub ticket: u64,
    /// Model and adapter that it needs.
    pub need: ModelNeed,
    /// Start of the wait.
    pub since: ClockTime,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// True when no upstream holds its model.
    pub unplaced: bool,
    /// True when it takes its turn in the admission queue.
    pub is_queued: bool,
}

/// A load reported by the leader, for a model that requests are waiting for.
#[derive(Clone, Debug)]
pub(crate) struct PendingLoad {
    /// Model that is loaded.
    pub model: ModelId,
    /// Expected end of the load.
    pub at: ClockTime,
    /// True when the load has started.
    pub begun: bool,
}

/// The leader's estimate of when a model can be served whose load has not begun.
#[derive(Clone, Debug)]
pub(crate) struct LoadDelayEstimate {
    /// Model that requests wait for.
    pub model: ModelId,
    /// Expected end of the load.
    pub at: ClockTime,
    /// End of the time for which the estimate is used.
    pub until: ClockTime,
}

/// Number of requests for a model since the last report.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalCount {
    /// Model and adapter.
    pub need: ModelNeed,
    pub count: u32,
}

/// Quota of a team at this gateway.
#[derive(Clone, Debug)]
pub(crate) struct TeamTokens {
    pub team: TeamId,
    /// Tokens available to requests, by grants and by the standalone share.
    pub quota: TokenQuota,
    /// Tokens that waiting requests lack.
    pub short: u64,
    /// The team is out of tokens until then, according to the leader.
    pub rejected_until: ClockTime,
    /// The team's quota is low until then; only urgent or small requests are served.
    pub low_quota_until: ClockTime,
}

/// State of a gateway, guarded by one mutex.
#[derive(Debug)]
pub(crate) struct GatewayState {
    /// View of the operators' table.
    pub view: OperatorView,
    /// Evacuated failure domains, sorted.
    pub evacuated: Vec<DomainId>,
    /// All known upstreams.
    pub upstreams: UpstreamRegistry,
    /// Store version of the known upstream entries.
    pub upstream_version: u64,
    /// True once upstream entries have been received from the store or a peer.
    pub upstreams_known: bool,
    /// Raw rows of the operators' table, kept to be copied to other gateways.
    pub operator_rows: Vec<StoreRow>,
    /// True while entries come from the store itself; only these include the weight locations that the leader
    /// needs.
    pub upstreams_from_store: bool,
    /// Epoch of the leader whose updates were last applied.
    pub term: u64,
    /// Cursor into the updates of that leader.
    pub cursors: UpdateCursors,
    /// Confirmed freshness of the upstream entries.
    pub upstream_freshness: UpstreamFreshness,
    /// True when the leader has a change of the operators' table that is missing here.
    pub view_outdated: bool,
    /// Time of the last failed store call.
    pub store_failed_at: Option<ClockTime>,
    /// Tracks persistent store failures.
    pub store_outage: StoreOutage,
    /// Tracks how late timers of this process fire.
    pub delay: ProcessDelay,
    /// Names of all gateways, sorted.
    pub members: Vec<SmolStr>,
    /// Fleet size reported by the lease row or a leader; `None` before that.
    pub reported_fleet_size: Option<usize>,
    /// Addresses of other gateways.
    pub peers: Vec<SocketAddr>,
    /// Address of the leader; `None` when unknown.
    pub leader: Option<SocketAddr>,
    /// Send time of the last report that a leader answered; `None` before the first answer.
    pub last_leader_contact: Option<ClockTime>,
    /// Time at which the last leader reported that it no longer leads; `None` while a leader answers.
    pub leader_lost_at: Option<ClockTime>,
    /// Version and renewal time of the lease row, as reported by the leader.
    pub leader_renewal: Option<(u64, ClockTime)>,
    /// Loads reported by the leader, running or planned.
    pub pending_loads: Vec<PendingLoad>,
    /// The leader's estimates for loads that have not begun.
    pub load_delays: Vec<LoadDelayEstimate>,
    /// Requests that wait for an upstream.
    pub waiting: Vec<WaitingRequest>,
    /// The admission queue, in which requests wait for services that have it.
    pub admission: AdmissionTurns,
    /// Quotas by team, sorted.
    pub tokens: Vec<TeamTokens>,
    /// Retry budgets by service, sorted.
    pub retries: Vec<(ServiceId, RetryThrottle)>,
    /// Leader state; `None` unless this gateway leads.
    pub lead: Option<LeaderState>,
    /// True when this gateway has resigned as leader and has not released the lease yet.
    pub resigned: bool,
    /// Send time of the last successful store call made while the leader's renewal was overdue.
    pub store_reached_at: Option<ClockTime>,
    /// Time of the last store call made to test whether the store is reachable.
    pub probed_at: Option<ClockTime>,
    /// Handover of this gateway's last term as leader, and when the term ended.
    pub outgoing_handover: Option<(LeaderHandover, ClockTime)>,
    /// Handover received from the last leader; only gateways that may lead get one.
    pub received_handover: Option<ReceivedHandover>,
    /// Time of the termination signal; `None` while the process is not shutting down.
    pub stopping_at: Option<ClockTime>,
    /// Number of requests in progress.
    pub active: u32,
    /// Rate limit on log lines about requests.
    pub line_limiter: RequestLineLimiter,
    /// Crashes of upstreams and the prompt parts that are suspected of them.
    pub quarantine: PartQuarantine,
    /// Cursor in the leader's crash log.
    pub crash_cursor: CrashCursor,
    /// Cursor in the leader's pace lines.
    pub pace_cursor: PaceCursor,
    /// Prompt parts that are quarantined, as last logged.
    pub quarantined_parts: Vec<PartId>,
    /// Requests by model since the last report.
    pub arrived: Vec<ArrivalCount>,
    /// Calls in flight, by upstream, model and adapter.
    pub running: Vec<RunningLine>,
    /// Usage counts; `None` where usage is not reported.
    pub usage: Option<UsageMeter>,
    /// Last decisions about subjects of singleton calls, sorted by subject.
    pub decisions: Vec<LastDecision>,
    /// Output tokens that requests are expected to have.
    pub output_estimate: OutputEstimate,
    next_ticket: u64,
}

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

impl GatewayState {
    fn new() -> Self {
        Self {
            view: OperatorView::new(),
            evacuated: Vec::new(),
            upstreams: UpstreamRegistry::new(),
            upstream_version: 0,
            upstreams_known: false,
            operator_rows: Vec::new(),
            upstreams_from_store: false,
            term: 0,
            cursors: UpdateCursors::default(),
            upstream_freshness: UpstreamFreshness::default(),
            view_outdated: false,
            store_failed_at: None,
            store_outage: StoreOutage::default(),
            delay: ProcessDelay::default(),
            members: Vec::new(),
            reported_fleet_size: None,
            peers: Vec::new(),
            leader: None,
            last_leader_contact: None,
            leader_lost_at: None,
            leader_renewal: None,
            pending_loads: Vec::new(),
            load_delays: Vec::new(),
            waiting: Vec::new(),
            admission: AdmissionTurns::default(),
            tokens: Vec::new(),
            retries: Vec::new(),
            lead: None,
            resigned: false,
            store_reached_at: None,
            probed_at: None,
            outgoing_handover: None,
            received_handover: None,
            stopping_at: None,
            active: 0,
            line_limiter: RequestLineLimiter::default(),
            quarantine: PartQuarantine::new(),
            crash_cursor: CrashCursor::default(),
            pace_cursor: PaceCursor::default(),
            quarantined_parts: Vec::new(),
            arrived: Vec::new(),
            running: Vec::new(),
            usage: None,
            decisions: Vec::new(),
            output_estimate: OutputEstimate::default(),
            next_ticket: 0,
        }
    }

    /// Version and staleness of the view.
    pub(crate) fn freshness(&self, now: ClockTime) -> ViewFreshness {
        ViewFreshness {
            version: self.view.version(),
            changed: self.view.changed(),
            age_ms: self.view.age_ms(now),
            upstream_version: self.upstream_version,
            upstream_age_ms: self.upstream_freshness.confirmed_at().map(|at| now.since_ms(at)),
        }
    }

    /// Version of the configuration in force; `None` before the first one.
    pub(crate) fn config_version(&self) -> Option<u64> {
        self.view.config().map(|config| config.version())
    }

    /// True when the store recently answered this gateway while the leader's renewal was overdue.
    pub(crate) fn can_reach_store(&self, now: ClockTime) -> bool {
        self.store_reached_at.is_some_and(|at| now.since_ms(at) < STORE_REACHABLE_MS)
    }

    /// Picks an upstream for a request.
    pub(crate) fn pick(
        &self,
        settings: &GatewaySettings,
        service: &ServiceRule,
        need: &RequestNeed,
        tried: &[UpstreamId],
        now: ClockTime,
    ) -> UpstreamPick {
        if !self.upstream_freshness.is_usable(settings.drain_ms, now) {
            return UpstreamPick::Wait(WaitCause::Unproven);
        }
        self.upstreams.pick(need, &self.pick_context(settings, service, tried), now)
    }

    fn pick_context<'a>(
        &'a self,
        settings: &'a GatewaySettings,
        service: &'a ServiceRule,
        tried: &'a [UpstreamId],
    ) -> PickContext<'a> {
        PickContext {
            service,
            domain: &settings.domain,
            evacuated: &self.evacuated,
            regions: &settings.regions,
            tried,
            own_name: &settings.name,
            members: &self.members,
            slow_start_limit: settings.slow_start_limit,
        }
    }

    /// What a choice of the upstream relies on now.
    pub(crate) fn choice_inputs(
        &self,
        settings: &GatewaySettings,
        service: &ServiceRule,
        need: &RequestNeed,
        upstream: &UpstreamId,
        now: ClockTime,
    ) -> ChoiceInputs {
        let context = self.pick_context(settings, service, &[]);
        let expected_ms = self.upstreams.expected_ms(upstream, need, &context, now);
        ChoiceInputs {
            upstream_calls: self.upstreams.newest_total(upstream),
            load_age_ms: self
                .upstreams
                .get(upstream)
                .and_then(|known| known.work.load())
                .map(|(_, at)| now.since_ms(at)),
            expected_ms: expected_ms.map(|expected_ms| expected_ms as u64),
        }
    }

    /// Counts a request for a model, for the next report.
    pub(crate) fn record_arrival(&mut self, need: &ModelNeed) {
        match self.arrived.iter_mut().find(|known| known.need == *need) {
            Some(known) => known.count += 1,
            None => self.arrived.push(ArrivalCount { need: need.clone(), count: 1 }),
        }
    }

    /// Registers a waiting request and returns its ticket.
    pub(crate) fn register_wait(
        &mut self,
        need: ModelNeed,
        priority: u8,
        is_queued: bool,
        now: ClockTime,
    ) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.waiting.push(WaitingRequest { ticket, need, since: now, priority, unplaced: false, is_queued });
        ticket
    }

    /// Records whether no upstream holds the model of a waiting request. Returns true when it has just become
    /// unplaced, so that the leader should get a report.
    pub(crate) fn set_unplaced(&mut self, ticket: u64, unplaced: bool) -> bool {
        let waiting = self.waiting.iter_mut().find(|waiting| waiting.ticket == ticket);
        waiting.is_some_and(|waiting| {
            let newly_unplaced = unplaced && !waiting.unplaced;
            waiting.unplaced = unplaced;
            newly_unplaced
        })
    }

    pub(crate) fn end_wait(&mut self, ticket: u64) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// True when a request waits for something that takes milliseconds: tokens or an adapter.
    pub(crate) fn has_brief_wait(&self, now: ClockTime) -> bool {
        let adapter = |waiting: &WaitingRequest| {
            let is_model_awaited = || self.load_delay_ms(&waiting.need.model, now).is_some();
            waiting.unplaced && waiting.need.adapter.is_some() && !is_model_awaited()
        };
        self.tokens.iter().any(|tokens| tokens.short > 0) || self.waiting.iter().any(adapter)
    }

    /// Time in ms until the leader should be asked again about models that requests wait for and whose loads have not
    /// begun; `None` when there are none. A load is asked about before the leader expects its engine to be half way.
    pub(crate) fn unplaced_poll_ms(&self, now: ClockTime) -> Option<u64> {
        let poll_ms = |waiting: &WaitingRequest| {
            let model = &waiting.need.model;
            if !waiting.unplaced || self.load_eta_ms(model, true, now).is_some() {
                return None;
            }
            let half_ms = self.load_delay_ms(model, now).map_or(0, |wait_ms| wait_ms / 2);
            Some(half_ms.clamp(LOAD_POLL_MS.0, LOAD_POLL_MS.1))
        };
        self.waiting.iter().filter_map(poll_ms).min()
    }

    /// Time in ms until a model can be served whose load has not begun, as the leader last estimated; `None` without a
    /// recent estimate.
    pub(crate) fn load_delay_ms(&self, model: &ModelId, now: ClockTime) -> Option<u64> {
        let line = self.load_delays.iter().find(|line| line.model == *model && now < line.until)?;
        Some(line.at.since_ms(now))
    }

    /// Applies the leader's estimates.
    pub(crate) fn set_load_delays(&mut self, lines: Vec<DelayLine>, now: ClockTime) {
        let is_placed = |model: &ModelId| self.pending_loads.iter().any(|load| load.model == *model);
        self.load_delays.retain(|known| {
            now < known.until
                && !is_placed(&known.model)
                && !lines.iter().any(|line| line.model == known.model)
        });
        self.load_delays.extend(lines.into_iter().map(|line| LoadDelayEstimate {
            model: line.model,
            at: now.plus_ms(line.wait_ms),
            until: now.plus_ms(DELAY_VALID_MS),
        }));
    }

    /// Time in ms until a load of the model reported by the leader ends; with `begun`, only loads that have
    /// started count. Overdue loads are ignored.
    pub(crate) fn load_eta_ms(&self, model: &ModelId, begun: bool, now: ClockTime) -> Option<u64> {
        let lines = self.pending_loads.iter().filter(|line| line.model == *model && (line.begun || !begun));
        let current = lines.filter(|line| now < line.at.plus_ms(LATE_LOAD_MS));
        current.map(|line| line.at.since_ms(now)).min()
    }

    /// Replaces the loads reported by the leader.
    pub(crate) fn set_pending_loads(&mut self, lines: Vec<ArrivalLine>, now: ClockTime) {
        let pending_load = |line: ArrivalLine| PendingLoad {
            model: line.model,
            at: now.plus_ms(line.wait_ms),
            begun: line.begun,
        };
        self.pending_loads = lines.into_iter().map(pending_load).collect();
    }

    /// Records that the leader reported at `now` that it no longer leads. Ignored while this gateway leads.
    pub(crate) fn record_leader_lost(&mut self, now: ClockTime) {
        if self.lead.is_none() {
            self.leader_lost_at = self.leader_lost_at.or(Some(now));
        }
    }

    /// Counts a call to an upstream that starts.
    pub(crate) fn begin_call(&mut self, upstream: &UpstreamId, need: Option<&ModelNeed>) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.running += 1;
        }
        let model = need.map(|need| need.model.clone());
        let adapter = need.and_then(|need| need.adapter.clone());
        match self.running_line(upstream, model.as_ref(), adapter.as_ref()) {
            Some(line) => line.count += 1,
            None => {
                self.running.push(RunningLine { upstream: upstream.clone(), model, adapter, count: 1 });
            }
        }
    }

    /// Counts a call to an upstream that ended.
    pub(crate) fn end_call(&mut self, upstream: &UpstreamId, need: Option<&ModelNeed>) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.running = known.running.saturating_sub(1);
        }
        let model = need.map(|need| &need.model);
        let adapter = need.and_then(|need| need.adapter.as_ref());
        if let Some(line) = self.running_line(upstream, model, adapter) {
            line.count = line.count.saturating_sub(1);
        }
        self.running.retain(|line| line.count > 0);
    }

    fn running_line(
        &mut self,
        upstream: &UpstreamId,
        model: Option<&ModelId>,
        adapter: Option<&SmolStr>,
    ) -> Option<&mut RunningLine> {
        self.running.iter_mut().find(|line| {
            line.upstream == *upstream && line.model.as_ref() == model && line.adapter.as_ref() == adapter
        })
    }

    /// Quota of a team, created on first use.
    pub(crate) fn team_tokens(&mut self, team: &TeamId, now: ClockTime) -> &mut TeamTokens {
        let at = match self.tokens.binary_search_by(|tokens| tokens.team.cmp(team)) {
            Ok(at) => at,
            Err(at) => {
                let tokens = TeamTokens {
                    team: team.clone(),
                    quota: TokenQuota::new(now),
                    short: 0,
                    rejected_until: ClockTime::ZERO,
                    low_quota_until: ClockTime::ZERO,
                };
                self.tokens.insert(at, tokens);
                at
            }
        };
        &mut self.tokens[at]
    }

    /// Retry budget of a service, created on first use.
    pub(crate) fn retry_throttle(&mut self, service: &ServiceId, now: ClockTime) -> &mut RetryThrottle {
        let at = match self.retries.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                self.retries.insert(at, (service.clone(), RetryThrottle::new(now)));
                at
            }
        };
        &mut self.retries[at].1
    }
}
