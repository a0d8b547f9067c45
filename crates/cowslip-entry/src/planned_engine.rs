//! The leader's record of one engine: what it holds, and the change in progress.

use cowslip_units::{ClockTime, ModelId};
use smol_str::SmolStr;

use crate::copy_index::CopyIndex;
use crate::model_answer::IN_DOUBT_RETRY_MS;
use crate::{EngineAction, EngineRule, EngineStatus, HeldModel, LoadCause, ModelRule, UpstreamEntry};

/// Nearest place of a model's weights for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightTier {
    /// Host memory of the engine.
    Memory,
    /// Disk of the engine.
    Disk,
    /// The weight store only.
    Store,
}

impl WeightTier {
    /// All places, nearest first.
    pub const ALL: [Self; 3] = [Self::Memory, Self::Disk, Self::Store];

    /// Name in log lines and labels of metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Disk => "disk",
            Self::Store => "store",
        }
    }
}

/// Progress of a change of an engine's models.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TaskStage {
    /// The next order is due at the given time.
    Send(ClockTime),
    /// An order was sent and has not been answered.
    Sent(EngineAction),
    /// The engine is loading and should finish by the given time.
    Loading(ClockTime),
}

/// A change of an engine's models: victims are unloaded, then one model is loaded.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineTask {
    pub(crate) model: ModelId,
    pub(crate) tier: WeightTier,
    pub(crate) cause: LoadCause,
    /// Time in ms that the load takes at full speed.
    pub(crate) load_ms: u64,
    pub(crate) victims: Vec<ModelId>,
    pub(crate) stage: TaskStage,
    pub(crate) started_at: ClockTime,
    pub(crate) conflicts: u32,
}

