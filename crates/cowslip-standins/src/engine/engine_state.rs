//! State of the engine: replicas, requests and load reports.
//!
//! All changes are made here under one lock, with the time passed in. Orders are handled in `order_runner`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cowslip_platform::{CacheEvent, EngineReport, EngineRole, LoadedModel, OrderReply};
use cowslip_runtime::random_hex;
use cowslip_units::{FencingToken, MemorySize, ModelId, OrderId};
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::engine::cache_log::CacheLog;
use crate::engine::checkpoint_cache::CheckpointCache;
use crate::engine::completion_request::CompletionRequest;
use crate::engine::engine_settings::EngineSettings;
use crate::engine::prefix_cache::{CachedPrefix, PrefixCache};
use crate::engine::replica_entry::ReplicaEntry;
use crate::engine::report_history::ReportHistory;
use crate::engine::run_entry::RunEntry;
use crate::engine::run_progress::{RunEnd, RunProgress};
use crate::engine::run_queue::RunQueue;
use crate::engine::run_rejection::RunRejection;
use crate::engine::{EngineFault, EngineFaultMode, EngineJournal};
use crate::fault_switch::FaultSwitch;
use crate::record_log::RecordLog;
use crate::{RequestOutcome, RequestRecord};

/// Queued requests per slot; further requests are rejected.
const MAX_QUEUED_PER_SLOT: u64 = 2;

/// Share of the prefill time that a cached prefix saves, in percent.
const CACHED_PREFIX_SAVING_PERCENT: u64 = 90;

/// Mutable state of an engine.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    pub(crate) logger: Logger,
    boot: String,
    restarts: u64,
    pub(crate) sequence: u64,
    pub(crate) highest_fence: FencingToken,
    pub(crate) role: EngineRole,
    pub(crate) warmup_started_ms: u64,
    down_until_ms: u64,
    pub(crate) replicas: BTreeMap<ModelId, ReplicaEntry>,
    pub(crate) orders: HashMap<OrderId, watch::Receiver<Option<OrderReply>>>,
    pub(crate) order_tasks: Vec<AbortHandle>,
    runs: BTreeMap<u64, RunEntry>,
    run_ids: HashMap<String, u64>,
    running: Vec<u64>,
    queue: RunQueue,
    next_run: u64,
    previous: Option<Arc<CompletionRequest>>,
    pub(crate) prefixes: PrefixCache,
    pub(crate) cache_log: CacheLog,
    pub(crate) checkpoints: CheckpointCache,
    reports: ReportHistory,
    pub(crate) faults: FaultSwitch,
    pub(crate) journal: EngineJournal,
    records: RecordLog,
}

/// An admitted request, queued or running.
#[derive(Debug)]
pub(crate) struct RunAdmission {
    /// Number of the run, unlike the request id never reused.
    pub(crate) number: u64,
    /// The request.
    pub(crate) request: Arc<CompletionRequest>,
    /// Tokens generated so far and the end of the run.
    pub(crate) progress: watch::Receiver<RunProgress>,
    /// The fault that applies to it.
    pub(crate) fault: EngineFault,
    /// The request admitted before it; `cross` faults answer with that one's response.
    pub(crate) other: Option<Arc<CompletionRequest>>,
}

impl EngineState {
    /// Creates an engine without models, at the start of its warm-up.
    pub(crate) fn new(settings: EngineSettings, logger: Logger) -> Self {
        let checkpoints = CheckpointCache::new(
            settings.host_memory.clone(),
            settings.host_memory_limit,
            settings.disk.clone(),
            settings.disk_limit,
        );
        let mut state = Self {
            boot: settings.boot.clone().unwrap_or_else(|| random_hex(8)),
            restarts: 0,
            sequence: 0,
            highest_fence: FencingToken::ZERO,
            role: EngineRole::Both,
            warmup_started_ms: 0,
            down_until_ms: 0,
            replicas: BTreeMap::new(),
            orders: HashMap::new(),
            order_tasks: Vec::new(),
            runs: BTreeMap::new(),
            run_ids: HashMap::new(),
            running: Vec::new(),
            queue: RunQueue::default(),
            next_run: 0,
            previous: None,
            prefixes: PrefixCache::new(settings.prefix_cache_tokens),
            cache_log: CacheLog::new(settings.cache_event_lag_ms, settings.cache_event_gap_every),
            checkpoints,
            reports: ReportHistory::new(settings.report_lag_ms),
            faults: FaultSwitch::default(),
            journal: EngineJournal::default(),
            records: RecordLog::default(),
            settings,
            logger,
        };
        state.record_state(0);
        state
    }

