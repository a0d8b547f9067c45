//! The search for an upstream on which to load a model or adapter.

use cowslip_messages::ReplicaState;
use cowslip_units::{ClockTime, MemorySize, ModelId, UpstreamId};

use crate::drain_reason::DrainReason;
use crate::load_intent::LoadIntent;
use crate::{
    LedgerRow, PlaceEstimate, PlacementPlanner, PlacementPolicy, ReplicaNeed, RowKey, RowKind, WaitingLoad,
    WeightTier,
};

/// Upstreams examined that have the checkpoint in memory or on disk.
const MAX_CHECKPOINT_PLACES: usize = 16;
/// Upstreams examined that have enough free memory, for each failure domain.
const MAX_FREE_PLACES: usize = 4;
/// Idle rows, and drains in progress, whose upstreams are examined.
const MAX_IDLE_ROWS: usize = 32;
/// Shortest time in ms for which a replica stays loaded before it is evicted for another one: routers receive
/// the new placement by long poll and need this long to dispatch the waiting requests.
const MIN_RESIDENT_MS: u64 = 5_000;
/// Estimated time in ms to drain and unload an idle replica.
const EVICTION_MS: u64 = 1_000;
/// Load time from the host's memory and from disk, in percent of the load time without contention. These
/// estimates only rank places; the engine determines the actual time.
const MEMORY_TIER_PERCENT: u64 = 10;
const DISK_TIER_PERCENT: u64 = 40;
/// Idle replicas are drained at most this long before the load can start, in ms.
const EVICT_AHEAD_MS: u64 = 3_000;
/// Time in ms that a model must have waited without a place before it may preempt a busy replica.
const PREEMPT_WAIT_MS: u64 = 10_000;
/// Shortest time in ms for which a busy replica is not preempted.
const PREEMPT_RESIDENT_MS: u64 = 30_000;

/// Why a model should be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadCause {
    /// It has no replica in service, and none is being loaded.
    Cold,
    /// The queue of its replicas may justify another one.
    Queue,
    /// None of its replicas has memory for an adapter with waiting requests.
    AdapterMemory,
}

impl<P: PlacementPolicy> PlacementPlanner<P> {
    /// Loads a model, or starts to free memory for it; `ahead` other loads start before it. Returns false if
    /// no upstream in service is large enough, or if the sheet does not declare the model.
    pub(crate) fn place_load(
        &mut self,
        load: &WaitingLoad,
        cause: LoadCause,
        ahead: usize,
        now: ClockTime,
    ) -> bool {
        let Some(row) = self.sheet.model(&load.model).cloned() else {
            return false;
        };
        let memory = row.weights.plus(row.kv_per_slot.times(u64::from(row.kv_slots)));
        if let Some(intent) = self.intents.iter().find(|intent| intent.key.name == load.model).cloned() {
            let upstream = intent.upstream().clone();
            let tier =
                self.engines.get(&upstream).map_or(WeightTier::Remote, |engine| engine.tier(&load.model));
            if self.available_memory(&upstream, &load.model) >= memory && self.can_start(tier, now) {
                self.start_load(load, &upstream, tier, memory, row.load_ms, now);
            }
            return true;
        }
        let decided = self.ledger.places(&load.model).count();
        if decided >= usize::try_from(row.max_replicas).unwrap_or(usize::MAX) {
            if cause == LoadCause::Cold {
                self.drain_out_of_service(&load.model, now);
            }
            self.block(&load.model, now);
            return true;
        }
        let adapters = self.waiting_names(&load.model);
        let adapter = adapters.iter().filter_map(|name| self.sheet.adapter(name)).map(|row| row.memory).max();
        let need = memory.plus(adapter.unwrap_or_default());
        let places = self.estimate_places(&load.model, need, row.load_ms, ahead, now);
        let Some(place) = self.policy.choose(&places).and_then(|at| places.get(at)).cloned() else {
            self.block(&load.model, now);
            if cause != LoadCause::Cold {
                return true;
            }
            let can_fit = self.engines.has_upstream_with_memory(memory);
            let text = if can_fit {
                "no place: all memory is in use"
            } else {
                "no upstream in service has the memory"
            };
            self.log.append(&load.model, text.to_owned(), now);
            if can_fit {
                self.preempt_busy_replica(load, memory, now);
            }
            return can_fit;
        };
        if cause == LoadCause::Queue {
            let need = ReplicaNeed {
                waiting: load.waiting,
                oldest_ms: now.since_ms(load.since),
                slots: row.kv_slots.saturating_mul(u32::try_from(decided).unwrap_or(u32::MAX)),
                ready_ms: place.ready_ms,
            };
            if !self.policy.is_replica_justified(need) {
                return true;
            }
        }
        if !place.waits {
            if self.can_start(place.tier, now) {
                self.start_load(load, &place.upstream, place.tier, memory, row.load_ms, now);
            }
            return true;
        }
        let wait_ms = match place.tier {
            WeightTier::Remote => self.queue.wait_ms(ahead, row.load_ms, now),
            WeightTier::Memory | WeightTier::Disk => 0,
        };
        if wait_ms <= EVICT_AHEAD_MS {
            let key = RowKey::replica(place.upstream.clone(), load.model.clone());
            self.free_memory_for(key, memory, &place.evict, now);
        }
        true
    }

