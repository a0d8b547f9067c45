//! What a gateway knows and does at the moment, and the services around it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cowslip_adapter::{NodeSettings, StoreClient, StoreRow};
use cowslip_entry::{
    ArrivalLine, LeaderHandover, ModelNeed, OperatorView, PickContext, ProcessDelay, ReceivedHandover,
    RequestNeed, RetryThrottle, RunningLine, ServiceRule, StoreOutage, TokenQuota, UpdateCursors,
    UpstreamFreshness, UpstreamPick, UpstreamRegistry, ViewFreshness, WaitCause,
};
use cowslip_fleet::LeaderLease;
use cowslip_runtime::ProcessClock;
use cowslip_units::{ClockTime, DomainId, ModelId, ServiceId, TeamId, UpstreamId};
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::gateway_log::LineBudget;
use crate::gateway_metrics::GatewayMetrics;
use crate::leader_state::LeaderState;
use crate::upstream_pool::UpstreamPool;

/// Time in ms beyond its expected end from which a load is late, so that the leader is asked again.
const LATE_LOAD_MS: u64 = 150;

/// Time in ms for which an answer of the store tells that it can be reached.
const REACHED_MS: u64 = 700;

/// A request that waits for an upstream.
#[derive(Clone, Debug)]
pub(crate) struct WaitingNeed {
    /// Tells waiting requests apart.
    pub ticket: u64,
    /// What it needs.
    pub need: ModelNeed,
    /// Since when it waits.
    pub since: ClockTime,
    /// Its rank.
    pub priority: u8,
    /// True when no upstream holds what it needs.
    pub unplaced: bool,
}

/// A model that is being loaded for requests that wait here, as the leader said.
#[derive(Clone, Debug)]
pub(crate) struct ComingModel {
    /// The model.
    pub model: ModelId,
    /// When it can serve.
    pub at: ClockTime,
    /// True when its load has begun.
    pub begun: bool,
}

/// Requests of a model since the last report.
#[derive(Clone, Debug)]
pub(crate) struct ArrivedCount {
    /// What they need.
    pub need: ModelNeed,
    /// How many.
    pub count: u32,
}

/// Tokens that requests of a team lack at the moment.
#[derive(Clone, Debug)]
pub(crate) struct TeamTokens {
    /// The team.
    pub team: TeamId,
    /// Its tokens.
    pub purse: TokenQuota,
    /// Tokens that waiting requests lack.
    pub short: u64,
    /// Until when the leader believes the team to be out of tokens.
    pub refused_until: ClockTime,
    /// Until when few tokens are left, so that only urgent or small requests get them.
    pub tight_until: ClockTime,
}

/// What a gateway knows.
#[derive(Debug)]
pub(crate) struct GatewayState {
    /// The operators' table.
    pub view: OperatorView,
    /// Domains that are evacuated, sorted.
    pub evacuated: Vec<DomainId>,
    /// Upstreams.
    pub book: UpstreamRegistry,
    /// Store version up to which the upstreams' table is known.
    pub upstream_version: u64,
    /// True once the upstreams' table was read.
    pub upstreams_known: bool,
    /// Rows of the operators' table as they are in the store, for other gateways.
    pub operator_rows: Vec<StoreRow>,
    /// True while the upstreams are known from the store itself, with all that the leader needs.
    pub upstreams_full: bool,
    /// The leader whose news are known, and up to where.
    pub term: u64,
    /// Up to where its news are known.
    pub marks: UpdateCursors,
    /// How fresh the knowledge of upstreams is.
    pub upstream_freshness: UpstreamFreshness,
    /// True when the leader knows a change of the operators' table that is not known here.
    pub behind: bool,
    /// When a store call last failed.
    pub store_failed_at: Option<ClockTime>,
    /// Whether calls failed for long.
    pub store_outage: StoreOutage,
    /// How late this process runs.
    pub delay: ProcessDelay,
    /// Names of all gateways, sorted.
    pub members: Vec<SmolStr>,
    /// Size of the fleet as the lease row or a leader said; `None` before either did.
    pub fleet: Option<usize>,
    /// Addresses of other gateways.
    pub peers: Vec<SocketAddr>,
    /// The leader, as far as is known.
    pub leader: Option<SocketAddr>,
    /// When a leader last answered: the send time of the report.
    pub leader_heard_at: Option<ClockTime>,
    /// When the leader that was heard last said that it leads no longer.
    pub leader_lost_at: Option<ClockTime>,
    /// Version of the lease row and when it was renewed, as the leader told.
    pub lease_told: Option<(u64, ClockTime)>,
    /// Models that are being loaded, or are going to be.
    pub coming: Vec<ComingModel>,
    /// Requests that wait.
    pub waiting: Vec<WaitingNeed>,
    /// Tokens of the teams.
    pub tokens: Vec<TeamTokens>,
    /// Budgets of repeated sends.
    pub repeats: Vec<(ServiceId, RetryThrottle)>,
    /// Leader duties, while this gateway leads.
    pub lead: Option<LeaderState>,
    /// True when this gateway has ended its duties as the leader and still holds the lease.
    pub resigned: bool,
    /// Send time of the last call that the store answered while the leader's renewal was overdue.
    pub store_reached_at: Option<ClockTime>,
    /// When the store was last called to find out whether it answers.
    pub probed_at: Option<ClockTime>,
    /// What this gateway hands over as the last leader that it was, and when it stopped.
    pub given: Option<(LeaderHandover, ClockTime)>,
    /// What the last leader handed over to those that may lead next.
    pub received: Option<ReceivedHandover>,
    /// When the termination signal came.
    pub stopping_at: Option<ClockTime>,
    /// Requests in progress.
    pub active: u32,
    /// Log lines of this second.
    pub lines: LineBudget,
    /// Requests by model since the last report.
    pub arrived: Vec<ArrivedCount>,
    /// Running calls of this gateway.
    pub running: Vec<RunningLine>,
    next_ticket: u64,
}

