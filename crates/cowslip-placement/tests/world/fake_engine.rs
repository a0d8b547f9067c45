//! A simulated model engine, which keeps track of what it actually holds, independent of the ledger.

use std::collections::BTreeMap;

use cowslip_placement::{EngineOrder, OrderAction, OrderAnswer, UpstreamReport, WeightTier};
use cowslip_units::{FencingToken, MemorySize, ModelId, OrderId, UpstreamId};

/// State of an order id within the present boot.
#[derive(Clone, Debug, PartialEq)]
enum KnownOrder {
    Loading,
    Answered(OrderAnswer),
}

/// A load in progress.
#[derive(Clone, Debug)]
pub(crate) struct Loading {
    pub(crate) order: OrderId,
    pub(crate) name: ModelId,
    base: ModelId,
    memory: u64,
    done_at: u64,
}

/// Time, sequence and loaded names.
type PastState = (u64, u64, Vec<(ModelId, MemorySize)>);

#[derive(Clone, Debug)]
pub(crate) struct FakeEngine {
    pub(crate) upstream: UpstreamId,
    pub(crate) domain: String,
    pub(crate) size: u64,
    pub(crate) checks_fencing: bool,
    pub(crate) gone: bool,
    pub(crate) lag_ms: u64,
    pub(crate) boot: u64,
    /// Number of running requests.
    pub(crate) running: u32,
    pub(crate) loading: Vec<Loading>,
    /// Loaded models and adapters, each with its model and memory.
    pub(crate) loaded: BTreeMap<ModelId, (ModelId, u64)>,
    sequence: u64,
    fence: FencingToken,
    orders: BTreeMap<OrderId, KnownOrder>,
    /// Past states of the present boot.
    history: Vec<PastState>,
}

impl FakeEngine {
    pub(crate) fn new(at: usize, size: u64, checks_fencing: bool) -> Self {
        Self {
            upstream: UpstreamId::new(&format!("u{at:02}")).unwrap(),
            domain: format!("d{}", at % 3),
            size,
            checks_fencing,
            gone: false,
            lag_ms: 0,
            boot: 1,
            running: 0,
            loading: Vec::new(),
            loaded: BTreeMap::new(),
            sequence: 0,
            fence: FencingToken::ZERO,
            orders: BTreeMap::new(),
            history: Vec::new(),
        }
    }

    /// Memory in use, including loads in progress.
    pub(crate) fn used(&self) -> u64 {
        let loaded: u64 = self.loaded.values().map(|(_, memory)| memory).sum();
        loaded + self.loading.iter().map(|load| load.memory).sum::<u64>()
    }

    /// Processes an order; `None` if the answer follows at the end of the load.
    pub(crate) fn order(&mut self, order: &EngineOrder, refuses: bool, now: u64) -> Option<OrderAnswer> {
        if self.checks_fencing && order.fence < self.fence {
            return Some(OrderAnswer::OldFence);
        }
        self.fence = self.fence.max(order.fence);
        match self.orders.get(&order.order) {
            Some(KnownOrder::Answered(answer)) => return Some(answer.clone()),
            Some(KnownOrder::Loading) => return None,
            None => {}
        }
        let name = order.key.name.clone();
        let (base, memory, load_ms) = match &order.action {
            OrderAction::Unload => {
                self.drop_name(&name, now);
                return Some(self.answered(order, OrderAnswer::Done { sequence: self.sequence }));
            }
            OrderAction::Load { memory, load_ms } => (name.clone(), memory.mebibytes(), *load_ms),
            OrderAction::LoadAdapter { model, memory, load_ms } => {
                (model.clone(), memory.mebibytes(), *load_ms)
            }
        };
        if refuses || (base != name && !self.loaded.contains_key(&base)) {
            let reason = "weight store failed or model not loaded".to_owned();
            return Some(self.answered(order, OrderAnswer::Refused { reason }));
        }
        if self.loaded.contains_key(&name) {
            return Some(self.answered(order, OrderAnswer::Done { sequence: self.sequence }));
        }
        self.orders.insert(order.order.clone(), KnownOrder::Loading);
        let done_at = now + load_ms;
        self.loading.push(Loading { order: order.order.clone(), name, base, memory, done_at });
        None
    }

    fn answered(&mut self, order: &EngineOrder, answer: OrderAnswer) -> OrderAnswer {
        self.orders.insert(order.order.clone(), KnownOrder::Answered(answer.clone()));
        answer
    }

    /// Finishes loads that are due and returns their answers.
    pub(crate) fn advance(&mut self, now: u64) -> Vec<(OrderId, OrderAnswer)> {
        let (due, later) =
            std::mem::take(&mut self.loading).into_iter().partition(|load| load.done_at <= now);
        self.loading = later;
        let due: Vec<Loading> = due;
        let mut answers = Vec::new();
        for load in due {
            let base_there = load.base == load.name || self.loaded.contains_key(&load.base);
            let answer = if base_there {
                self.loaded.insert(load.name, (load.base, load.memory));
                self.changed(now);
                OrderAnswer::Done { sequence: self.sequence }
            } else {
                OrderAnswer::Refused { reason: "model not loaded".to_owned() }
            };
            self.orders.insert(load.order.clone(), KnownOrder::Answered(answer.clone()));
            answers.push((load.order, answer));
        }
        answers
    }

    /// Removes a model with its adapters, or an adapter.
    pub(crate) fn drop_name(&mut self, name: &ModelId, now: u64) {
        self.loaded.retain(|loaded, (base, _)| loaded != name && base != name);
        self.changed(now);
    }

    pub(crate) fn restart(&mut self, now: u64) {
        self.boot += 1;
        self.loading.clear();
        self.loaded.clear();
        self.orders.clear();
        self.history.clear();
        self.sequence = 0;
        self.changed(now);
    }

    fn changed(&mut self, now: u64) {
        self.sequence += 1;
        let list = self.loaded.iter().map(|(name, (_, memory))| (name.clone(), MemorySize::new(*memory)));
        self.history.push((now, self.sequence, list.collect()));
    }

    /// The state as it was `lag_ms` ago, limited to the present boot.
    pub(crate) fn report(&self, now: u64) -> UpstreamReport {
        let then = now.saturating_sub(self.lag_ms);
        let seen = self.history.iter().rev().find(|(at, _, _)| *at <= then);
        let (_, sequence, loaded) = seen.or(self.history.first()).cloned().unwrap_or_default();
        UpstreamReport {
            boot: format!("{}-{}", self.upstream, self.boot).into(),
            sequence,
            age_ms: self.lag_ms,
            loaded,
            running: self.running,
            queued: 0,
            memory: MemorySize::new(self.size),
            checkpoints: vec![(ModelId::new("m00").unwrap(), WeightTier::Disk)],
        }
    }
}