    /// Loads an adapter next to a replica of its model, or starts to free memory for it. Returns false if
    /// replicas of its model could load it but none has enough memory or can free it.
    pub(crate) fn place_adapter(&mut self, adapter: &ModelId, now: ClockTime) -> bool {
        let Some(row) = self.sheet.adapter(adapter).cloned() else {
            return true;
        };
        if self.blocked.iter().any(|(model, _)| model == adapter) || !self.queue.can_start_adapter() {
            return true;
        }
        let sum = self.demand.sum(adapter);
        let present = self.ledger.places(adapter).count();
        let pending = self.ledger.places(adapter).any(|upstream| {
            self.ledger.state(&RowKey::adapter(upstream.clone(), adapter.clone()))
                == Some(ReplicaState::Ordered)
        });
        let usable = self
            .ledger
            .places(adapter)
            .any(|upstream| self.is_serving_adapter(upstream, &row.model, adapter));
        let need = ReplicaNeed {
            waiting: sum.waiting(),
            oldest_ms: now.since_ms(sum.since),
            slots: self.sheet.model(&row.model).map_or(1, |model| model.kv_slots),
            ready_ms: self.queue.adapter_load_ms(row.load_ms),
        };
        if pending || (usable && !self.policy.is_replica_justified(need)) {
            return true;
        }
        let hosts: Vec<UpstreamId> = self
            .ledger
            .places(&row.model)
            .filter(|upstream| self.can_load_adapter(upstream, &row.model, adapter, now))
            .cloned()
            .collect();
        let fitting = hosts.iter().filter(|upstream| self.available_memory(upstream, adapter) >= row.memory);
        let best =
            fitting.min_by_key(|upstream| self.engines.get(upstream).map_or(0, active_requests)).cloned();
        if let Some(upstream) = best {
            let key = RowKey::adapter(upstream, adapter.clone());
            if self.decide(key.clone(), &row.model, row.memory, row.load_ms, now) {
                self.queue.start_adapter(&key);
                let text = format!("{key}: decided, {} waiting, {present} present", sum.waiting());
                self.log.append(adapter, text, now);
            }
            return true;
        }
        if self.intents.iter().any(|intent| &intent.key.name == adapter) {
            return true;
        }
        for upstream in &hosts {
            if let Some(victims) = self.victims(upstream, adapter, Some(&row.model), row.memory, now) {
                let key = RowKey::adapter(upstream.clone(), adapter.clone());
                self.free_memory_for(key, row.memory, &victims, now);
                return true;
            }
        }
        self.log.append(adapter, "no place: no replica of its model has room".to_owned(), now);
        self.block(adapter, now);
        hosts.is_empty()
    }

    fn is_serving_adapter(&self, upstream: &UpstreamId, model: &ModelId, adapter: &ModelId) -> bool {
        let base = self.ledger.state(&RowKey::replica(upstream.clone(), model.clone()));
        let own = self.ledger.state(&RowKey::adapter(upstream.clone(), adapter.clone()));
        let is_in_service = self.engines.get(upstream).is_some_and(|engine| engine.is_in_service());
        is_in_service && base == Some(ReplicaState::Loaded) && own == Some(ReplicaState::Loaded)
    }

    fn can_load_adapter(
        &self,
        upstream: &UpstreamId,
        model: &ModelId,
        adapter: &ModelId,
        now: ClockTime,
    ) -> bool {
        let base = self.ledger.state(&RowKey::replica(upstream.clone(), model.clone()));
        let key = RowKey::adapter(upstream.clone(), adapter.clone());
        let free =
            self.ledger.row(&key).is_none() && !self.refused_rows.iter().any(|(refused, _)| *refused == key);
        let can_load = self.engines.get(upstream).is_some_and(|engine| engine.can_load(now));
        can_load && free && base == Some(ReplicaState::Loaded)
    }

    fn can_start(&mut self, tier: WeightTier, now: ClockTime) -> bool {
        tier != WeightTier::Remote || self.queue.can_start(now)
    }

