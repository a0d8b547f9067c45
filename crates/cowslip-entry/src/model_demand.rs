//! Demand by model, summed over the reports of all gateways.

use cowslip_units::{ClockTime, ModelId, UpstreamId};
use smol_str::SmolStr;

use crate::leader_handover::MAX_RATES;
use crate::{GatewayReport, ModelNeed, ModelRate, RunningLine, WorkLine, silent_after_ms};

/// Time constant in ms for smoothing rates.
const SMOOTH_MS: f64 = 5_000.0;

/// Rate in requests a second from which a model's rate is handed over; the rates of rarer models are measured
/// again soon enough.
const MIN_HANDED_OVER_PER_S: f64 = 0.3;

/// Time in ms after which a gateway's last report is stale in a small fleet, so that its waiting and running
/// requests are no longer counted. Gateways of a large fleet report less often.
const STALE_MS: u64 = 1_500;

/// Time in ms for which the calls of a silent gateway are assumed to be still running: it may be relaying
/// long streams, and a model that they use must not be evicted meanwhile.
const SILENT_CALLS_RETENTION_MS: u64 = 20_000;

/// Demand for one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// Model that the requests name.
    pub model: ModelId,
    /// Requests a second, smoothed.
    pub per_s: f64,
    /// Number of requests that wait for it.
    pub waiting: u32,
    /// Number of calls in flight.
    pub running: u32,
    /// Best priority among the waiting requests; 0 is the highest.
    pub priority: u8,
    /// Longest wait in ms among the waiting requests.
    pub oldest_ms: u64,
    /// Time of the last report with a request for it.
    pub asked_at: ClockTime,
    /// Number of calls in flight, smoothed.
    pub smooth_running: f64,
}

/// Requests that wait for one adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterDemand {
    /// Adapter and its model.
    pub need: ModelNeed,
    /// Longest wait in ms among them.
    pub oldest_ms: u64,
}

#[derive(Clone, Debug, PartialEq)]
struct ReceivedReport {
    gateway: SmolStr,
    at: ClockTime,
    report: GatewayReport,
}

/// Demand for all models.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandTable {
    models: Vec<ModelDemand>,
    adapters: Vec<(ModelNeed, ClockTime)>,
    reports: Vec<ReceivedReport>,
    /// Calls in flight by upstream, model and adapter, summed over fresh reports; sorted.
    running: Vec<RunningLine>,
    /// Calls in flight by upstream, summed over fresh reports; sorted.
    calls: Vec<(UpstreamId, u32)>,
    /// Calls in flight by upstream, model and adapter, summed over the last reports of silent gateways; sorted.
    silent_running: Vec<RunningLine>,
    /// Tokens of the calls in flight, by upstream, sorted.
    tokens: Vec<(UpstreamId, u64)>,
    smoothed_at: ClockTime,
    /// Age in ms from which a report is stale.
    stale_ms: u64,
}

impl DemandTable {
    /// A table without demand.
    pub fn new(now: ClockTime) -> Self {
        Self { smoothed_at: now, ..Self::default() }
    }

    /// Adds a gateway's report.
    pub fn record_report(&mut self, report: GatewayReport, now: ClockTime) {
        for line in &report.demand {
            let demand = self.entry(&line.model, now);
            demand.per_s += f64::from(line.arrived) * 1_000.0 / SMOOTH_MS;
            if line.arrived + line.waiting > 0 {
                demand.asked_at = now;
            }
            if line.adapter.is_some() {
                self.record_adapter_demand(
                    ModelNeed { model: line.model.clone(), adapter: line.adapter.clone() },
                    now,
                );
            }
        }
        let at = self.reports.binary_search_by(|received| received.gateway.cmp(&report.gateway));
        let mut received = ReceivedReport { gateway: report.gateway.clone(), at: now, report };
        match at {
            Ok(at) => {
                if let Some(place) = self.reports.get_mut(at) {
                    if received.report.brief {
                        received.report.running = std::mem::take(&mut place.report.running);
                        received.report.work = std::mem::take(&mut place.report.work);
                    }
                    *place = received;
                }
            }
            Err(at) => self.reports.insert(at, received),
        }
    }

    fn record_adapter_demand(&mut self, need: ModelNeed, now: ClockTime) {
        match self.adapters.binary_search_by(|(known, _)| known.cmp(&need)) {
            Ok(at) => {
                if let Some(known) = self.adapters.get_mut(at) {
                    known.1 = now;
                }
            }
            Err(at) => self.adapters.insert(at, (need, now)),
        }
    }

    fn entry(&mut self, model: &ModelId, now: ClockTime) -> &mut ModelDemand {
        let at = match self.models.binary_search_by(|demand| demand.model.cmp(model)) {
            Ok(at) => at,
            Err(at) => {
                self.models.insert(at, ModelDemand::new(model.clone(), now));
                at
            }
        };
        &mut self.models[at]
    }