/// A gateway: its state and the services around it.
#[derive(Debug)]
pub(crate) struct Gateway {
    /// Settings.
    pub settings: NodeSettings,
    /// The clock.
    pub clock: ProcessClock,
    /// When the process started.
    pub started_at: ClockTime,
    /// The logger.
    pub logger: Logger,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// The store.
    pub store: StoreClient,
    /// Connections to upstreams.
    pub pool: UpstreamPool,
    /// Wakes requests that wait.
    pub changed: Notify,
    /// Wakes the report to the leader.
    pub report_now: Notify,
    /// Wakes the loops that follow the store.
    pub follow_now: Notify,
    /// Wakes the leader's duties.
    pub lead_now: Notify,
    /// True when connections of callers are to be closed.
    pub closing: watch::Sender<bool>,
    /// The lease as it was last looked at; its holder checks it at the moment of each order.
    pub lease: Mutex<Option<LeaderLease>>,
    state: Mutex<GatewayState>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub(crate) fn new(settings: NodeSettings, clock: ProcessClock, logger: Logger) -> Arc<Self> {
        let store = StoreClient::new(settings.store);
        Arc::new(Self {
            settings,
            clock,
            started_at: clock.now(),
            logger,
            metrics: GatewayMetrics::new(),
            store,
            pool: UpstreamPool::new(clock),
            changed: Notify::new(),
            report_now: Notify::new(),
            follow_now: Notify::new(),
            lead_now: Notify::new(),
            closing: watch::Sender::new(false),
            lease: Mutex::new(None),
            state: Mutex::new(GatewayState::new()),
        })
    }

    /// The state. Never held across a wait.
    pub(crate) fn lock(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The present point.
    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Takes note that a timer of `wait_ms` that was set at `set_at` fired now.
    pub(crate) fn note_timer(&self, set_at: ClockTime, wait_ms: u64) {
        let now = self.now();
        let late_ms = now.since_ms(set_at.plus_ms(wait_ms));
        self.lock().delay.note(late_ms, now);
        self.metrics.timer_late_s.observe(late_ms as f64 / 1_000.0);
    }

    /// True when a line about a request may be logged now.
    pub(crate) fn may_log(&self) -> bool {
        let (allowed, left_out) = self.lock().lines.take(self.now());
        if let Some(count) = left_out {
            self.metrics.lines_left_out.inc_by(count);
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
            book: UpstreamRegistry::new(),
            upstream_version: 0,
            upstreams_known: false,
            operator_rows: Vec::new(),
            upstreams_full: false,
            term: 0,
            marks: UpdateCursors::default(),
            upstream_freshness: UpstreamFreshness::default(),
            behind: false,
            store_failed_at: None,
            store_outage: StoreOutage::default(),
            delay: ProcessDelay::default(),
            members: Vec::new(),
            fleet: None,
            peers: Vec::new(),
            leader: None,
            leader_heard_at: None,
            leader_lost_at: None,
            lease_told: None,
            coming: Vec::new(),
            waiting: Vec::new(),
            tokens: Vec::new(),
            repeats: Vec::new(),
            lead: None,
            resigned: false,
            store_reached_at: None,
            probed_at: None,
            given: None,
            received: None,
            stopping_at: None,
            active: 0,
            lines: LineBudget::default(),
            arrived: Vec::new(),
            running: Vec::new(),
            next_ticket: 0,
        }
    }

    /// How fresh the view is.
    pub(crate) fn stamp(&self, now: ClockTime) -> ViewFreshness {
        ViewFreshness {
            version: self.view.version(),
            changed: self.view.changed(),
            age_ms: self.view.age_ms(now),
            upstream_version: self.upstream_version,
            upstream_age_ms: self.upstream_freshness.confirmed_at().map(|at| now.since_ms(at)),
        }
    }

    /// True when the store has just answered, while the leader's renewal of its lease was overdue.
    pub(crate) fn reaches_store(&self, now: ClockTime) -> bool {
        self.store_reached_at.is_some_and(|at| now.since_ms(at) < REACHED_MS)
    }

    /// Chooses an upstream for a request.
    pub(crate) fn pick(
        &self,
        settings: &NodeSettings,
        service: &ServiceRule,
        need: &RequestNeed,
        tried: &[UpstreamId],
        now: ClockTime,
    ) -> UpstreamPick {
        if !self.upstream_freshness.allows(settings.drain_ms, now) {
            return UpstreamPick::Wait(WaitCause::Unproven);
        }
        let scope = PickContext {
            service,
            domain: &settings.domain,
            evacuated: &self.evacuated,
            regions: &settings.regions,
            tried,
            own: &settings.name,
            members: &self.members,
            cold: settings.cold,
        };
        self.book.pick(need, &scope, now)
    }

    /// A request arrived that needs a model.
    pub(crate) fn arrived(&mut self, need: &ModelNeed) {
        match self.arrived.iter_mut().find(|known| known.need == *need) {
            Some(known) => known.count += 1,
            None => self.arrived.push(ArrivedCount { need: need.clone(), count: 1 }),
        }
    }

    /// A request begins to wait; returns its ticket.
    pub(crate) fn begin_wait(&mut self, need: ModelNeed, priority: u8, now: ClockTime) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.waiting.push(WaitingNeed { ticket, need, since: now, priority, unplaced: false });
        ticket
    }

