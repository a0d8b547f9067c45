//! One upstream as a gateway knows it: its entry, its calls, and how it has behaved.

use cowslip_routing::CircuitBreaker;
use cowslip_units::{ClockTime, ModelId};
use smol_str::SmolStr;

use crate::{AdapterName, ModelNeed, SlowStartGate, UpstreamEntry, text_hash};

/// Weight of the newest outcome in the share of failures and in the latency.
const NEWEST_WEIGHT: f64 = 0.2;

/// Time in ms for which an upstream that refused a model is believed not to hold it.
const MISSING_MS: u64 = 400;

/// First and longest time in ms for which an upstream that does not accept connections is left alone.
const AVOID_MS: (u64, u64) = (200, 2_000);

/// Time in ms for which the leader's word on a place holds: its entry in the store should say the same by then.
const PLACE_MS: u64 = 4_000;

/// What the leader says that an upstream holds.
#[derive(Clone, Debug, PartialEq)]
struct ToldPlace {
    need: ModelNeed,
    from: ClockTime,
}

/// What an upstream was seen not to hold.
#[derive(Clone, Debug, PartialEq)]
struct MissingModel {
    need: ModelNeed,
    until: ClockTime,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownUpstream {
    /// What it tells of itself.
    pub entry: UpstreamEntry,
    /// Newest store version at which its entry was seen, be it the same as before.
    pub seen_version: u64,
    /// Hash of its id.
    pub hash: u64,
    /// Until when it is cold.
    pub cold_until: ClockTime,
    /// When its entry disappeared while the store was in trouble.
    pub removed_at: Option<ClockTime>,
    /// Calls of this gateway.
    pub running: u32,
    /// Calls of the other gateways, as the leader last told.
    pub others: u32,
    /// Share of calls that failed lately.
    pub failure_share: f64,
    /// Time in ms to the first byte of an answer, smoothed; zero before the first.
    pub latency_ms: f64,
    /// Opens after failures in a row.
    pub breaker: CircuitBreaker,
    /// Limits sends while it is cold.
    pub slow_start_gate: SlowStartGate,
    /// Adapters that the leader says it holds, sorted.
    pub adapters: Vec<AdapterName>,
    /// Models that the leader is about to unload.
    pub leaving: Vec<ModelId>,
    missing: Vec<MissingModel>,
    places: Vec<ToldPlace>,
    avoid_until: ClockTime,
    avoid_ms: u64,
}

impl KnownUpstream {
    /// An upstream whose entry was first seen now.
    pub fn new(entry: UpstreamEntry, now: ClockTime) -> Self {
        let cold_until = now.plus_ms(entry.cold_left_ms);
        Self {
            hash: text_hash(entry.id.as_str()),
            seen_version: entry.version,
            entry,
            cold_until,
            removed_at: None,
            running: 0,
            others: 0,
            failure_share: 0.0,
            latency_ms: 0.0,
            breaker: CircuitBreaker::new(),
            slow_start_gate: SlowStartGate::default(),
            adapters: Vec::new(),
            leaving: Vec::new(),
            missing: Vec::new(),
            places: Vec::new(),
            avoid_until: ClockTime::ZERO,
            avoid_ms: 0,
        }
    }

    /// Takes a newer entry. A new start forgets what was known of the old one. An older entry, which another gateway
    /// may still have, changes nothing: it would take back that the upstream leaves.
    pub fn update(&mut self, mut entry: UpstreamEntry, now: ClockTime) {
        if entry.version < self.seen_version {
            return;
        }
        self.seen_version = entry.version;
        if entry.born != self.entry.born || entry.address != self.entry.address {
            let running = self.running;
            *self = Self::new(entry, now);
            self.running = running;
            return;
        }
        if entry.cold_left_ms > 0 {
            self.cold_until = self.cold_until.max(now.plus_ms(entry.cold_left_ms));
        }
        self.removed_at = None;
        if entry.models != self.entry.models {
            self.missing.clear();
        }
        // An entry that says the same keeps its version, so that a heartbeat is no news to other gateways.
        let version = std::mem::replace(&mut entry.version, self.entry.version);
        if entry != self.entry {
            self.entry = UpstreamEntry { version, ..entry };
        }
    }