    /// True while a `die` fault keeps the engine down and connections are closed without a response.
    pub(crate) fn is_down(&self, now_ms: u64) -> bool {
        now_ms < self.down_until_ms
    }

    /// Admits a request to a slot or the queue, or rejects it, and records it.
    pub(crate) fn admit(
        &mut self,
        now_ms: u64,
        request: CompletionRequest,
        record: RequestRecord,
    ) -> Result<RunAdmission, RunRejection> {
        if self.is_down(now_ms) {
            return Err(RunRejection::Down);
        }
        self.drop_expired_runs(now_ms);
        let fault = self.faults.next_fault(&request.model);
        if let Err(rejection) = self.check_admission(&request, &fault) {
            self.records.push(RequestRecord { outcome: RequestOutcome::Refused, ..record });
            return Err(rejection);
        }
        let in_flight = self.in_flight() + 1;
        if let Some(bound) = self.warmup_limit(now_ms) {
            self.journal.peak_running_fresh = self.journal.peak_running_fresh.max(in_flight);
            if in_flight > bound {
                self.records.push(RequestRecord { outcome: RequestOutcome::Failed, ..record });
                self.crash_on_overload(now_ms, in_flight, bound);
                return Err(RunRejection::Overloaded);
            }
        }
        Ok(self.add_run(now_ms, request, record, fault))
    }

    /// Records a request that was rejected before admission because it could not be parsed.
    pub(crate) fn record_rejected(&mut self, record: RequestRecord) {
        self.records.push(RequestRecord { outcome: RequestOutcome::Refused, ..record });
    }

    fn check_admission(&self, request: &CompletionRequest, fault: &EngineFault) -> Result<(), RunRejection> {
        if !self.is_loaded(&request.model) {
            return Err(RunRejection::NotLoaded);
        }
        if self.role == EngineRole::Prefill && request.max_tokens > 1 {
            return Err(RunRejection::WrongRole);
        }
        let same_id = self.run_ids.get(&request.id).and_then(|number| self.runs.get(number));
        if same_id.is_some_and(RunEntry::is_active) {
            return Err(RunRejection::Duplicate);
        }
        let queue_full = count(self.queue.len()) >= self.settings.slots * MAX_QUEUED_PER_SLOT;
        if queue_full || fault.mode == EngineFaultMode::Refuse {
            return Err(RunRejection::Busy);
        }
        Ok(())
    }

    fn add_run(
        &mut self,
        now_ms: u64,
        request: CompletionRequest,
        record: RequestRecord,
        fault: EngineFault,
    ) -> RunAdmission {
        let number = self.next_run;
        self.next_run += 1;
        let request = Arc::new(request);
        let (progress, watched) = watch::channel(RunProgress::default());
        let entry = RunEntry {
            number,
            record: self.records.push(record),
            request: Arc::clone(&request),
            progress,
            prefill_end_ms: 0,
            readers: 1,
            reader_generation: 0,
            idle_since_ms: now_ms,
            fault: fault.clone(),
        };
        self.run_ids.insert(request.id.clone(), number);
        self.runs.insert(number, entry);
        self.queue.push(number, request.urgent);
        let other = self.previous.replace(Arc::clone(&request));
        self.start_queued(now_ms);
        self.record_state(now_ms);
        RunAdmission { number, request, progress: watched, fault, other }
    }

    /// Attaches another reader to a stream; `None` when the stream is unknown or was interrupted for too
    /// long.
    pub(crate) fn resume(&mut self, now_ms: u64, id: &str) -> Option<RunAdmission> {
        self.drop_expired_runs(now_ms);
        let entry = self.runs.get_mut(self.run_ids.get(id)?)?;
        if !entry.request.stream {
            return None;
        }
        entry.readers += 1;
        entry.reader_generation += 1;
        Some(RunAdmission {
            number: entry.number,
            request: Arc::clone(&entry.request),
            progress: entry.progress.subscribe(),
            fault: EngineFault::default(),
            other: None,
        })
    }