    /// A waiting request found that no upstream holds what it needs, or that one does; true when that is news that
    /// the leader should hear.
    pub(crate) fn set_unplaced(&mut self, ticket: u64, unplaced: bool) -> bool {
        let waiting = self.waiting.iter_mut().find(|waiting| waiting.ticket == ticket);
        waiting.is_some_and(|waiting| {
            let news = unplaced && !waiting.unplaced;
            waiting.unplaced = unplaced;
            news
        })
    }

    /// A request no longer waits.
    pub(crate) fn end_wait(&mut self, ticket: u64) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// True when a request waits for something that takes milliseconds: tokens, or an adapter.
    pub(crate) fn waits_briefly(&self) -> bool {
        let adapter = |waiting: &WaitingNeed| waiting.unplaced && waiting.need.adapter.is_some();
        self.tokens.iter().any(|tokens| tokens.short > 0) || self.waiting.iter().any(adapter)
    }

    /// True when a request waits for a model that no upstream holds, and the leader has not said when one will.
    pub(crate) fn has_unplaced(&self, now: ClockTime) -> bool {
        let comes = |model: &ModelId| self.coming_ms(model, true, now).is_some();
        self.waiting.iter().any(|waiting| waiting.unplaced && !comes(&waiting.need.model))
    }

    /// Time in ms until a model is held somewhere, as far as the leader said; with `begun`, only loads that have begun
    /// count. A load that is late tells nothing.
    pub(crate) fn coming_ms(&self, model: &ModelId, begun: bool, now: ClockTime) -> Option<u64> {
        let lines = self.coming.iter().filter(|line| line.model == *model && (line.begun || !begun));
        let due = lines.filter(|line| now < line.at.plus_ms(LATE_LOAD_MS));
        due.map(|line| line.at.since_ms(now)).min()
    }

    /// Takes the leader's word on loads.
    pub(crate) fn told_arrivals(&mut self, lines: Vec<ArrivalLine>, now: ClockTime) {
        let coming = |line: ArrivalLine| ComingModel {
            model: line.model,
            at: now.plus_ms(line.wait_ms),
            begun: line.begun,
        };
        self.coming = lines.into_iter().map(coming).collect();
    }

    /// The leader said at `now` that it leads no longer.
    pub(crate) fn leader_gone(&mut self, now: ClockTime) {
        if self.lead.is_none() {
            self.leader_lost_at = self.leader_lost_at.or(Some(now));
        }
    }

    /// A call to an upstream begins.
    pub(crate) fn begin_call(&mut self, upstream: &UpstreamId, need: Option<&ModelNeed>) {
        if let Some(known) = self.book.get_mut(upstream) {
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

    /// A call to an upstream ended.
    pub(crate) fn end_call(&mut self, upstream: &UpstreamId, need: Option<&ModelNeed>) {
        if let Some(known) = self.book.get_mut(upstream) {
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

    /// The tokens of a team.
    pub(crate) fn team_tokens(&mut self, team: &TeamId, now: ClockTime) -> &mut TeamTokens {
        let at = match self.tokens.binary_search_by(|tokens| tokens.team.cmp(team)) {
            Ok(at) => at,
            Err(at) => {
                let tokens = TeamTokens {
                    team: team.clone(),
                    purse: TokenQuota::new(now),
                    short: 0,
                    refused_until: ClockTime::ZERO,
                    tight_until: ClockTime::ZERO,
                };
                self.tokens.insert(at, tokens);
                at
            }
        };
        &mut self.tokens[at]
    }

    /// The budget of repeated sends to a service.
    pub(crate) fn retry_throttle(&mut self, service: &ServiceId, now: ClockTime) -> &mut RetryThrottle {
        let at = match self.repeats.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                self.repeats.insert(at, (service.clone(), RetryThrottle::new(now)));
                at
            }
        };
        &mut self.repeats[at].1
    }
}
