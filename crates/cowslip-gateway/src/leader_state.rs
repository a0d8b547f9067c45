//! State that a gateway has only while it leads.

use std::net::SocketAddr;
use std::sync::Arc;

use cowslip_entry::{
    ArrivalLine, ClockMedian, DelayLine, DutyGate, FleetConfig, FleetPace, GatewayReport, LeaderAnswer,
    LeaderHandover, LeaderUpdates, LeaseRenewal, LoadPlanner, PaceCursor, PaceLine, QuotaAllocator,
    ReceivedHandover, RunningLine, ServiceRule, UpdateBatch, UpstreamRegistry, UsageAnswer, UsageLedger,
    UsageReport, ViewFreshness, WorkLine,
};
use cowslip_units::{ClockTime, FencingToken, ModelId, UpstreamId};
use smol_str::SmolStr;

use crate::capacity_record::is_paced;
use crate::lease_task::SMALL_FLEET;
use crate::plan_record::PlanRecord;

/// Maximum number of peer addresses in an answer.
const MAX_PEERS: usize = 8;

/// Part of an engine's KV cache from which its tokens are reported in a large fleet, where one gateway's own calls
/// fill little of the rest.
const REPORTED_KV_DIVISOR: u64 = 3;

/// Planner, quota grants and pending updates of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Fencing token of the lease.
    pub fence: FencingToken,
    /// Placement planner.
    pub planner: LoadPlanner,
    /// Token grants of all teams.
    pub grants: QuotaAllocator,
    /// Permission for singleton calls; `None` where no duty is performed.
    pub duties: Option<DutyGate>,
    /// Usage windows; `None` where usage is not reported.
    pub usage: Option<UsageLedger>,
    /// Work since the last log line about it.
    pub work: PlanRecord,
    /// Configuration whose limits apply to the grants.
    config: Option<Arc<FleetConfig>>,
    clocks: ClockMedian,
    pace: FleetPace,
    addresses: Vec<(SmolStr, SocketAddr)>,
    updates: LeaderUpdates,
}

impl LeaderState {
    /// State of a new leader, without any reports.
    pub(crate) fn new(fence: FencingToken, planner: LoadPlanner, grants: QuotaAllocator) -> Self {
        Self {
            fence,
            planner,
            grants,
            duties: None,
            usage: None,
            work: PlanRecord::default(),
            config: None,
            clocks: ClockMedian::new(),
            pace: FleetPace::default(),
            addresses: Vec::new(),
            updates: LeaderUpdates::new(),
        }
    }

    /// Adds the duties to perform.
    #[must_use]
    pub(crate) fn with_duties(mut self, duties: DutyGate, usage: Option<UsageLedger>) -> Self {
        self.duties = Some(duties);
        self.usage = usage;
        self
    }

    /// Applies the usage counts of a report and returns the answer to them.
    fn record_usage(
        &mut self,
        gateway: &SmolStr,
        report: &UsageReport,
        now: ClockTime,
    ) -> Option<UsageAnswer> {
        let ledger = self.usage.as_mut()?;
        self.clocks.record_report(gateway, report.clock, now);
        ledger.record_report(gateway, report);
        Some(UsageAnswer {
            day: self.clocks.day(self.grants.fleet(now), now),
            revision: report.revision,
            closed: ledger.last_closed(),
            sent: ledger.last_sent(),
        })
    }

    /// Records the current upstreams, adapters and members as updates for the gateways. `confirmed` holds the
    /// store version of the entries and the time up to which they are confirmed. Called with each plan, not
    /// with each report: a large fleet sends hundreds of reports a second.
    pub(crate) fn record_updates(
        &mut self,
        registry: &UpstreamRegistry,
        confirmed: Option<(u64, Option<ClockTime>)>,
        now: ClockTime,
    ) {
        let members = self.grants.members();
        self.addresses.retain(|(name, _)| members.binary_search(name).is_ok());
        if let Some((version, confirmed_at)) = confirmed {
            self.updates.record_state(members, registry, self.planner.engines(), now);
            self.updates.record_freshness(version, confirmed_at);
        }
    }

