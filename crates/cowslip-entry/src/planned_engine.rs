//! One engine as the leader plans with it.

use cowslip_units::{ClockTime, ModelId};
use smol_str::SmolStr;

use crate::model_answer::DOUBT_MS;
use crate::{EngineAction, EngineRule, EngineStatus, HeldModel, ModelRule, UpstreamEntry};

/// Where a model's weights lie for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightTier {
    /// In its host memory.
    Memory,
    /// On its disk.
    Disk,
    /// In the weight store only.
    Store,
}

/// How far a change of an engine's models has come.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TaskStage {
    /// The next order is to be sent at the given time.
    Send(ClockTime),
    /// An order was sent.
    Sent(EngineAction),
    /// The engine loads; it should be done by the given time.
    Loading(ClockTime),
}

/// A change of an engine's models: models make way, then one is loaded.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineTask {
    pub(crate) model: ModelId,
    pub(crate) tier: WeightTier,
    pub(crate) victims: Vec<ModelId>,
    pub(crate) stage: TaskStage,
    pub(crate) started_at: ClockTime,
    pub(crate) conflicts: u32,
}

/// One engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedEngine {
    /// Its entry, with what orders have changed since.
    pub entry: UpstreamEntry,
    /// Orders that it has accepted since its start.
    pub orders: u64,
    /// When each held model was loaded, for those that the leader loaded.
    pub(crate) loaded_at: Vec<(ModelId, ClockTime)>,
    pub(crate) task: Option<EngineTask>,
    /// Adapter order that was sent.
    pub(crate) adapter_sent: Option<EngineAction>,
    pub(crate) next_adapter_at: ClockTime,
    /// When its status must be asked for; `None` when it is known.
    pub(crate) ask_at: Option<ClockTime>,
    pub(crate) asking: bool,
    /// When a load that was taken as done is to be confirmed; meanwhile the engine gets orders.
    confirm_at: Option<ClockTime>,
    confirming: bool,
    /// True once its status was read by this leader.
    pub(crate) known: bool,
    /// Models as the entry last listed them.
    entry_models: Vec<HeldModel>,
    /// False once an order may have changed what lies in the host memory since the entry told it.
    memory_known: bool,
    /// Adapters on their way, with the time at which they should be there.
    pub(crate) pending: Vec<(ModelId, SmolStr, ClockTime)>,
    /// When it was last sent an order.
    pub(crate) ordered_at: Option<ClockTime>,
    /// It gets no order before this time: it may have got one of another VM.
    pub(crate) orders_from: ClockTime,
    /// True while it gets no orders, because it leaves or its domain is evacuated.
    pub(crate) closed: bool,
}

impl PlannedEngine {
    pub(crate) fn new(entry: UpstreamEntry, now: ClockTime) -> Self {
        Self {
            entry,
            orders: 0,
            loaded_at: Vec::new(),
            task: None,
            adapter_sent: None,
            next_adapter_at: ClockTime::ZERO,
            ask_at: Some(now),
            asking: false,
            confirm_at: None,
            confirming: false,
            known: false,
            entry_models: Vec::new(),
            memory_known: true,
            pending: Vec::new(),
            ordered_at: None,
            orders_from: ClockTime::ZERO,
            closed: false,
        }
    }

    /// Sets the time from which it may get orders.
    #[must_use]
    pub(crate) fn with_orders_from(mut self, orders_from: ClockTime) -> Self {
        self.orders_from = orders_from;
        self
    }

    /// Takes a newer entry; a new start begins anew.
    pub(crate) fn update(&mut self, entry: &UpstreamEntry, now: ClockTime) {
        if entry.born != self.entry.born || entry.address != self.entry.address {
            let (ordered_at, orders_from) = (self.ordered_at, self.orders_from);
            *self = Self { ordered_at, orders_from, ..Self::new(entry.clone(), now) };
            return;
        }
        self.entry.draining = entry.draining;
        self.entry.cold_left_ms = entry.cold_left_ms;
        if self.entry.in_memory != entry.in_memory {
            self.entry.in_memory.clone_from(&entry.in_memory);
            self.memory_known = true;
        }
        self.entry.on_disk.clone_from(&entry.on_disk);
        // An entry does not tell which orders it includes, and may be older than the last status. A list that differs
        // from what is known is a reason to ask.
        let news = entry.models != self.entry_models;
        if news {
            self.entry_models.clone_from(&entry.models);
        }
        let waits = match &self.task {
            None => true,
            Some(task) => {
                matches!(task.stage, TaskStage::Loading(_)) && holds(&self.entry_models, &task.model)
            }
        };
        if news && waits && self.known && !same_models(&self.entry_models, &self.entry.models) {
            self.ask_at = self.ask_at.or(Some(now));
        }
    }