    fn start_load(
        &mut self,
        load: &WaitingLoad,
        upstream: &UpstreamId,
        tier: WeightTier,
        memory: MemorySize,
        load_ms: u64,
        now: ClockTime,
    ) {
        let key = RowKey::replica(upstream.clone(), load.model.clone());
        if !self.decide(key.clone(), &load.model, memory, load_ms, now) {
            self.block(&load.model, now);
            return;
        }
        let expected_ms = tier_ms(tier, load_ms);
        self.queue.start(&key, expected_ms, tier == WeightTier::Remote, now);
        self.team_starts.charge(&load.team, now);
        let class = if load.urgent { "urgent" } else { "batch" };
        let team = load.team.as_ref().map_or("none", |team| team.as_str());
        let text = format!(
            "{key}: decided, {} {class} waiting, start charged to team {team}, checkpoint in {tier:?}, \
             ready in about {expected_ms} ms",
            load.waiting
        );
        self.log.append(&load.model, text, now);
    }

    fn expected_ms(&self, tier: WeightTier, load_ms: u64) -> u64 {
        match tier {
            WeightTier::Remote => self.queue.store_load_ms(load_ms),
            WeightTier::Memory | WeightTier::Disk => tier_ms(tier, load_ms),
        }
    }

    fn free_memory_for(&mut self, key: RowKey, need: MemorySize, victims: &[RowKey], now: ClockTime) {
        let names: Vec<String> = victims.iter().map(RowKey::to_string).collect();
        let text = format!("{key}: waits for memory, drains [{}]", names.join(", "));
        self.log.append(&key.name, text, now);
        self.intents.push(LoadIntent { key: key.clone(), need, since: now });
        for victim in victims {
            let text = format!("{victim}: draining, its memory is wanted for {}", key.name);
            self.log.append(&victim.name, text, now);
            self.start_drain(victim, DrainReason::FreesMemory(key.name.clone()), now);
        }
    }

    /// Candidate places with their estimates.
    fn estimate_places(
        &self,
        model: &ModelId,
        need: MemorySize,
        load_ms: u64,
        ahead: usize,
        now: ClockTime,
    ) -> Vec<PlaceEstimate> {
        let mut upstreams = self.engines.with_checkpoint(model, MAX_CHECKPOINT_PLACES, now);
        upstreams.extend(self.engines.with_free_memory(need, MAX_FREE_PLACES, now));
        let freeing = self.drains.iter().map(|drain| &drain.key.upstream);
        upstreams.extend(freeing.take(MAX_IDLE_ROWS).cloned());
        if self.policy.can_evict_idle() {
            upstreams.extend(self.idle.iter().take(MAX_IDLE_ROWS).map(|key| key.upstream.clone()));
        }
        upstreams.sort();
        upstreams.dedup();
        let wait_ms = self.queue.wait_ms(ahead, load_ms, now);
        let mut places = Vec::new();
        for upstream in upstreams {
            let key = RowKey::replica(upstream.clone(), model.clone());
            let Some(engine) = self.engines.get(&upstream).filter(|engine| engine.can_load(now)) else {
                continue;
            };
            if self.ledger.row(&key).is_some() || self.refused_rows.iter().any(|(refused, _)| *refused == key)
            {
                continue;
            }
            let Some(evict) = self.victims(&upstream, model, None, need, now) else {
                continue;
            };
            let available = self.available_memory(&upstream, model);
            let waits = available < need;
            let tier = engine.tier(model);
            let queue_ms = if tier == WeightTier::Remote { wait_ms } else { 0 };
            let free_ms = if waits { EVICTION_MS } else { 0 };
            let same = self.ledger.places(model).filter_map(|place| self.engines.get(place));
            places.push(PlaceEstimate {
                domain: engine.domain.clone(),
                tier,
                ready_ms: queue_ms.max(free_ms).saturating_add(self.expected_ms(tier, load_ms)),
                evict,
                waits,
                spare: available.minus(need),
                same_domain: u32::try_from(same.filter(|place| place.domain == engine.domain).count())
                    .unwrap_or(u32::MAX),
                active_requests: active_requests(engine),
                upstream,
            });
        }
        places
    }

