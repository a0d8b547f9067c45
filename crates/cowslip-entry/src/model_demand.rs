//! How much each model is asked for, summed over the gateways' reports.

use cowslip_units::{ClockTime, ModelId, UpstreamId};
use smol_str::SmolStr;

use crate::leader_handover::MAX_RATES;
use crate::{GatewayReport, ModelNeed, ModelRate, RunningLine, heard_ms};

/// Time in ms over which rates are smoothed.
const SMOOTH_MS: f64 = 5_000.0;

/// Rate a second from which a model's is told to another leader; those of rare models are known as soon.
const LEAST_TOLD_PER_S: f64 = 0.3;

/// Time in ms after which a gateway's last report no longer tells what waits and what runs, in a small fleet. Gateways
/// of a large one report more seldom.
const STALE_MS: u64 = 1_500;

/// Time in ms for which the calls of a silent gateway are taken to run on: it may relay streams for as long as they last,
/// and a model that it uses must not make way meanwhile.
const SILENT_CALLS_MS: u64 = 20_000;

/// Demand for one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelId,
    /// Requests a second, smoothed.
    pub per_s: f64,
    /// Requests that wait for it.
    pub waiting: u32,
    /// Calls that run.
    pub running: u32,
    /// Best rank among those that wait.
    pub priority: u8,
    /// Longest wait in ms.
    pub oldest_ms: u64,
    /// When it was last asked for.
    pub asked_at: ClockTime,
    /// Calls that run, smoothed.
    pub smooth_running: f64,
}

/// Requests that wait for an adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterDemand {
    /// The adapter.
    pub need: ModelNeed,
    /// Longest wait in ms.
    pub oldest_ms: u64,
}

#[derive(Clone, Debug, PartialEq)]
struct HeardReport {
    gateway: SmolStr,
    at: ClockTime,
    report: GatewayReport,
}

/// Demand for all models.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandTable {
    models: Vec<ModelDemand>,
    adapters: Vec<(ModelNeed, ClockTime)>,
    reports: Vec<HeardReport>,
    /// Running calls by upstream, model and adapter, summed over the reports; sorted.
    running: Vec<RunningLine>,
    /// The same for the calls of gateways that have been silent since they told them.
    silent: Vec<RunningLine>,
    smoothed_at: ClockTime,
    /// Age in ms from which a report is stale.
    stale_ms: u64,
}

impl DemandTable {
    /// No demand.
    pub fn new(now: ClockTime) -> Self {
        Self { smoothed_at: now, ..Self::default() }
    }

    /// Takes a gateway's report.
    pub fn heard(&mut self, report: GatewayReport, now: ClockTime) {
        for line in &report.demand {
            let demand = self.entry(&line.model, now);
            demand.per_s += f64::from(line.arrived) * 1_000.0 / SMOOTH_MS;
            if line.arrived + line.waiting > 0 {
                demand.asked_at = now;
            }
            if line.adapter.is_some() {
                self.asked_adapter(
                    ModelNeed { model: line.model.clone(), adapter: line.adapter.clone() },
                    now,
                );
            }
        }
        let at = self.reports.binary_search_by(|heard| heard.gateway.cmp(&report.gateway));
        let mut heard = HeardReport { gateway: report.gateway.clone(), at: now, report };
        match at {
            Ok(at) => {
                if let Some(place) = self.reports.get_mut(at) {
                    if heard.report.brief {
                        heard.report.running = std::mem::take(&mut place.report.running);
                    }
                    *place = heard;
                }
            }
            Err(at) => self.reports.insert(at, heard),
        }
    }

