//! State of one upstream at a gateway: its entry, its calls, and its recent health.

use cowslip_routing::CircuitBreaker;
use cowslip_units::{ClockTime, ModelId};
use smol_str::SmolStr;

use crate::{
    AdapterName, AnswerCounts, HeldModel, ModelNeed, SlowStartGate, UpstreamEntry, UpstreamLoad,
    UpstreamWork, text_hash,
};

/// Weight of the newest outcome in the moving averages of failures and latency.
const NEWEST_WEIGHT: f64 = 0.2;

/// Time in ms for which an upstream that refused a model is treated as not holding it.
const MISSING_MS: u64 = 400;

/// First and longest backoff in ms after an upstream did not accept a connection.
const CONNECT_BACKOFF_MS: (u64, u64) = (200, 2_000);

/// Time in ms for which an announced place is used; the upstream's entry in the store should list it by then.
const PLACE_LIFETIME_MS: u64 = 4_000;

/// A model or adapter that the leader announced at the upstream, from a time on.
#[derive(Clone, Debug, PartialEq)]
struct AnnouncedPlace {
    need: ModelNeed,
    from: ClockTime,
}

/// A model or adapter that the upstream was found not to hold.
#[derive(Clone, Debug, PartialEq)]
struct MissingModel {
    need: ModelNeed,
    until: ClockTime,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownUpstream {
    /// Its own description in the store.
    pub entry: UpstreamEntry,
    /// Newest store version at which its entry was read, even if unchanged.
    pub seen_version: u64,
    /// Hash of its id, for rendezvous hashing.
    pub hash: u64,
    /// End of its slow start.
    pub warming_until: ClockTime,
    /// Time at which its entry disappeared during a store outage; `None` while the entry exists.
    pub removed_at: Option<ClockTime>,
    /// Calls of this gateway in flight.
    pub running: u32,
    /// Calls of the other gateways in flight, as of the leader's last answer.
    pub other_calls: u32,
    /// Moving average of the share of calls that failed.
    pub failure_share: f64,
    /// Moving average of the time in ms to the first byte of an answer; zero before the first answer.
    pub latency_ms: f64,
    /// Work that it has, and its room for more.
    pub work: UpstreamWork,
    /// Circuit breaker; opens after consecutive failures.
    pub breaker: CircuitBreaker,
    /// Limits requests during the slow start.
    pub slow_start_gate: SlowStartGate,
    /// Adapters that it holds according to the leader, sorted.
    pub adapters: Vec<AdapterName>,
    /// Models that the leader is about to unload there.
    pub leaving: Vec<ModelId>,
    missing: Vec<MissingModel>,
    places: Vec<AnnouncedPlace>,
    backoff_until: ClockTime,
    backoff_ms: u64,
}

impl KnownUpstream {
    /// An upstream whose entry is first read at `now`.
    pub fn new(entry: UpstreamEntry, now: ClockTime) -> Self {
        let warming_until = now.plus_ms(entry.cold_left_ms);
        let work = UpstreamWork::starting(entry.slots);
        Self {
            hash: text_hash(entry.id.as_str()),
            seen_version: entry.version,
            entry,
            warming_until,
            removed_at: None,
            running: 0,
            other_calls: 0,
            failure_share: 0.0,
            latency_ms: 0.0,
            work,
            breaker: CircuitBreaker::new(),
            slow_start_gate: SlowStartGate::default(),
            adapters: Vec::new(),
            leaving: Vec::new(),
            missing: Vec::new(),
            places: Vec::new(),
            backoff_until: ClockTime::ZERO,
            backoff_ms: 0,
        }
    }

    /// Applies a newer entry. A new incarnation resets all state. An older entry, which another gateway may
    /// still send, is ignored: it would undo that the upstream is leaving.
    pub fn update(&mut self, mut entry: UpstreamEntry, now: ClockTime) {
        if entry.version < self.seen_version {
            return;
        }
        self.seen_version = entry.version;
        if entry.born != self.entry.born || entry.address != self.entry.address {
            let (running, own_tokens) = (self.running, self.work.own_tokens);
            *self = Self::new(entry, now);
            self.running = running;
            self.work.own_tokens = own_tokens;
            return;
        }
        if entry.cold_left_ms > 0 {
            self.warming_until = self.warming_until.max(now.plus_ms(entry.cold_left_ms));
        }
        self.removed_at = None;
        if entry.models != self.entry.models {
            self.missing.clear();
        }
        // An unchanged entry keeps its version, so that a heartbeat causes no update to other gateways.
        let version = std::mem::replace(&mut entry.version, self.entry.version);
        if entry != self.entry {
            self.entry = UpstreamEntry { version, ..entry };
        }
    }