    /// Ends the change under way if its model is held.
    fn finish_load(&mut self, now: ClockTime) {
        let Some(model) = self.task.as_ref().map(|task| task.model.clone()) else { return };
        if self.entry.holds(&model) {
            self.task = None;
            self.loaded_at.retain(|(known, _)| *known != model);
            self.loaded_at.push((model, now));
        }
    }

    /// Takes a load from the host memory or the disk as done at its expected end: those take as long as is known, and an
    /// engine that is still busy refuses the next order. What it says of itself is older than that by some hundred ms.
    pub(crate) fn expect_load(&mut self, now: ClockTime) {
        let due = self.task.as_ref().is_some_and(|task| {
            let over = matches!(task.stage, TaskStage::Loading(until) if now >= until.plus_ms(LOAD_END_MS));
            over && task.tier != WeightTier::Store
        });
        if let Some(task) = self.task.take_if(|_| due) {
            if !self.entry.holds(&task.model) {
                self.entry.models.push(HeldModel { name: task.model.clone(), adapters: Vec::new() });
            }
            self.loaded_at.retain(|(known, _)| *known != task.model);
            self.loaded_at.push((task.model, now));
            self.confirm_at = Some(now.plus_ms(CONFIRM_MS));
        }
    }

    /// True when the engine is to be asked now, for what is unknown or to confirm what is expected.
    pub(crate) fn begin_asking(&mut self, now: ClockTime) -> bool {
        if self.asking || self.confirming {
            return false;
        }
        if self.ask_at.is_some_and(|at| now >= at) {
            self.asking = true;
        } else if self.confirm_at.is_some_and(|at| now >= at) {
            self.confirming = true;
        }
        self.asking || self.confirming
    }

    /// The engine did not say anything.
    pub(crate) fn silent(&mut self, now: ClockTime) {
        if std::mem::take(&mut self.confirming) {
            self.confirm_at = Some(now.plus_ms(CONFIRM_MS));
        } else {
            self.asking = false;
            self.ask_at = Some(now.plus_ms(DOUBT_MS));
        }
    }

    /// Takes the engine's own status.
    pub(crate) fn status(&mut self, status: EngineStatus, now: ClockTime) {
        if std::mem::take(&mut self.confirming) && !self.confirms(&status, now) {
            return;
        }
        self.asking = false;
        if status.born != self.entry.born || status.orders < self.orders {
            // Older than the last accepted order, or another start whose entry is yet to come.
            self.ask_at = Some(now.plus_ms(STATUS_RETRY_MS));
            return;
        }
        self.known = true;
        self.ask_at = None;
        self.orders = status.orders;
        self.entry.models = status.models;
        self.finish_load(now);
        self.pending = status.pending.into_iter().map(|(model, name)| (model, name, now)).collect();
        if status.busy {
            // What is carried out may be an order of an earlier leader, and is not listed yet: nothing is sent before a
            // status that lists it.
            let waits = matches!(self.task, Some(EngineTask { stage: TaskStage::Send(_), .. }));
            self.ask_at = Some(now.plus_ms(if waits { STATUS_RETRY_MS } else { BUSY_RETRY_MS }));
            return;
        }
        match self.task.as_mut() {
            Some(task) if matches!(task.stage, TaskStage::Loading(_)) => self.task = None,
            Some(task) if task.conflicts >= MAX_CONFLICTS => self.task = None,
            Some(task) if matches!(task.stage, TaskStage::Send(_)) => task.stage = TaskStage::Send(now),
            _ => {}
        }
    }

