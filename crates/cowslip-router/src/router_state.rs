//! All mutable state of a router, guarded by one lock that is never held across an await point.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_config::FleetSheet;
use cowslip_fleet::{
    ClaimTable, FleetView, ReportTable, ReserveStep, TeamShares, UpstreamPermits, VersionTracker,
    ViewConfirmation,
};
use cowslip_messages::KeyState;
use cowslip_routing::{
    BreakerState, QueueTicket, RequestQueue, RetryBudget, TargetForecast, UpstreamSelector, WaitTarget,
};
use cowslip_units::{
    ClockTime, ErrorKind, IncarnationId, KeyDigest, ModelId, TeamId, TokenCount, UpstreamId,
};
use smol_str::SmolStr;

use crate::dispatch_interval::DispatchInterval;
use crate::dispatch_rules::{DispatchRules, route_of};
use crate::{FixedShares, PlacementIndex, RouterPolicy, RunningCalls, VmDirectory, WaitingCall};

/// Time in ms without an answer of the leader or the store after which requests for models that are not
/// loaded are rejected. It exceeds the time until a change of leader usually begins, and is shorter than most
/// deadlines.
const SILENCE_MS: u64 = 3_000;
/// Assumed time in ms until the result of a circuit breaker's probe is known.
const PROBE_MS: u64 = 500;
/// Retry time in ms reported while no upstream of a target is in service.
const NO_UPSTREAM_RETRY_MS: u64 = 2_000;

/// Mutable state of a router.
#[derive(Debug)]
pub struct RouterState {
    /// View of the fleet configuration.
    pub view: FleetView,
    /// Sheet in force in the view, parsed.
    pub sheet: Arc<FleetSheet>,
    /// Text of that sheet, for peers that fetch the view.
    pub sheet_text: Arc<str>,
    /// Confirmed freshness of the view.
    pub confirmation: ViewConfirmation,
    /// Versions of the view at the members.
    pub version_tracker: VersionTracker,
    /// Shares of the teams' token rates.
    pub shares: TeamShares,
    /// Shares of the teams' token rates under the fixed policy.
    pub fixed_shares: FixedShares,
    /// Shares of the upstreams' permits.
    pub permits: UpstreamPermits,
    /// Claims of calls that must not run twice.
    pub claims: ClaimTable,
    /// Reports owned by this router.
    pub reports: ReportTable,
    /// Queued requests.
    pub queue: RequestQueue,
    /// Dispatcher's side of each queued request.
    pub waiting: BTreeMap<QueueTicket, WaitingCall>,
    /// Number of permit borrow calls in flight, by target.
    pub borrows_in_flight: BTreeMap<WaitTarget, usize>,
    /// Observed dispatch intervals, by target.
    pub dispatch_intervals: BTreeMap<WaitTarget, DispatchInterval>,
    /// Selection of upstreams by load and latency.
    pub selector: UpstreamSelector,
    /// Budget for retries of requests that may have run.
    pub retries: RetryBudget,
    /// Index of the latest placement table.
    pub placement: PlacementIndex,
    /// Last known VM list.
    pub vms: VmDirectory,
    /// Running requests that this router can cancel.
    pub running: RunningCalls,
    /// Number of requests in flight, by model and upstream.
    pub in_flight: BTreeMap<(ModelId, UpstreamId), u32>,
    /// Number of requests since the last demand report, by model.
    pub arrival_counts: BTreeMap<ModelId, u32>,
    /// Tokens needed by requests that wait for their team's rate, by team.
    pub waiting_tokens: BTreeMap<TeamId, u64>,
    /// Time of the last answer of the leader.
    pub leader_last_contact: ClockTime,
    /// Time of the last answer of the store.
    pub store_last_contact: ClockTime,
    /// True once graceful shutdown has begun.
    pub draining: bool,
    /// True once new requests are rejected.
    pub closed: bool,
    /// Number of failed assertions since the start.
    pub violations: u64,
}

impl RouterState {
    /// Creates the state of a router that starts now.
    pub fn new(own: &IncarnationId, max_waiting: usize, seed: u64, now: ClockTime) -> Self {
        let view = FleetView::new();
        Self {
            version_tracker: VersionTracker::new(own.clone(), &view),
            view,
            sheet: Arc::default(),
            sheet_text: Arc::from(""),
            confirmation: ViewConfirmation::new(own.clone()),
            shares: TeamShares::new(own.clone()),
            fixed_shares: FixedShares::default(),
            permits: UpstreamPermits::new(own.clone()),
            claims: ClaimTable::new(own.clone()),
            reports: ReportTable::new(own.clone()),
            queue: RequestQueue::new(max_waiting),
            waiting: BTreeMap::new(),
            borrows_in_flight: BTreeMap::new(),
            dispatch_intervals: BTreeMap::new(),
            selector: UpstreamSelector::new(seed),
            retries: RetryBudget::new(now),
            placement: PlacementIndex::default(),
            vms: VmDirectory::default(),
            running: RunningCalls::default(),
            in_flight: BTreeMap::new(),
            arrival_counts: BTreeMap::new(),
            waiting_tokens: BTreeMap::new(),
            leader_last_contact: now,
            store_last_contact: now,
            draining: false,
            closed: false,
            violations: 0,
        }
    }