    /// Applies newer models of an otherwise unchanged entry. Older ones are ignored as in [`update`](Self::update).
    pub(crate) fn update_models(&mut self, models: Vec<HeldModel>, version: u64) {
        if version < self.seen_version {
            return;
        }
        self.seen_version = version;
        if models != self.entry.models {
            self.missing.clear();
            self.entry.models = models;
            self.entry.version = version;
        }
    }

    /// Calls of the whole fleet in flight.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.other_calls)
    }

    /// Calls of the whole fleet in flight, by its own report where that is newer than the leader's figures of
    /// `leader_at`.
    pub fn newest_total(&self, leader_at: ClockTime) -> u32 {
        self.running.saturating_add(self.work.other_calls(self.other_calls, leader_at))
    }

    /// True during the slow start.
    pub fn is_warming_up(&self, now: ClockTime) -> bool {
        now < self.warming_until
    }

    /// True when no connection backoff is running and the circuit breaker admits a call.
    pub fn is_healthy(&self, now: ClockTime) -> bool {
        now >= self.backoff_until && self.breaker.can_send(now)
    }

    /// True when it holds the model, and the adapter if one is needed.
    pub fn holds(&self, need: &ModelNeed, now: ClockTime) -> bool {
        if self.missing.iter().any(|missing| missing.need == *need && now < missing.until) {
            return false;
        }
        if self.leaving.contains(&need.model) {
            return false;
        }
        if self.is_announced(need, now) {
            return true;
        }
        let Some(held) = self.entry.models.iter().find(|held| held.name == need.model) else {
            return false;
        };
        match &need.adapter {
            None => true,
            Some(adapter) => held.adapters.contains(adapter) || self.holds_adapter(&need.model, adapter),
        }
    }

    /// Records the leader's announcement that it holds something from `from` on.
    pub fn announce_place(&mut self, need: ModelNeed, from: ClockTime, now: ClockTime) {
        self.places.retain(|place| now < place.from.plus_ms(PLACE_LIFETIME_MS) && place.need != need);
        self.places.push(AnnouncedPlace { need, from });
    }

    /// Time at which it should hold the needed model; `None` when no announced place is due later than `now`.
    pub(crate) fn place_due_at(&self, need: &ModelNeed, now: ClockTime) -> Option<ClockTime> {
        let due = self.places.iter().filter(|place| place.need.model == need.model && place.from > now);
        due.map(|place| place.from).min()
    }

    fn is_announced(&self, need: &ModelNeed, now: ClockTime) -> bool {
        let is_place_usable = |place: &AnnouncedPlace| {
            let same = place.need.model == need.model;
            let enough = need.adapter.is_none() || need.adapter == place.need.adapter;
            same && enough && now >= place.from && now < place.from.plus_ms(PLACE_LIFETIME_MS)
        };
        self.places.iter().any(is_place_usable)
    }

    fn holds_adapter(&self, model: &ModelId, adapter: &SmolStr) -> bool {
        self.adapters.iter().any(|known| known.model == *model && known.adapter == *adapter)
    }

    /// Records that it refused a request because it does not hold the model or adapter.
    pub fn record_missing_model(&mut self, need: &ModelNeed, now: ClockTime) {
        self.missing.retain(|missing| now < missing.until && missing.need != *need);
        self.missing.push(MissingModel { need: need.clone(), until: now.plus_ms(MISSING_MS) });
        self.places.retain(|place| place.need.model != need.model);
        if let Some(adapter) = &need.adapter {
            self.adapters.retain(|known| known.model != need.model || known.adapter != *adapter);
        }
    }

    /// Records that it did not accept a connection.
    pub fn record_unreachable(&mut self, now: ClockTime) {
        self.backoff_ms = (self.backoff_ms * 2).clamp(CONNECT_BACKOFF_MS.0, CONNECT_BACKOFF_MS.1);
        self.backoff_until = now.plus_ms(self.backoff_ms);
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: ClockTime) {
        self.failure_share += NEWEST_WEIGHT * (1.0 - self.failure_share);
        self.work.record_answers(AnswerCounts { bad: 1, ..AnswerCounts::default() }, self.entry.slots, now);
        self.breaker.failed(now);
    }

    /// Records the load that it reports in an answer.
    pub fn record_load(&mut self, load: UpstreamLoad, now: ClockTime) {
        // The load reported in a response still includes the call that it answers.
        self.other_calls = load.total().saturating_sub(self.running + 1);
        self.work.record_load(load, self.running, now);
    }

    /// Records an answered call, with the time to its first byte.
    pub fn record_success(&mut self, latency_ms: u64, now: ClockTime) {
        self.backoff_ms = 0;
        self.work.backoff.record_answer();
        self.failure_share -= NEWEST_WEIGHT * self.failure_share;
        let latency = latency_ms as f64;
        if self.latency_ms == 0.0 {
            self.latency_ms = latency;
        }
        self.latency_ms += NEWEST_WEIGHT * (latency - self.latency_ms);
        self.breaker.succeeded(now, latency_ms, None);
    }
}