    /// Calls of the whole fleet.
    pub fn total(&self) -> u32 {
        self.running + self.others
    }

    /// True while it is cold.
    pub fn is_warming_up(&self, now: ClockTime) -> bool {
        now < self.cold_until
    }

    /// True when it accepts connections as far as is known, and its breaker lets a call through.
    pub fn is_sound(&self, now: ClockTime) -> bool {
        now >= self.avoid_until && self.breaker.can_send(now)
    }

    /// True when it holds what the request needs.
    pub fn holds(&self, need: &ModelNeed, now: ClockTime) -> bool {
        if self.missing.iter().any(|missing| missing.need == *need && now < missing.until) {
            return false;
        }
        if self.leaving.contains(&need.model) {
            return false;
        }
        if self.is_told(need, now) {
            return true;
        }
        let Some(held) = self.entry.models.iter().find(|held| held.name == need.model) else {
            return false;
        };
        match &need.adapter {
            None => true,
            Some(adapter) => held.adapters.contains(adapter) || self.has_adapter(&need.model, adapter),
        }
    }

    /// The leader says that it holds something from a moment on.
    pub fn told_place(&mut self, need: ModelNeed, from: ClockTime, now: ClockTime) {
        self.places.retain(|place| now < place.from.plus_ms(PLACE_MS) && place.need != need);
        self.places.push(ToldPlace { need, from });
    }

    /// When it should hold what a request needs, if it is not there yet.
    pub(crate) fn place_due(&self, need: &ModelNeed, now: ClockTime) -> Option<ClockTime> {
        let due = self.places.iter().filter(|place| place.need.model == need.model && place.from > now);
        due.map(|place| place.from).min()
    }

    fn is_told(&self, need: &ModelNeed, now: ClockTime) -> bool {
        let told = |place: &ToldPlace| {
            let same = place.need.model == need.model;
            let enough = need.adapter.is_none() || need.adapter == place.need.adapter;
            same && enough && now >= place.from && now < place.from.plus_ms(PLACE_MS)
        };
        self.places.iter().any(told)
    }

    fn has_adapter(&self, model: &ModelId, adapter: &SmolStr) -> bool {
        self.adapters.iter().any(|known| known.model == *model && known.adapter == *adapter)
    }

    /// It refused a request because it does not hold the model or adapter.
    pub fn refused_model(&mut self, need: &ModelNeed, now: ClockTime) {
        self.missing.retain(|missing| now < missing.until && missing.need != *need);
        self.missing.push(MissingModel { need: need.clone(), until: now.plus_ms(MISSING_MS) });
        self.places.retain(|place| place.need.model != need.model);
        if let Some(adapter) = &need.adapter {
            self.adapters.retain(|known| known.model != need.model || known.adapter != *adapter);
        }
    }

    /// It did not accept a connection.
    pub fn unreachable(&mut self, now: ClockTime) {
        self.avoid_ms = (self.avoid_ms * 2).clamp(AVOID_MS.0, AVOID_MS.1);
        self.avoid_until = now.plus_ms(self.avoid_ms);
    }

    /// A call failed.
    pub fn failed(&mut self, now: ClockTime) {
        self.failure_share += NEWEST_WEIGHT * (1.0 - self.failure_share);
        self.breaker.failed(now);
    }

    /// A call was answered, its first byte after `latency_ms`.
    pub fn succeeded(&mut self, latency_ms: u64, now: ClockTime) {
        self.avoid_ms = 0;
        self.failure_share -= NEWEST_WEIGHT * self.failure_share;
        let latency = latency_ms as f64;
        if self.latency_ms == 0.0 {
            self.latency_ms = latency;
        }
        self.latency_ms += NEWEST_WEIGHT * (latency - self.latency_ms);
        self.breaker.succeeded(now, latency_ms, None);
    }
}