    /// Detaches a reader. When it was the last one of an active request, returns the generation for
    /// [`EngineState::cancel_abandoned`].
    pub(crate) fn detach_reader(&mut self, now_ms: u64, number: u64) -> Option<u64> {
        let entry = self.runs.get_mut(&number)?;
        entry.readers = entry.readers.saturating_sub(1);
        entry.reader_generation += 1;
        entry.idle_since_ms = now_ms;
        (entry.readers == 0 && entry.is_active()).then_some(entry.reader_generation)
    }

    /// Cancels a request if no reader was attached or detached since `generation`.
    pub(crate) fn cancel_abandoned(&mut self, now_ms: u64, number: u64, generation: u64) {
        if self.runs.get(&number).is_some_and(|entry| entry.reader_generation == generation) {
            self.end_run(now_ms, number, RunEnd::Cancelled);
        }
    }

    /// Cancels a request by its id; has no effect on one that is unknown or has ended.
    pub(crate) fn cancel(&mut self, now_ms: u64, id: &str) {
        if let Some(number) = self.run_ids.get(id).copied() {
            self.end_run(now_ms, number, RunEnd::Cancelled);
        }
    }

    /// Returns the duration of a decoding step, `None` when nothing runs. Above half of the slots it grows
    /// linearly, to twice the token interval when all slots are in use.
    pub(crate) fn step_time(&self) -> Option<Duration> {
        if self.running.is_empty() {
            return None;
        }
        let half = self.settings.slots as f64 / 2.0;
        let beyond = (self.running.len() as f64 - half).max(0.0);
        let interval_ms = self.settings.token_interval_ms as f64 * (1.0 + beyond / half);
        Some(Duration::from_secs_f64(interval_ms / 1_000.0))
    }

    /// Generates one token for each running request whose prefill is complete.
    pub(crate) fn step(&mut self, now_ms: u64) {
        let mut finished = Vec::new();
        for number in &self.running {
            let Some(entry) = self.runs.get(number) else { continue };
            if entry.prefill_end_ms > now_ms {
                continue;
            }
            entry.progress.send_modify(|progress| progress.tokens += 1);
            if entry.progress.borrow().tokens >= entry.request.max_tokens {
                finished.push(*number);
            }
        }
        for number in finished {
            self.end_run(now_ms, number, RunEnd::Finished);
        }
    }

    /// Sets a fault; `Evict` and `Die` take effect at once.
    pub(crate) fn set_fault(&mut self, now_ms: u64, fault: EngineFault) {
        info!(self.logger, "fault set"; "mode" => format!("{:?}", fault.mode),
            "model" => fault.model.clone(), "ms" => fault.ms, "every" => fault.every);
        match fault.mode {
            EngineFaultMode::Evict => self.evict(now_ms, fault.model.as_deref()),
            EngineFaultMode::Die => self.restart(now_ms, RunEnd::Died, fault.ms),
            _ => {}
        }
        self.faults.set(fault);
    }

    /// Returns the load report visible at `now_ms`.
    pub(crate) fn published_report(&self, now_ms: u64) -> Option<EngineReport> {
        self.reports.published(now_ms)
    }

    /// Returns the cache events after `since` that are published by `now_ms`.
    pub(crate) fn cache_events(&self, now_ms: u64, since: u64) -> Vec<CacheEvent> {
        self.cache_log.since(now_ms, since)
    }

    /// Returns the journal with the request records and the loaded models.
    pub(crate) fn full_journal(&self) -> EngineJournal {
        let loaded = self.loaded().map(|(name, _)| name.to_string()).collect();
        EngineJournal { requests: self.records.all(), loaded, ..self.journal.clone() }
    }

    /// Adds a prefix to the cache and logs an event for each prefix added or evicted.
    pub(crate) fn cache_prefix(&mut self, now_ms: u64, entry: CachedPrefix) {
        let (model, prefix) = (entry.model.clone(), entry.prefix.clone());
        let (is_new, removed) = self.prefixes.add(entry);
        self.log_removed(now_ms, &removed);
        if is_new {
            self.cache_log.push(now_ms, &model, &prefix, true);
        }
    }

