//! Draws the plan of a load run from a seed.

use std::net::SocketAddr;

use cowslip_config::{FleetSheet, RouteTarget};
use cowslip_units::{ModelId, TeamId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::LoadOptions;

/// Mix of call kinds, in percent.
const CALL_MIX: [(CallKind, u32); 4] =
    [(CallKind::Draft, 78), (CallKind::Report, 4), (CallKind::Order, 6), (CallKind::Lookup, 12)];

/// Range of `max_tokens` of drafts.
const DRAFT_TOKENS: std::ops::Range<u64> = 16..96;
/// Range of `max_tokens` of reports.
const REPORT_TOKENS: std::ops::Range<u64> = 128..256;

/// Kind of a planned call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// An urgent streamed completion.
    Draft,
    /// A report, accepted durably and polled until it is done.
    Report,
    /// A non-idempotent service call, sent through two routers with the same idempotency key.
    Order,
    /// An idempotent service call.
    Lookup,
}

impl CallKind {
    /// Name in the printed report.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Draft => "draft",
            Self::Report => "report",
            Self::Order => "order",
            Self::Lookup => "lookup",
        }
    }
}

/// A team with its key and the models and services that the plan uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamTarget {
    /// The team.
    pub team: TeamId,
    /// Its API key.
    pub key: String,
    /// Models and adapters used by the plan, sorted by name; earlier ones are used more often.
    pub models: Vec<ModelId>,
    /// Models that the team may use but that only bursts use.
    pub idle_models: Vec<ModelId>,
    /// Path of a non-idempotent service route.
    pub order_path: Option<String>,
    /// Path of an idempotent service route.
    pub lookup_path: Option<String>,
}

/// A planned call.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// Number of the call, unique within the plan.
    pub number: u64,
    /// Send time in ms since the start of the run.
    pub at_ms: u64,
    /// Kind of the call.
    pub kind: CallKind,
    /// Index of its team target.
    pub target: usize,
    /// Router that the call is sent to.
    pub url: SocketAddr,
    /// Another router: orders are sent to both, reports are polled from both.
    pub other_url: SocketAddr,
    /// Model or adapter requested by a draft or report.
    pub model: Option<ModelId>,
    /// Prompt of a draft or report, or body of an order.
    pub prompt: String,
    /// Number of tokens requested.
    pub max_tokens: u64,
    /// Time in ms after which the caller disconnects; `None` when it waits for the response.
    pub leave_after_ms: Option<u64>,
}

/// All calls of a run in order of send time.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// The planned calls.
    pub calls: Vec<PlannedCall>,
}

impl TeamTarget {
    /// Derives the targets from the sheet's routes, one per team whose key is given.
    pub fn from_sheet(sheet: &FleetSheet, options: &LoadOptions) -> Vec<Self> {
        let target = |(team, key): &(TeamId, String)| {
            let mut target = Self {
                team: team.clone(),
                key: key.clone(),
                models: Vec::new(),
                idle_models: Vec::new(),
                order_path: None,
                lookup_path: None,
            };
            for route in sheet.routes.iter().filter(|route| route.teams.contains(team)) {
                match &route.target {
                    RouteTarget::Models(models) => target.models.extend(models.iter().cloned()),
                    RouteTarget::Services(_) if route.idempotent => {
                        target.lookup_path = Some(route.path.to_string())
                    }
                    RouteTarget::Services(_) => target.order_path = Some(route.path.to_string()),
                }
            }
            target.models.sort();
            target.models.dedup();
            target.spread_models(options.models);
            target
        };
        let mut targets: Vec<Self> = options.keys.iter().map(target).collect();
        // Teams may use overlapping sets of models, so a model idle for one team may be in use by another.
        let used: Vec<ModelId> = targets.iter().flat_map(|target| target.models.iter().cloned()).collect();
        for target in &mut targets {
            target.idle_models.retain(|model| !used.contains(model));
        }
        targets
    }

    /// Selects `count` models spread evenly over the sorted list, so that teams that share a route use the
    /// same models. The others become idle.
    fn spread_models(&mut self, count: usize) {
        if count == 0 || self.models.len() <= count {
            return;
        }
        let step = self.models.len() / count;
        let (used, idle): (Vec<_>, Vec<_>) =
            self.models.drain(..).enumerate().partition(|(at, _)| at % step == 0);
        self.models = used.into_iter().map(|(_, model)| model).take(count).collect();
        self.idle_models = idle.into_iter().map(|(_, model)| model).collect();
    }
}