    /// Idle rows to evict from an upstream so that `need` fits: empty if it fits already, or will fit once
    /// the drains in progress have ended; `None` if it cannot fit. Memory held for other names than `own` is
    /// not available. The replica of `keep` is not evicted.
    fn victims(
        &self,
        upstream: &UpstreamId,
        own: &ModelId,
        keep: Option<&ModelId>,
        need: MemorySize,
        now: ClockTime,
    ) -> Option<Vec<RowKey>> {
        let mut available = self.available_memory(upstream, own);
        if available >= need {
            return Some(Vec::new());
        }
        let others =
            self.intents.iter().filter(|intent| intent.upstream() == upstream && &intent.key.name != own);
        let held_memory: MemorySize = others.map(|intent| intent.need).sum();
        let rows: Vec<&LedgerRow> = self.ledger.rows_at(upstream).collect();
        let is_draining =
            |row: &&&LedgerRow| matches!(row.state, ReplicaState::Draining | ReplicaState::Unloading);
        let draining_memory: MemorySize = rows.iter().filter(is_draining).map(|row| row.memory).sum();
        available = self.ledger.free_memory(upstream).plus(draining_memory).minus(held_memory);
        if available >= need {
            return Some(Vec::new());
        }
        if !self.policy.can_evict_idle() {
            return None;
        }
        let is_resident = |row: &LedgerRow| {
            self.ledger.confirmed_at(&row.key).is_some_and(|at| now.since_ms(at) >= MIN_RESIDENT_MS)
        };
        let mut idle: Vec<(ClockTime, &LedgerRow)> = rows
            .iter()
            .filter(|row| {
                keep != Some(&row.key.name) && row.state == ReplicaState::Loaded && is_resident(row)
            })
            .filter_map(|row| self.idle.until(&row.key).map(|until| (until, *row)))
            .collect();
        idle.sort_by_key(|(until, _)| *until);
        let mut victims: Vec<RowKey> = Vec::new();
        for (_, row) in idle {
            if available >= need {
                break;
            }
            let with_base = row.key.kind == RowKind::Adapter
                && victims.contains(&RowKey::replica(upstream.clone(), row.base.clone()));
            if with_base {
                continue;
            }
            available = available.plus(row.memory);
            if row.key.kind == RowKind::Replica {
                let adapters = rows.iter().filter(|adapter| adapter.key.kind == RowKind::Adapter);
                let own_adapters = adapters.filter(|adapter| adapter.base == row.key.name);
                available = available.plus(
                    own_adapters
                        .filter(|adapter| !victims.contains(&adapter.key))
                        .map(|adapter| adapter.memory)
                        .sum(),
                );
            }
            victims.push(row.key.clone());
        }
        (available >= need).then_some(victims)
    }

    /// Drains replicas on upstreams out of service, so that the model may have replicas elsewhere.
    fn drain_out_of_service(&mut self, model: &ModelId, now: ClockTime) {
        let out: Vec<RowKey> = self
            .ledger
            .places(model)
            .filter(|upstream| !self.engines.get(upstream).is_some_and(|engine| engine.is_in_service()))
            .map(|upstream| RowKey::replica(upstream.clone(), model.clone()))
            .collect();
        for key in out {
            if self.start_drain(&key, DrainReason::OutOfService, now) {
                let text =
                    format!("{key}: draining, its upstream is out and the model has its most replicas");
                self.log.append(model, text, now);
            }
        }
        self.log.append(
            model,
            "waits: the model has its most replicas, counting those in doubt".to_owned(),
            now,
        );
    }

    /// Drains a replica that has been busy for long, in favour of a model that has waited for long without a
    /// place.
    fn preempt_busy_replica(&mut self, load: &WaitingLoad, need: MemorySize, now: ClockTime) {
        if !self.policy.can_evict_idle() || now.since_ms(load.since) < PREEMPT_WAIT_MS {
            return;
        }
        let can_preempt = |row: &&LedgerRow| {
            let is_resident =
                self.ledger.confirmed_at(&row.key).is_some_and(|at| now.since_ms(at) >= PREEMPT_RESIDENT_MS);
            let can_load = self.engines.get(&row.key.upstream).is_some_and(|engine| engine.can_load(now));
            let fits = self.available_memory(&row.key.upstream, &load.model).plus(row.memory) >= need;
            let loaded = row.key.kind == RowKind::Replica && row.state == ReplicaState::Loaded;
            loaded && is_resident && can_load && fits
        };
        let rank = |row: &&LedgerRow| {
            let replicas = self.ledger.places(&row.key.name).count();
            (std::cmp::Reverse(replicas.min(2)), self.ledger.confirmed_at(&row.key))
        };
        let victim = self.ledger.rows().filter(can_preempt).min_by_key(rank).map(|row| row.key.clone());
        if let Some(victim) = victim {
            let key = RowKey::replica(victim.upstream.clone(), load.model.clone());
            if self.ledger.row(&key).is_none() {
                self.free_memory_for(key, need, &[victim], now);
            }
        }
    }
}

/// Expected load time in ms from a storage tier.
const fn tier_ms(tier: WeightTier, load_ms: u64) -> u64 {
    match tier {
        WeightTier::Memory => load_ms.saturating_mul(MEMORY_TIER_PERCENT) / 100,
        WeightTier::Disk => load_ms.saturating_mul(DISK_TIER_PERCENT) / 100,
        WeightTier::Remote => load_ms,
    }
}

const fn active_requests(engine: &crate::engine_state::EngineState) -> u32 {
    engine.report.running.saturating_add(engine.report.queued)
}