    /// True when the model, or the adapter and its model, is loaded.
    pub(crate) fn is_loaded(&self, name: &str) -> bool {
        let Ok(name) = ModelId::new(name) else { return false };
        let ready = |name: &ModelId| self.replicas.get(name).filter(|entry| entry.loading.is_none());
        ready(&name).is_some_and(|entry| entry.base.as_ref().is_none_or(|base| ready(base).is_some()))
    }

    /// Memory reserved by loaded replicas and by loads in progress.
    pub(crate) fn memory_used(&self) -> MemorySize {
        self.replicas.values().map(|entry| entry.memory).sum()
    }

    /// Removes a model with its adapters, or an adapter; requests in flight on them fail.
    pub(crate) fn remove_replica(&mut self, now_ms: u64, name: &ModelId) {
        let is_removed =
            |key: &ModelId, entry: &ReplicaEntry| key == name || entry.base.as_ref() == Some(name);
        let removed: Vec<ModelId> = self
            .replicas
            .iter()
            .filter(|(key, entry)| is_removed(key, entry))
            .map(|(key, _)| key.clone())
            .collect();
        for name in removed {
            self.replicas.remove(&name);
            let prefixes = self.prefixes.remove_model(&name);
            self.log_removed(now_ms, &prefixes);
            let uses = |entry: &&RunEntry| entry.is_active() && entry.request.model == name.as_str();
            let failed: Vec<u64> = self.runs.values().filter(uses).map(|entry| entry.number).collect();
            for number in failed {
                self.end_run(now_ms, number, RunEnd::Failed);
            }
        }
        self.sequence += 1;
        self.record_state(now_ms);
    }

    /// Records the current state for later load reports.
    pub(crate) fn record_state(&mut self, now_ms: u64) {
        let used = self.memory_used();
        self.journal.peak_memory_mib = self.journal.peak_memory_mib.max(used.mebibytes());
        let loading = self.replicas.iter().filter(|(_, entry)| entry.loading.is_some());
        let report = EngineReport {
            boot: self.boot.clone(),
            sequence: self.sequence,
            age_ms: 0,
            loaded: self
                .loaded()
                .map(|(name, entry)| LoadedModel { name: name.clone(), memory: entry.memory })
                .collect(),
            loading: loading.map(|(name, _)| name.clone()).collect(),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            memory: self.settings.memory,
            memory_used: used,
            checkpoints: self.checkpoints.all(),
        };
        self.reports.push(now_ms, report);
    }

    fn loaded(&self) -> impl Iterator<Item = (&ModelId, &ReplicaEntry)> {
        self.replicas.iter().filter(|(_, entry)| entry.loading.is_none())
    }

    fn in_flight(&self) -> u64 {
        count(self.running.len() + self.queue.len())
    }

    /// Requests that the engine can handle at this point of its warm-up; `None` when the warm-up is over.
    fn warmup_limit(&self, now_ms: u64) -> Option<u64> {
        let EngineSettings { slots, fresh_slots, ramp_ms, .. } = self.settings;
        let age_ms = now_ms.saturating_sub(self.warmup_started_ms);
        (age_ms < ramp_ms).then(|| fresh_slots + slots.saturating_sub(fresh_slots) * age_ms / ramp_ms)
    }

    fn crash_on_overload(&mut self, now_ms: u64, in_flight: u64, bound: u64) {
        warn!(self.logger, "crashed on overload during warm-up"; "in_flight" => in_flight, "bound" => bound);
        self.journal.fell_over += 1;
        self.restart(now_ms, RunEnd::Failed, 0);
    }

    fn evict(&mut self, now_ms: u64, name: Option<&str>) {
        let affected = |key: &ModelId| name.is_none_or(|name| name == key.as_str());
        let evicted: Vec<ModelId> =
            self.loaded().map(|(key, _)| key.clone()).filter(|key| affected(key)).collect();
        for name in evicted {
            self.remove_replica(now_ms, &name);
        }
    }