    /// Applies rates that another leader handed over, where they exceed the present ones.
    pub fn apply_rates(&mut self, rates: &[ModelRate], now: ClockTime) {
        for rate in rates {
            let demand = self.entry(&rate.model, now);
            demand.per_s = demand.per_s.max(rate.per_s);
        }
    }

    /// Rates of the busiest models, for a handover.
    pub fn rates(&self) -> Vec<ModelRate> {
        let busy = self.models.iter().filter(|demand| demand.per_s >= MIN_HANDED_OVER_PER_S);
        let rate = |demand: &ModelDemand| ModelRate { model: demand.model.clone(), per_s: demand.per_s };
        let mut rates: Vec<ModelRate> = busy.map(rate).collect();
        rates.sort_by(|left, right| right.per_s.total_cmp(&left.per_s));
        rates.truncate(MAX_RATES);
        rates
    }

    /// Sums the reports up; must be called before each decision.
    pub fn refresh(&mut self, now: ClockTime) {
        self.reports.retain(|received| now.since_ms(received.at) < SILENT_CALLS_RETENTION_MS);
        let stale_ms = STALE_MS.max(silent_after_ms(self.reports.len()));
        let elapsed_ms = now.since_ms(self.smoothed_at) as f64;
        self.smoothed_at = now;
        let keep = (-elapsed_ms / SMOOTH_MS).exp();
        for demand in &mut self.models {
            demand.per_s *= keep;
            demand.waiting = 0;
            demand.running = 0;
            demand.priority = u8::MAX;
            demand.oldest_ms = 0;
        }
        let reports = std::mem::take(&mut self.reports);
        let (fresh, stale): (Vec<&ReceivedReport>, Vec<&ReceivedReport>) =
            reports.iter().partition(|received| now.since_ms(received.at) < stale_ms);
        for received in &fresh {
            let age_ms = now.since_ms(received.at);
            for line in &received.report.demand {
                let demand = self.entry(&line.model, now);
                if line.waiting > 0 {
                    demand.waiting += line.waiting;
                    demand.priority = demand.priority.min(line.priority);
                    demand.oldest_ms = demand.oldest_ms.max(line.oldest_ms + age_ms);
                }
            }
            for line in &received.report.running {
                if let Some(model) = &line.model {
                    self.entry(model, now).running += line.count;
                }
            }
        }
        self.running = sum_running(&fresh);
        self.calls = sum_calls(&self.running);
        self.tokens = sum_tokens(&fresh);
        self.silent_running = sum_running(&stale);
        self.stale_ms = stale_ms;
        self.reports = reports;
        for demand in &mut self.models {
            demand.smooth_running = demand.smooth_running * keep + f64::from(demand.running) * (1.0 - keep);
        }
    }

    /// Demand for all models, sorted by name.
    pub fn models(&self) -> &[ModelDemand] {
        &self.models
    }

    /// Demand for one model; `None` when it was never requested.
    pub fn get(&self, model: &ModelId) -> Option<&ModelDemand> {
        let at = self.models.binary_search_by(|demand| demand.model.cmp(model)).ok()?;
        self.models.get(at)
    }

    /// Time of the last request for an adapter; zero when there was none.
    pub fn adapter_asked_at(&self, need: &ModelNeed) -> ClockTime {
        let at = self.adapters.binary_search_by(|(known, _)| known.cmp(need));
        at.ok().and_then(|at| self.adapters.get(at)).map_or(ClockTime::ZERO, |(_, asked)| *asked)
    }

    /// Adapters that requests wait for, the longest wait first.
    pub fn waiting_adapters(&self, now: ClockTime) -> Vec<AdapterDemand> {
        let mut waiting: Vec<AdapterDemand> = Vec::new();
        for received in self.reports.iter().filter(|received| now.since_ms(received.at) < self.stale_ms) {
            let age_ms = now.since_ms(received.at);
            let lines =
                received.report.demand.iter().filter(|line| line.waiting > 0 && line.adapter.is_some());
            for line in lines {
                let need = ModelNeed { model: line.model.clone(), adapter: line.adapter.clone() };
                let oldest_ms = line.oldest_ms + age_ms;
                match waiting.iter_mut().find(|known| known.need == need) {
                    Some(known) => known.oldest_ms = known.oldest_ms.max(oldest_ms),
                    None => waiting.push(AdapterDemand { need, oldest_ms }),
                }
            }
        }
        waiting.sort_by_key(|known| std::cmp::Reverse(known.oldest_ms));
        waiting
    }

    /// Calls of the fleet, silent gateways included, in flight at an upstream for a model or an adapter of
    /// it.
    pub fn running_at(&self, upstream: &UpstreamId, model: &ModelId, adapter: Option<&SmolStr>) -> u32 {
        let count = |lines: &[RunningLine]| count_at(lines, upstream, model, adapter);
        count(&self.running) + count(&self.silent_running)
    }

    /// Calls of the fleet in flight at an upstream.
    pub fn calls_at(&self, upstream: &UpstreamId) -> u32 {
        let found = self.calls.binary_search_by(|(known, _)| known.cmp(upstream)).ok();
        found.and_then(|at| self.calls.get(at)).map_or(0, |(_, count)| *count)
    }