impl LoadPlan {
    /// Draws the plan; the same options give the same plan.
    pub fn new(options: &LoadOptions, targets: &[TeamTarget]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed);
        let weights: Vec<f64> = targets.iter().map(|target| team_weight(options, target)).collect();
        let total_weight: f64 = weights.iter().sum();
        let mut plan = Self { calls: Vec::new() };
        if targets.is_empty() || options.urls.is_empty() {
            return plan;
        }
        // The hot team's surplus is added to the total rate instead of reducing the other teams' load.
        let rate = options.rate * total_weight / targets.len() as f64;
        let mut at = 0.0;
        loop {
            at += -f64::ln(1.0 - random.random::<f64>()) / rate * 1_000.0;
            if at >= options.seconds * 1_000.0 {
                break;
            }
            let target = pick_weighted(&mut random, &weights);
            let kind = pick_kind(&mut random, options, &targets[target]);
            plan.add(&mut random, options, targets, target, kind, at as u64);
        }
        for burst in 0..options.bursts {
            plan.plan_burst(&mut random, options, targets, burst);
        }
        plan.calls.sort_by_key(|call| (call.at_ms, call.number));
        plan
    }

    fn add(
        &mut self,
        random: &mut ChaCha8Rng,
        options: &LoadOptions,
        targets: &[TeamTarget],
        target: usize,
        kind: CallKind,
        at_ms: u64,
    ) {
        let number = self.calls.len() as u64;
        let first = random.random_range(0..options.urls.len());
        let second = (first + 1 + random.random_range(0..options.urls.len().max(2) - 1)) % options.urls.len();
        let models = &targets[target].models;
        let tokens = if kind == CallKind::Report { REPORT_TOKENS } else { DRAFT_TOKENS };
        let leaves = kind == CallKind::Draft && random.random::<f64>() < options.leave_share;
        self.calls.push(PlannedCall {
            number,
            at_ms,
            kind,
            target,
            url: options.urls[first],
            other_url: options.urls[second],
            model: models.get(skewed_index(random, models.len())).cloned(),
            prompt: format!("seed {} call {number}: describe the findings of the visit", options.seed),
            max_tokens: random.random_range(tokens),
            leave_after_ms: leaves.then(|| random.random_range(50..1_500)),
        });
    }

    /// Adds requests to a model that nothing else in the plan uses, at all routers within 20 ms.
    fn plan_burst(
        &mut self,
        random: &mut ChaCha8Rng,
        options: &LoadOptions,
        targets: &[TeamTarget],
        burst: u32,
    ) {
        let target = burst as usize % targets.len();
        let idle = &targets[target].idle_models;
        let Some(model) = idle.get(burst as usize % idle.len().max(1)).cloned() else {
            return;
        };
        let spacing = options.seconds * 1_000.0 / f64::from(options.bursts + 1);
        let at = (spacing * f64::from(burst + 1)) as u64;
        for index in 0..options.burst_size {
            let jitter = random.random_range(0..20);
            self.add(random, options, targets, target, CallKind::Draft, at + jitter);
            if let Some(call) = self.calls.last_mut() {
                call.model = Some(model.clone());
                call.leave_after_ms = None;
                call.url = options.urls[index as usize % options.urls.len()];
            }
        }
    }
}

fn team_weight(options: &LoadOptions, target: &TeamTarget) -> f64 {
    if options.hot_team.as_ref() == Some(&target.team) { options.hot_factor } else { 1.0 }
}

fn pick_weighted(random: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let mut left = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

fn pick_kind(random: &mut ChaCha8Rng, options: &LoadOptions, target: &TeamTarget) -> CallKind {
    if options.drafts_only {
        return CallKind::Draft;
    }
    let mut left = random.random_range(0..100);
    let drawn = CALL_MIX.iter().find(|(_, share)| {
        let found = left < *share;
        left = left.saturating_sub(*share);
        found
    });
    match drawn.map(|(kind, _)| *kind) {
        Some(CallKind::Order) if target.order_path.is_some() => CallKind::Order,
        Some(CallKind::Lookup) if target.lookup_path.is_some() => CallKind::Lookup,
        Some(CallKind::Report) => CallKind::Report,
        _ => CallKind::Draft,
    }
}

/// Draws an index with a bias to small values, so that a few models receive most of the calls.
fn skewed_index(random: &mut ChaCha8Rng, len: usize) -> usize {
    let uniform = random.random::<f64>();
    ((uniform * uniform * uniform) * len as f64) as usize
}