    /// Applies a report and returns the answer to it.
    pub(crate) fn answer(
        &mut self,
        report: GatewayReport,
        services: &[ServiceRule],
        view: ViewFreshness,
        lease: Option<LeaseRenewal>,
        own: SocketAddr,
        now: ClockTime,
    ) -> LeaderAnswer {
        let gateway = report.gateway.clone();
        let reads_models = report.reads_models;
        let same_term = report.term == self.fence.get();
        let brief = report.brief && same_term;
        let batch = match brief {
            true => UpdateBatch { deferred: true, ..UpdateBatch::default() },
            false => self.updates.updates_since(same_term, reads_models, report.marks),
        };
        let lines = report.demand.iter().filter(|line| line.waiting > 0);
        let mut awaited: Vec<&ModelId> = lines.clone().map(|line| &line.model).collect();
        awaited.sort_unstable();
        awaited.dedup();
        let loads = awaited.iter().flat_map(|model| self.planner.pending_loads_of(model, now));
        let arrivals: Vec<ArrivalLine> = loads.collect();
        let delay = |model: &ModelId| {
            let wait_ms = self.planner.expected_wait_ms(services, model, now)?;
            Some(DelayLine { model: model.clone(), wait_ms })
        };
        let delays = awaited.into_iter().filter_map(delay).collect();
        let places = lines
            .flat_map(|line| self.planner.places(&gateway, &line.model, line.adapter.as_ref(), now))
            .collect();
        let left = if brief { self.updates.left(report.marks) } else { Vec::new() };
        self.grants.record_contact(&gateway, now);
        if let Some(address) = report.address {
            self.addresses.retain(|(name, _)| *name != gateway);
            self.addresses.push((gateway.clone(), address));
        }
        let usage = report.usage.as_ref().and_then(|usage| self.record_usage(&gateway, usage, now));
        let grants = self.grants.grant(&report.tokens, now);
        let running = if brief { Vec::new() } else { self.running_elsewhere(&report.running, now) };
        let tokens = if brief { Vec::new() } else { self.tokens_elsewhere(&report.work, services) };
        self.pace.record(&report.work, now);
        let (paces, pace_cursor) =
            if brief { (Vec::new(), None) } else { self.pace_lines(report.pace_cursor) };
        self.planner.record_report(report, now);
        // Gateways of this build keep the peers of their last complete answer.
        let max_peers = if brief && reads_models { 0 } else { MAX_PEERS };
        let others = self.addresses.iter().rev().filter(|(name, _)| *name != gateway);
        LeaderAnswer {
            leads: true,
            term: self.fence.get(),
            leader: Some(own),
            view: self.updates.recorded_freshness(view, now),
            lease,
            peers: others.map(|(_, address)| *address).take(max_peers).collect(),
            brief,
            deferred: batch.deferred,
            fresh: batch.fresh,
            marks: batch.marks,
            upstreams: batch.upstreams,
            models: batch.models,
            adapters: batch.adapters,
            members: batch.members,
            fleet: self.grants.fleet(now) as u32,
            grants,
            rooms: if brief { Vec::new() } else { self.grants.standalone_quotas(now) },
            running,
            arrivals,
            delays,
            places,
            left,
            leaving: if brief { Vec::new() } else { self.planner.leaving() },
            usage,
            tokens,
            paces,
            pace_cursor,
            ..LeaderAnswer::default()
        }
    }

    /// Calls of the other gateways at each upstream, in a large fleet only at busy ones.
    fn running_elsewhere(&self, own: &[RunningLine], now: ClockTime) -> Vec<(UpstreamId, u32)> {
        let is_small = self.grants.fleet(now) <= SMALL_FLEET;
        let is_reported =
            |upstream: &UpstreamId, calls: u32| is_small || self.planner.is_busy(upstream, calls);
        let mut lines = self.planner.demand().running_elsewhere(own, is_reported);
        lines.retain(|(upstream, calls)| is_reported(upstream, *calls));
        lines
    }

    /// Applies the teams' limits of a configuration, if they are not applied yet.
    pub(crate) fn configure(&mut self, config: &Arc<FleetConfig>, now: ClockTime) {
        if self.config.as_ref().is_some_and(|known| Arc::ptr_eq(known, config)) {
            return;
        }
        self.grants.configure(config.teams(), now);
        self.config = Some(Arc::clone(config));
    }

    /// Takes over the present paced upstreams. Called with each plan.
    pub(crate) fn sync_pace(
        &mut self,
        registry: &UpstreamRegistry,
        services: &[ServiceRule],
        now: ClockTime,
    ) {
        self.pace.sync(registry.all().iter().filter(|known| is_paced(known, services)), now);
    }

    /// Pace lines that a gateway lacks, and its cursor after them.
    fn pace_lines(&self, known: PaceCursor) -> (Vec<PaceLine>, Option<PaceCursor>) {
        let term = self.fence.get();
        let revision = if known.term == term { known.revision } else { 0 };
        let cursor = PaceCursor { term, revision: self.pace.cursor() };
        (self.pace.lines_since(revision), Some(cursor))
    }

    /// Tokens of other gateways' calls where they are a large part of an engine's KV cache.
    fn tokens_elsewhere(&self, own: &[WorkLine], services: &[ServiceRule]) -> Vec<(UpstreamId, u64)> {
        let engines = services.iter().filter(|service| service.is_self_paced());
        let smallest =
            engines.filter_map(|service| service.engine.as_ref()).map(|engine| engine.kv_tokens).min();
        let Some(kv_tokens) = smallest else { return Vec::new() };
        let is_large = self.grants.members().len() > SMALL_FLEET;
        let min_tokens = if is_large { kv_tokens / REPORTED_KV_DIVISOR } else { 1 };
        self.planner.demand().tokens_elsewhere(own, min_tokens)
    }

    /// State for the next leader, including the orders of the last `gap_ms`.
    pub(crate) fn handover(&mut self, gap_ms: u64, now: ClockTime) -> LeaderHandover {
        LeaderHandover {
            term: self.fence.get(),
            orders: self.planner.recent_orders(gap_ms, now),
            windows: self.grants.copies(now),
            rates: self.planner.demand().rates(),
            duties: self.duties.as_ref().map(|duties| duties.handover(gap_ms, now)),
        }
    }

    /// Applies a handover if it comes from the immediate predecessor; returns whether it did.
    pub(crate) fn accept_handover(
        &mut self,
        received: &ReceivedHandover,
        gap_ms: u64,
        now: ClockTime,
    ) -> bool {
        let is_predecessor = received.is_predecessor(self.fence.get());
        if is_predecessor {
            self.grants.apply_handover(&received.handover.windows, received.at, now);
            if let (Some(gate), Some(duties)) = (self.duties.as_mut(), &received.handover.duties) {
                gate.apply_handover(duties, gap_ms, received.at);
            }
            self.planner.apply_handover(received.orders_from(gap_ms), &received.handover.rates, now);
        }
        is_predecessor
    }
}
