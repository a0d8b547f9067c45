//! Mutable state of a gateway, which its tasks share.

use std::net::SocketAddr;

use cowslip_adapter::{GatewaySettings, StoreRow};
use cowslip_entry::{
    CrashCursor, LeaderHandover, ModelNeed, OperatorView, OutputEstimate, PaceCursor, PartQuarantine,
    PickContext, ProcessDelay, ReceivedHandover, RequestNeed, RetryThrottle, ServiceRule, StoreOutage,
    TokenQuota, UpdateCursors, UpstreamFreshness, UpstreamPick, UpstreamRegistry, UsageMeter, ViewFreshness,
    WaitCause,
};
use cowslip_units::{ClockTime, DomainId, PartId, ServiceId, TeamId, UpstreamId};
use smol_str::SmolStr;

use crate::admission_turns::AdmissionTurns;
use crate::choice_inputs::ChoiceInputs;
use crate::duty_status::LastDecision;
use crate::gateway_log::RequestLineLimiter;
use crate::leader_state::LeaderState;
use crate::load_outlook::LoadOutlook;
use crate::running_calls::RunningCalls;
use crate::waiting_requests::{WaitingRequest, WaitingRequests};

/// Shortest and longest time in ms between two reports while requests wait for loads that have not begun.
const LOAD_POLL_MS: (u64, u64) = (120, 500);

/// Time in ms for which a successful store call counts as proof that the store is reachable.
const STORE_REACHABLE_MS: u64 = 700;

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
    /// What the leader has told of loads that requests wait for.
    pub loads: LoadOutlook,
    /// Requests that wait for an upstream.
    pub waiting: WaitingRequests,
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
    pub running: RunningCalls,
    /// Usage counts; `None` where usage is not reported.
    pub usage: Option<UsageMeter>,
    /// Last decisions about subjects of singleton calls, sorted by subject.
    pub decisions: Vec<LastDecision>,
    /// Output tokens that requests are expected to have.
    pub output_estimate: OutputEstimate,
}

impl GatewayState {
    /// The state of a gateway that has just started.
    pub(crate) fn new() -> Self {
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
            loads: LoadOutlook::default(),
            waiting: WaitingRequests::default(),
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
            running: RunningCalls::default(),
            usage: None,
            decisions: Vec::new(),
            output_estimate: OutputEstimate::default(),
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

    /// True when a request waits for something that takes milliseconds: tokens or an adapter.
    pub(crate) fn has_brief_wait(&self, now: ClockTime) -> bool {
        let adapter = |waiting: &WaitingRequest| {
            let is_model_awaited = || self.loads.delay_ms(&waiting.need.model, now).is_some();
            waiting.unplaced && waiting.need.adapter.is_some() && !is_model_awaited()
        };
        self.tokens.iter().any(|tokens| tokens.short > 0) || self.waiting.all().iter().any(adapter)
    }

    /// Time in ms until the leader should be asked again about models that requests wait for and whose loads have not
    /// begun; `None` when there are none. A load is asked about before the leader expects its engine to be half way.
    pub(crate) fn unplaced_poll_ms(&self, now: ClockTime) -> Option<u64> {
        let poll_ms = |waiting: &WaitingRequest| {
            let model = &waiting.need.model;
            if !waiting.unplaced || self.loads.eta_ms(model, true, now).is_some() {
                return None;
            }
            let half_ms = self.loads.delay_ms(model, now).map_or(0, |wait_ms| wait_ms / 2);
            Some(half_ms.clamp(LOAD_POLL_MS.0, LOAD_POLL_MS.1))
        };
        self.waiting.all().iter().filter_map(poll_ms).min()
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
        self.running.begin(upstream, need);
    }

    /// Counts a call to an upstream that ended.
    pub(crate) fn end_call(&mut self, upstream: &UpstreamId, need: Option<&ModelNeed>) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.running = known.running.saturating_sub(1);
        }
        self.running.end(upstream, need);
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