    /// Dispatch rules that apply at `now`.
    pub fn rules(&self, now: ClockTime) -> DispatchRules<'_> {
        DispatchRules {
            view: &self.view,
            sheet: &self.sheet,
            placement: &self.placement,
            vms: &self.vms,
            now,
        }
    }

    /// Returns the team of a valid key, or the kind of rejection.
    pub fn team_of(&self, digest: &KeyDigest) -> Result<TeamId, ErrorKind> {
        match self.view.key(digest) {
            Some(entry) if entry.state == KeyState::Given => Ok(entry.team.clone()),
            Some(_) => Err(ErrorKind::KeyWithdrawn),
            None => Err(ErrorKind::KeyUnknown),
        }
    }

    /// Reserves `amount` from the team's rate under `policy`.
    pub fn reserve(
        &mut self,
        policy: RouterPolicy,
        team: &TeamId,
        amount: TokenCount,
        now: ClockTime,
    ) -> ReserveStep {
        match (policy, self.sheet.team(team)) {
            (RouterPolicy::Shared, _) => self.shares.reserve(team, amount, now),
            (RouterPolicy::Fixed, Some(row)) => {
                self.fixed_shares.reserve(row, self.view.members().len(), amount, now)
            }
            (RouterPolicy::Fixed, None) => ReserveStep::UnknownTeam,
        }
    }

    /// Digest of the sheet in force; empty if there is none.
    pub fn sheet_digest(&self) -> SmolStr {
        self.view.sheet_ref().map(|sheet| sheet.digest.clone()).unwrap_or_default()
    }

    /// Estimates when `target` can serve queued requests.
    pub fn forecast(&self, target: &WaitTarget, now: ClockTime) -> TargetForecast {
        if !self.confirmation.can_admit(now) {
            return TargetForecast::Closed { kind: ErrorKind::ViewStale, retry_after_ms: 500 };
        }
        let rules = self.rules(now);
        let mut slots: u64 = 0;
        let mut service_ms: u64 = 0;
        let mut found: u64 = 0;
        let mut blocked_ms: Option<u64> = None;
        // A sample of upstreams keeps the cost constant as the fleet grows.
        for upstream in rules.upstreams(target).iter().filter(|id| rules.check(target, id).is_some()).take(8)
        {
            if let Some(wait_ms) = self.breaker_wait_ms(upstream, now) {
                blocked_ms = Some(blocked_ms.map_or(wait_ms, |least| least.min(wait_ms)));
                continue;
            }
            found += 1;
            slots += u64::from(self.permits.budget(upstream, now));
            service_ms += self.selector.load(upstream).map_or(500, |load| load.service_ms());
        }
        if let Some(average_ms) = service_ms.checked_div(found) {
            let by_slots = average_ms / slots.max(1);
            let observed = self.dispatch_intervals.get(target).and_then(|interval| interval.interval_ms(now));
            return TargetForecast::Open { ready_in_ms: 0, interval_ms: observed.unwrap_or(by_slots) };
        }
        if let Some(ready_in_ms) = blocked_ms {
            return TargetForecast::Open { ready_in_ms, interval_ms: 0 };
        }
        match target {
            WaitTarget::Model(model) => self.forecast_cold(model, now),
            WaitTarget::Service(_) => {
                TargetForecast::Closed { kind: ErrorKind::NoCapacity, retry_after_ms: NO_UPSTREAM_RETRY_MS }
            }
        }
    }

    /// Time in ms until the upstream's circuit breaker allows a request; `None` if it does now.
    fn breaker_wait_ms(&self, upstream: &UpstreamId, now: ClockTime) -> Option<u64> {
        let breaker = &self.selector.load(upstream)?.breaker;
        match breaker.state() {
            _ if breaker.can_send(now) => None,
            BreakerState::Open { until } => Some(until.since_ms(now)),
            BreakerState::Closed | BreakerState::HalfOpen { .. } => Some(PROBE_MS),
        }
    }

    /// True if the store has not answered for `SILENCE_MS`, so that waiting for it is pointless.
    pub fn is_store_silent(&self, now: ClockTime) -> bool {
        now.since_ms(self.store_last_contact) > SILENCE_MS
    }

    /// Forecast for a model that is not loaded on any upstream in service.
    fn forecast_cold(&self, model: &ModelId, now: ClockTime) -> TargetForecast {
        if let Some(ready_in_ms) = self.placement.ready_in_ms(model, now) {
            return TargetForecast::Open { ready_in_ms, interval_ms: 0 };
        }
        if self.is_store_silent(now) {
            // No load can be ordered while the store is down; the request would only wait until its deadline.
            return TargetForecast::Closed { kind: ErrorKind::StoreUnavailable, retry_after_ms: 2_000 };
        }
        if let Some(retry_after_ms) = self.placement.load_retry_ms(model, now) {
            return TargetForecast::Closed { kind: ErrorKind::NoCapacity, retry_after_ms };
        }
        if now.since_ms(self.leader_last_contact) > SILENCE_MS {
            return TargetForecast::Closed { kind: ErrorKind::NoCapacity, retry_after_ms: 2_000 };
        }
        TargetForecast::READY
    }

    /// Finds the route by which the team may call the model: one of its own, or else an open one.
    pub fn allowed_route(&self, team: Option<&TeamId>, model: &ModelId) -> Option<cowslip_units::RouteId> {
        use cowslip_config::RouteTarget;
        let is_allowed = |row: &&cowslip_config::RouteRow| {
            let allowed = row.open || team.is_some_and(|team| row.teams.binary_search(team).is_ok());
            matches!(&row.target, RouteTarget::Models(models) if allowed && models.binary_search(model).is_ok())
        };
        // A route of the team takes precedence over an open one, so that the team's rate is charged.
        let rows: Vec<_> = self.sheet.routes.iter().filter(is_allowed).collect();
        let own = rows.iter().find(|row| !row.open).or_else(|| rows.first())?;
        Some(own.route.clone())
    }

    /// Finds a declared route by name.
    pub fn route(&self, route: &cowslip_units::RouteId) -> Option<&cowslip_config::RouteRow> {
        route_of(&self.sheet, route)
    }
}