    /// True when a status that was to confirm a load is of after it, and tells whether it is there.
    fn confirms(&mut self, status: &EngineStatus, now: ClockTime) -> bool {
        let recent = status.born == self.entry.born && status.orders >= self.orders && !status.busy;
        let changes = matches!(&self.task, Some(EngineTask { stage: TaskStage::Sent(_), .. }));
        self.confirm_at = (!recent || changes).then(|| now.plus_ms(CONFIRM_MS));
        recent && !changes
    }

    /// Adapters held and on their way.
    pub fn adapter_count(&self) -> usize {
        self.entry.models.iter().map(|held| held.adapters.len()).sum::<usize>() + self.pending.len()
    }

    /// Memory in MB that is taken, including what may still come of a load under way.
    pub fn used_mb(&self, rule: &EngineRule) -> f64 {
        let size = |model: &ModelId| rule.model(model).map_or(rule.memory_mb, |model| model.size_mb);
        let adapters = |held: &HeldModel| {
            rule.model(&held.name).map_or(0.0, |model| model.adapter_mb * held.adapters.len() as f64)
        };
        let held: f64 = self.entry.models.iter().map(|held| size(&held.name) + adapters(held)).sum();
        let coming: f64 = self
            .pending
            .iter()
            .map(|(model, ..)| rule.model(model).map_or(0.0, |model| model.adapter_mb))
            .sum();
        held + coming
    }

    /// An order changes what the engine holds, and with it what stays in its host memory.
    pub(crate) fn changes_memory(&mut self) {
        self.memory_known = false;
    }

    /// Where a model's weights lie. What lay in the host memory before the last order may have made way, and lies on the
    /// disk then.
    pub fn tier(&self, model: &ModelId) -> WeightTier {
        let in_memory = self.entry.in_memory.contains(model);
        if in_memory && self.memory_known {
            WeightTier::Memory
        } else if in_memory || self.entry.on_disk.contains(model) {
            WeightTier::Disk
        } else {
            WeightTier::Store
        }
    }

    /// Time in ms since an order that may have reached it, if there was one.
    pub(crate) fn order_age_ms(&self, now: ClockTime) -> Option<u64> {
        let task = self.task.as_ref();
        let under_way = task.is_some_and(|task| matches!(task.stage, TaskStage::Sent(_)));
        if under_way || self.adapter_sent.is_some() { Some(0) } else { Some(now.since_ms(self.ordered_at?)) }
    }

    /// True when it may get orders about models.
    pub(crate) fn is_free(&self, now: ClockTime) -> bool {
        self.known
            && now >= self.orders_from
            && self.task.is_none()
            && self.ask_at.is_none()
            && !self.closed
            && self.adapter_sent.is_none()
    }

    pub(crate) fn loaded_since(&self, model: &ModelId, now: ClockTime) -> u64 {
        let at = self.loaded_at.iter().find(|(known, _)| known == model);
        at.map_or(u64::MAX, |(_, at)| now.since_ms(*at))
    }
}

fn holds(models: &[HeldModel], model: &ModelId) -> bool {
    models.iter().any(|held| held.name == *model)
}

/// True when both lists name the same models.
fn same_models(left: &[HeldModel], right: &[HeldModel]) -> bool {
    left.len() == right.len() && left.iter().all(|held| holds(right, &held.name))
}

/// Time in ms beyond the expected end of a load from the host memory or the disk at which it is taken as done.
const LOAD_END_MS: u64 = 20;

/// Time in ms after which a load that was taken as done is confirmed.
const CONFIRM_MS: u64 = 300;

/// Time in ms until the status is asked for again after one that was too old.
const STATUS_RETRY_MS: u64 = 120;

/// Time in ms until the status of a busy engine is asked for again.
const BUSY_RETRY_MS: u64 = 400;

/// Conflicts after which a change is given up once the engine is idle.
pub(crate) const MAX_CONFLICTS: u32 = 6;

/// Time in ms that a load takes from a tier.
pub(crate) fn load_ms(rule: &ModelRule, tier: WeightTier) -> u64 {
    match tier {
        WeightTier::Memory => rule.memory_ms,
        WeightTier::Disk => rule.disk_ms,
        WeightTier::Store => rule.store_ms,
    }
}