    /// Discards all state but the checkpoints on disk, and starts with a new boot id.
    fn restart(&mut self, now_ms: u64, end: RunEnd, down_ms: u64) {
        self.queue.clear();
        let active: Vec<u64> =
            self.runs.values().filter(|entry| entry.is_active()).map(|entry| entry.number).collect();
        for number in active {
            self.end_run(now_ms, number, end);
        }
        for task in self.order_tasks.drain(..) {
            task.abort();
        }
        self.replicas.clear();
        self.orders.clear();
        self.prefixes.clear();
        self.cache_log.skip_sequence();
        self.checkpoints.clear_memory();
        self.reports.clear();
        self.restarts += 1;
        self.boot = match &self.settings.boot {
            Some(boot) => format!("{boot}-{}", self.restarts),
            None => random_hex(8),
        };
        self.sequence = 0;
        self.highest_fence = FencingToken::ZERO;
        self.role = EngineRole::Both;
        self.warmup_started_ms = now_ms;
        self.down_until_ms = now_ms + down_ms;
        info!(self.logger, "restarted without models"; "boot" => &self.boot, "down_ms" => down_ms);
        self.record_state(now_ms);
    }

    /// Assigns free slots to queued requests.
    fn start_queued(&mut self, now_ms: u64) {
        while count(self.running.len()) < self.settings.slots {
            let Some(number) = self.queue.pop() else { break };
            self.start_prefill(now_ms, number);
            self.running.push(number);
        }
        self.journal.peak_running = self.journal.peak_running.max(count(self.running.len()));
    }

    /// Starts the prefill of a request: sets the time at which it completes, earlier with a cached prefix.
    fn start_prefill(&mut self, now_ms: u64, number: u64) {
        let Some(entry) = self.runs.get_mut(&number) else { return };
        let request = Arc::clone(&entry.request);
        let prefix = match (ModelId::new(&request.model), &request.prefix) {
            (Ok(model), Some(prefix)) => {
                Some(CachedPrefix { model, prefix: prefix.clone(), tokens: request.prompt_tokens })
            }
            _ => None,
        };
        let cached = prefix.as_ref().map_or(0, |entry| self.prefixes.tokens(&entry.model, &entry.prefix));
        let saved = cached.min(request.prompt_tokens) * CACHED_PREFIX_SAVING_PERCENT / 100;
        let cost_us = (request.prompt_tokens - saved) * self.settings.prefill_us_per_token;
        let late_ms = if entry.fault.mode == EngineFaultMode::Slow { entry.fault.ms } else { 0 };
        entry.prefill_end_ms = now_ms + cost_us / 1_000 + late_ms;
        if let Some(prefix) = prefix {
            self.cache_prefix(now_ms, prefix);
        }
    }

    /// Ends an active request, frees its slot and records its outcome.
    fn end_run(&mut self, now_ms: u64, number: u64, end: RunEnd) {
        let Some(entry) = self.runs.get_mut(&number).filter(|entry| entry.is_active()) else { return };
        let outcome = match end {
            RunEnd::Finished => RequestOutcome::Ran,
            RunEnd::Cancelled => RequestOutcome::Cancelled,
            RunEnd::Failed | RunEnd::Died => RequestOutcome::Failed,
        };
        entry.progress.send_modify(|progress| progress.end = Some(end));
        entry.idle_since_ms = now_ms;
        let tokens = entry.progress.borrow().tokens;
        self.records.finish(entry.record, outcome, tokens);
        if end != RunEnd::Finished {
            let id = entry.request.id.clone();
            self.runs.remove(&number);
            self.run_ids.remove(&id);
        }
        self.running.retain(|other| *other != number);
        self.queue.remove(number);
        self.start_queued(now_ms);
        self.record_state(now_ms);
    }

    /// Drops requests that ended, and whose last reader disconnected, longer ago than the resume time.
    fn drop_expired_runs(&mut self, now_ms: u64) {
        let resume_ms = self.settings.resume_ms;
        let is_kept = |entry: &RunEntry| {
            entry.is_active() || entry.readers > 0 || entry.idle_since_ms + resume_ms > now_ms
        };
        self.runs.retain(|_, entry| is_kept(entry));
        let runs = &self.runs;
        self.run_ids.retain(|_, number| runs.contains_key(number));
    }

    fn log_removed(&mut self, now_ms: u64, removed: &[CachedPrefix]) {
        for entry in removed {
            self.cache_log.push(now_ms, &entry.model, &entry.prefix, false);
        }
    }
}

pub(crate) fn count(length: usize) -> u64 {
    u64::try_from(length).unwrap_or(u64::MAX)
}