    /// Calls in flight at an upstream according to a gateway's last full report.
    pub fn calls_of(&self, gateway: &str, upstream: &UpstreamId) -> u32 {
        let at = self.reports.binary_search_by(|received| received.gateway.as_str().cmp(gateway));
        let received = at.ok().and_then(|at| self.reports.get(at));
        let lines = received.into_iter().flat_map(|received| &received.report.running);
        lines.filter(|line| line.upstream == *upstream).map(|line| line.count).sum()
    }

    /// Tokens of the fleet's calls at each upstream without those in `own`, where they are at least `min_tokens`.
    pub fn tokens_elsewhere(&self, own: &[WorkLine], min_tokens: u64) -> Vec<(UpstreamId, u64)> {
        let own_tokens = |upstream: &UpstreamId| {
            own.iter().find(|line| line.upstream == *upstream).map_or(0, |line| line.tokens)
        };
        let others = self.tokens.iter().filter(|(_, tokens)| *tokens >= min_tokens);
        others
            .map(|(upstream, tokens)| (upstream.clone(), tokens.saturating_sub(own_tokens(upstream))))
            .collect()
    }

    /// Calls of the fleet in flight at each upstream without those in `own`, as of the last
    /// [`refresh`](Self::refresh), where `is_reported` holds for the calls with those in `own`.
    pub fn running_elsewhere(
        &self,
        own: &[RunningLine],
        is_reported: impl Fn(&UpstreamId, u32) -> bool,
    ) -> Vec<(UpstreamId, u32)> {
        let reported = self.calls.iter().filter(|(upstream, count)| is_reported(upstream, *count));
        let mut lines: Vec<(UpstreamId, u32)> = reported.cloned().collect();
        for line in own {
            if let Ok(at) = lines.binary_search_by(|(upstream, _)| upstream.cmp(&line.upstream)) {
                lines[at].1 = lines[at].1.saturating_sub(line.count);
            }
        }
        lines.retain(|(_, count)| *count > 0);
        lines
    }
}

/// Sums the tokens of all reports by upstream.
fn sum_tokens(reports: &[&ReceivedReport]) -> Vec<(UpstreamId, u64)> {
    let lines = reports.iter().flat_map(|received| &received.report.work);
    let mut tokens: Vec<(UpstreamId, u64)> = lines.map(|line| (line.upstream.clone(), line.tokens)).collect();
    tokens.sort_by(|left, right| left.0.cmp(&right.0));
    tokens.dedup_by(|next, kept| {
        let same = next.0 == kept.0;
        if same {
            kept.1 = kept.1.saturating_add(next.1);
        }
        same
    });
    tokens
}

/// Sums sorted lines by upstream.
fn sum_calls(lines: &[RunningLine]) -> Vec<(UpstreamId, u32)> {
    let mut calls: Vec<(UpstreamId, u32)> = Vec::new();
    for line in lines {
        match calls.last_mut() {
            Some((upstream, count)) if *upstream == line.upstream => *count += line.count,
            _ => calls.push((line.upstream.clone(), line.count)),
        }
    }
    calls
}

/// Sums the calls of sorted lines for a model, or an adapter of it, at an upstream.
fn count_at(lines: &[RunningLine], upstream: &UpstreamId, model: &ModelId, adapter: Option<&SmolStr>) -> u32 {
    let before = |line: &RunningLine| (&line.upstream, line.model.as_ref()) < (upstream, Some(model));
    let first = lines.partition_point(before);
    let of_model = lines
        .get(first..)
        .unwrap_or_default()
        .iter()
        .take_while(|line| line.upstream == *upstream && line.model.as_ref() == Some(model));
    of_model.filter(|line| adapter.is_none() || line.adapter.as_ref() == adapter).map(|line| line.count).sum()
}

/// Sums the lines of all reports by upstream, model and adapter.
fn sum_running(reports: &[&ReceivedReport]) -> Vec<RunningLine> {
    let mut lines: Vec<RunningLine> =
        reports.iter().flat_map(|received| received.report.running.iter().cloned()).collect();
    lines.sort_by(|left, right| {
        let by_upstream = left.upstream.cmp(&right.upstream);
        by_upstream.then_with(|| left.model.cmp(&right.model)).then_with(|| left.adapter.cmp(&right.adapter))
    });
    lines.dedup_by(|next, kept| {
        let same = next.upstream == kept.upstream && next.model == kept.model && next.adapter == kept.adapter;
        if same {
            kept.count += next.count;
        }
        same
    });
    lines
}

impl ModelDemand {
    fn new(model: ModelId, now: ClockTime) -> Self {
        Self {
            model,
            per_s: 0.0,
            waiting: 0,
            running: 0,
            priority: u8::MAX,
            oldest_ms: 0,
            asked_at: now,
            smooth_running: 0.0,
        }
    }
}