/// One engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedEngine {
    /// Its entry, including the effects of orders since.
    pub entry: UpstreamEntry,
    /// Number of orders that it has accepted since its start.
    pub orders: u64,
    /// Load time of each held model that this leader loaded.
    pub(crate) loaded_at: Vec<(ModelId, ClockTime)>,
    pub(crate) task: Option<EngineTask>,
    /// Adapter order that was sent and has not been answered.
    pub(crate) adapter_sent: Option<EngineAction>,
    pub(crate) next_adapter_at: ClockTime,
    /// Time at which its status must be queried; `None` when no query is due.
    pub(crate) query_at: Option<ClockTime>,
    pub(crate) is_querying: bool,
    /// Time at which a load that was assumed to be done must be confirmed; the engine gets orders meanwhile.
    confirm_at: Option<ClockTime>,
    is_confirming: bool,
    /// True once this leader has read its status.
    pub(crate) is_status_known: bool,
    /// Models as the entry last listed them.
    entry_models: Vec<HeldModel>,
    /// False once an order may have changed the content of the host memory since the entry was written.
    is_memory_known: bool,
    /// Adapters being loaded, with the time at which they should be there.
    pub(crate) pending: Vec<(ModelId, SmolStr, ClockTime)>,
    /// Time at which the last order was sent.
    pub(crate) ordered_at: Option<ClockTime>,
    /// Time before which it gets no order, because another VM may just have sent it one.
    pub(crate) orders_from: ClockTime,
    /// True while it gets no orders, because it is leaving or its failure domain is evacuated.
    pub(crate) closed: bool,
    /// Models that the planner's index lists for it, sorted.
    indexed_copies: Vec<ModelId>,
    /// True when its entry may list other copies than the index.
    is_index_outdated: bool,
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
            query_at: Some(now),
            is_querying: false,
            confirm_at: None,
            is_confirming: false,
            is_status_known: false,
            entry_models: Vec::new(),
            is_memory_known: true,
            pending: Vec::new(),
            ordered_at: None,
            orders_from: ClockTime::ZERO,
            closed: false,
            indexed_copies: Vec::new(),
            is_index_outdated: true,
        }
    }

    /// Sets the time from which it may get orders.
    #[must_use]
    pub(crate) fn with_orders_from(mut self, orders_from: ClockTime) -> Self {
        self.orders_from = orders_from;
        self
    }

    /// Applies a newer entry; a new incarnation resets the state.
    pub(crate) fn update(&mut self, entry: &UpstreamEntry, now: ClockTime) {
        if entry.born != self.entry.born || entry.address != self.entry.address {
            let (ordered_at, orders_from) = (self.ordered_at, self.orders_from);
            let indexed_copies = std::mem::take(&mut self.indexed_copies);
            *self = Self { ordered_at, orders_from, indexed_copies, ..Self::new(entry.clone(), now) };
            return;
        }
        self.entry.draining = entry.draining;
        self.entry.cold_left_ms = entry.cold_left_ms;
        if self.entry.in_memory != entry.in_memory {
            self.entry.in_memory.clone_from(&entry.in_memory);
            self.is_memory_known = true;
            self.is_index_outdated = true;
        }
        if self.entry.on_disk != entry.on_disk {
            self.entry.on_disk.clone_from(&entry.on_disk);
            self.is_index_outdated = true;
        }
        // An entry does not list the orders that it includes, and may be older than the last status. A list
        // that differs from the known one only leads to a query.
        let is_changed = entry.models != self.entry_models;
        if is_changed {
            self.entry_models.clone_from(&entry.models);
        }
        let can_query = match &self.task {
            None => true,
            Some(task) => {
                matches!(task.stage, TaskStage::Loading(_)) && holds(&self.entry_models, &task.model)
            }
        };
        if is_changed
            && can_query
            && self.is_status_known
            && !same_models(&self.entry_models, &self.entry.models)
        {
            self.query_at = self.query_at.or(Some(now));
        }
    }

    /// Brings its copies in the index up to date.
    pub(crate) fn update_index(&mut self, index: &mut CopyIndex) {
        if !std::mem::take(&mut self.is_index_outdated) {
            return;
        }
        let mut copies: Vec<ModelId> =
            self.entry.in_memory.iter().chain(&self.entry.on_disk).cloned().collect();
        copies.sort_unstable();
        copies.dedup();
        index.replace(&self.entry.id, &self.indexed_copies, &copies);
        self.indexed_copies = copies;
    }

    /// Removes its copies from the index.
    pub(crate) fn leave_index(&self, index: &mut CopyIndex) {
        index.replace(&self.entry.id, &self.indexed_copies, &[]);
    }

    /// Ends the running change once its model is held.
    fn finish_load(&mut self, now: ClockTime) {
        let Some(model) = self.task.as_ref().map(|task| task.model.clone()) else { return };
        if self.entry.holds(&model) {
            self.task = None;
            self.loaded_at.retain(|(known, _)| *known != model);
            self.loaded_at.push((model, now));
        }
    }

    /// Treats a load from host memory or disk as done at its expected end. Such loads take a predictable
    /// time, an engine that is still busy refuses the next order, and the engine's status lags by some
    /// hundred ms.
    pub(crate) fn assume_loaded(&mut self, now: ClockTime) {
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

    /// True when a status query should be sent now, either because the state is unknown or to confirm an
    /// assumed load.
    pub(crate) fn start_query(&mut self, now: ClockTime) -> bool {
        if self.is_querying || self.is_confirming {
            return false;
        }
        if self.query_at.is_some_and(|at| now >= at) {
            self.is_querying = true;
        } else if self.confirm_at.is_some_and(|at| now >= at) {
            self.is_confirming = true;
        }
        self.is_querying || self.is_confirming
    }

    /// Handles a status query without an answer.
    pub(crate) fn status_unanswered(&mut self, now: ClockTime) {
        if std::mem::take(&mut self.is_confirming) {
            self.confirm_at = Some(now.plus_ms(CONFIRM_MS));
        } else {
            self.is_querying = false;
            self.query_at = Some(now.plus_ms(IN_DOUBT_RETRY_MS));
        }
    }

    /// Applies the engine's status.
    pub(crate) fn status(&mut self, status: EngineStatus, now: ClockTime) {
        if std::mem::take(&mut self.is_confirming) && !self.confirms(&status, now) {
            return;
        }
        self.is_querying = false;
        if status.born != self.entry.born || status.orders < self.orders {
            // The status is older than the last accepted order, or of another incarnation whose entry is
            // still to come.
            self.query_at = Some(now.plus_ms(STATUS_RETRY_MS));
            return;
        }
        self.is_status_known = true;
        self.query_at = None;
        self.orders = status.orders;
        self.entry.models = status.models;
        self.finish_load(now);
        self.pending = status.pending.into_iter().map(|(model, name)| (model, name, now)).collect();
        if status.busy {
            // The order being carried out may be one of an earlier leader that is not listed yet: nothing is
            // sent before a status that lists it.
            let waits = matches!(self.task, Some(EngineTask { stage: TaskStage::Send(_), .. }));
            self.query_at = Some(now.plus_ms(if waits { STATUS_RETRY_MS } else { BUSY_RETRY_MS }));
            return;
        }
        match self.task.as_mut() {
            Some(task) if matches!(task.stage, TaskStage::Loading(_)) => self.task = None,
            Some(task) if task.conflicts >= MAX_CONFLICTS => self.task = None,
            Some(task) if matches!(task.stage, TaskStage::Send(_)) => task.stage = TaskStage::Send(now),
            _ => {}
        }
    }

    /// True when a status that was queried to confirm a load is later than the load and thus decides whether
    /// it is there.
    fn confirms(&mut self, status: &EngineStatus, now: ClockTime) -> bool {
        let recent = status.born == self.entry.born && status.orders >= self.orders && !status.busy;
        let is_changing = matches!(&self.task, Some(EngineTask { stage: TaskStage::Sent(_), .. }));
        self.confirm_at = (!recent || is_changing).then(|| now.plus_ms(CONFIRM_MS));
        recent && !is_changing
    }

    /// Adapters held and being loaded.
    pub fn adapter_count(&self) -> usize {
        self.entry.models.iter().map(|held| held.adapters.len()).sum::<usize>() + self.pending.len()
    }

    /// Memory in MB in use, including what a running load may still take.
    pub fn used_mb(&self, rule: &EngineRule) -> f64 {
        let size = |model: &ModelId| rule.model(model).map_or(rule.memory_mb, |model| model.size_mb);
        let adapters = |held: &HeldModel| {
            rule.model(&held.name).map_or(0.0, |model| model.adapter_mb * held.adapters.len() as f64)
        };
        let held: f64 = self.entry.models.iter().map(|held| size(&held.name) + adapters(held)).sum();
        let pending: f64 = self
            .pending
            .iter()
            .map(|(model, ..)| rule.model(model).map_or(0.0, |model| model.adapter_mb))
            .sum();
        held + pending
    }

    /// Invalidates what is known of the host memory: an order changes what the engine holds and thus what
    /// stays there.
    pub(crate) fn invalidate_memory(&mut self) {
        self.is_memory_known = false;
    }

    /// Nearest place of a model's weights. Weights that were in host memory before the last order may have
    /// been evicted from it, and then are on the disk.
    pub fn tier(&self, model: &ModelId) -> WeightTier {
        let in_memory = self.entry.in_memory.contains(model);
        if in_memory && self.is_memory_known {
            WeightTier::Memory
        } else if in_memory || self.entry.on_disk.contains(model) {
            WeightTier::Disk
        } else {
            WeightTier::Store
        }
    }

    /// Time in ms since the last order that may have reached the engine; `None` when there was none.
    pub(crate) fn order_age_ms(&self, now: ClockTime) -> Option<u64> {
        let task = self.task.as_ref();
        let is_in_flight = task.is_some_and(|task| matches!(task.stage, TaskStage::Sent(_)));
        if is_in_flight || self.adapter_sent.is_some() {
            Some(0)
        } else {
            Some(now.since_ms(self.ordered_at?))
        }
    }

    /// True when it may get orders about models.
    pub(crate) fn is_free(&self, now: ClockTime) -> bool {
        self.is_status_known
            && now >= self.orders_from
            && self.task.is_none()
            && self.query_at.is_none()
            && !self.closed
            && self.adapter_sent.is_none()
    }

    /// Time in ms since the model was loaded; `u64::MAX` when this leader did not load it.
    pub(crate) fn ms_since_load(&self, model: &ModelId, now: ClockTime) -> u64 {
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

/// Time in ms after the expected end of a load from host memory or disk at which the load is treated as done.
const LOAD_END_MS: u64 = 20;

/// Time in ms after which a load that was treated as done is confirmed by a status query.
const CONFIRM_MS: u64 = 300;

/// Time in ms until the next status query after a status that was too old.
const STATUS_RETRY_MS: u64 = 120;

/// Time in ms until the next status query to a busy engine.
const BUSY_RETRY_MS: u64 = 400;

/// Conflicts after which a change is cancelled once the engine is idle.
pub(crate) const MAX_CONFLICTS: u32 = 6;

/// Time in ms of a load from a tier.
pub(crate) fn load_ms(rule: &ModelRule, tier: WeightTier) -> u64 {
    match tier {
        WeightTier::Memory => rule.memory_ms,
        WeightTier::Disk => rule.disk_ms,
        WeightTier::Store => rule.store_ms,
    }
}