    fn asked_adapter(&mut self, need: ModelNeed, now: ClockTime) {
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

    /// Takes the rates that another leader told, where none is known here yet.
    pub fn take_rates(&mut self, rates: &[ModelRate], now: ClockTime) {
        for rate in rates {
            let demand = self.entry(&rate.model, now);
            demand.per_s = demand.per_s.max(rate.per_s);
        }
    }

    /// The rates of the busiest models.
    pub fn rates(&self) -> Vec<ModelRate> {
        let busy = self.models.iter().filter(|demand| demand.per_s >= LEAST_TOLD_PER_S);
        let rate = |demand: &ModelDemand| ModelRate { model: demand.model.clone(), per_s: demand.per_s };
        let mut rates: Vec<ModelRate> = busy.map(rate).collect();
        rates.sort_by(|left, right| right.per_s.total_cmp(&left.per_s));
        rates.truncate(MAX_RATES);
        rates
    }

    /// Sums the reports up; call it before each decision.
    pub fn refresh(&mut self, now: ClockTime) {
        self.reports.retain(|heard| now.since_ms(heard.at) < SILENT_CALLS_MS);
        let stale_ms = STALE_MS.max(heard_ms(self.reports.len()));
        let elapsed = now.since_ms(self.smoothed_at) as f64;
        self.smoothed_at = now;
        let keep = (-elapsed / SMOOTH_MS).exp();
        for demand in &mut self.models {
            demand.per_s *= keep;
            demand.waiting = 0;
            demand.running = 0;
            demand.priority = u8::MAX;
            demand.oldest_ms = 0;
        }
        let reports = std::mem::take(&mut self.reports);
        let (fresh, stale): (Vec<&HeardReport>, Vec<&HeardReport>) =
            reports.iter().partition(|heard| now.since_ms(heard.at) < stale_ms);
        for heard in &fresh {
            let age = now.since_ms(heard.at);
            for line in &heard.report.demand {
                let demand = self.entry(&line.model, now);
                if line.waiting > 0 {
                    demand.waiting += line.waiting;
                    demand.priority = demand.priority.min(line.priority);
                    demand.oldest_ms = demand.oldest_ms.max(line.oldest_ms + age);
                }
            }
            for line in &heard.report.running {
                if let Some(model) = &line.model {
                    self.entry(model, now).running += line.count;
                }
            }
        }
        self.running = sum_running(&fresh);
        self.silent = sum_running(&stale);
        self.stale_ms = stale_ms;
        self.reports = reports;
        for demand in &mut self.models {
            demand.smooth_running = demand.smooth_running * keep + f64::from(demand.running) * (1.0 - keep);
        }
    }

    /// All models asked for, sorted by name.
    pub fn models(&self) -> &[ModelDemand] {
        &self.models
    }

    /// The demand for a model.
    pub fn get(&self, model: &ModelId) -> Option<&ModelDemand> {
        let at = self.models.binary_search_by(|demand| demand.model.cmp(model)).ok()?;
        self.models.get(at)
    }

    /// When an adapter was last asked for.
    pub fn adapter_asked_at(&self, need: &ModelNeed) -> ClockTime {
        let at = self.adapters.binary_search_by(|(known, _)| known.cmp(need));
        at.ok().and_then(|at| self.adapters.get(at)).map_or(ClockTime::ZERO, |(_, asked)| *asked)
    }

    /// Adapters that requests wait for, the longest wait first.
    pub fn waiting_adapters(&self, now: ClockTime) -> Vec<AdapterDemand> {
        let mut waiting: Vec<AdapterDemand> = Vec::new();
        for heard in self.reports.iter().filter(|heard| now.since_ms(heard.at) < self.stale_ms) {
            let age = now.since_ms(heard.at);
            let lines = heard.report.demand.iter().filter(|line| line.waiting > 0 && line.adapter.is_some());
            for line in lines {
                let need = ModelNeed { model: line.model.clone(), adapter: line.adapter.clone() };
                let oldest_ms = line.oldest_ms + age;
                match waiting.iter_mut().find(|known| known.need == need) {
                    Some(known) => known.oldest_ms = known.oldest_ms.max(oldest_ms),
                    None => waiting.push(AdapterDemand { need, oldest_ms }),
                }
            }
        }
        waiting.sort_by_key(|known| std::cmp::Reverse(known.oldest_ms));
        waiting
    }

    /// Calls of the fleet for a model, or an adapter of it, at an upstream, those of silent gateways included.
    pub fn running_at(&self, upstream: &UpstreamId, model: &ModelId, adapter: Option<&SmolStr>) -> u32 {
        let count = |lines: &[RunningLine]| count_at(lines, upstream, model, adapter);
        count(&self.running) + count(&self.silent)
    }

    /// Calls of the fleet at an upstream.
    pub fn calls_at(&self, upstream: &UpstreamId) -> u32 {
        let first = self.running.partition_point(|line| line.upstream < *upstream);
        let lines = self.running.get(first..).unwrap_or_default().iter();
        lines.take_while(|line| line.upstream == *upstream).map(|line| line.count).sum()
    }

    /// Calls at an upstream that a gateway told with its last full report.
    pub fn calls_of(&self, gateway: &str, upstream: &UpstreamId) -> u32 {
        let at = self.reports.binary_search_by(|heard| heard.gateway.as_str().cmp(gateway));
        let heard = at.ok().and_then(|at| self.reports.get(at));
        let lines = heard.into_iter().flat_map(|heard| &heard.report.running);
        lines.filter(|line| line.upstream == *upstream).map(|line| line.count).sum()
    }

    /// Calls of the fleet at each upstream but for `own` ones, as of the last [`refresh`](Self::refresh).
    pub fn running_elsewhere(&self, own: &[RunningLine]) -> Vec<(UpstreamId, u32)> {
        let mut lines: Vec<(UpstreamId, u32)> = Vec::new();
        for line in &self.running {
            match lines.last_mut() {
                Some((upstream, count)) if *upstream == line.upstream => *count += line.count,
                _ => lines.push((line.upstream.clone(), line.count)),
            }
        }
        for line in own {
            if let Ok(at) = lines.binary_search_by(|(upstream, _)| upstream.cmp(&line.upstream)) {
                lines[at].1 = lines[at].1.saturating_sub(line.count);
            }
        }
        lines.retain(|(_, count)| *count > 0);
        lines
    }
}

/// Calls of sorted lines for a model, or an adapter of it, at an upstream.
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

/// Sums equal lines of reports.
fn sum_running(reports: &[&HeardReport]) -> Vec<RunningLine> {
    let mut lines: Vec<RunningLine> =
        reports.iter().flat_map(|heard| heard.report.running.iter().cloned()).collect();
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
