//! The placement table, indexed for dispatch.

use std::collections::{BTreeMap, BTreeSet};

use cowslip_messages::{PlacementTable, ReplicaState, TableVersion};
use cowslip_units::{ClockTime, ModelId, UpstreamId};

/// Time in ms for which a replica gets no requests after its engine reported the model as not loaded. The
/// leader learns of an eviction from load reports, which may be a second old.
const EVICTED_MS: u64 = 2_000;

/// Index of loaded and ordered models and adapters.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementIndex {
    version: TableVersion,
    received_at: ClockTime,
    loaded: BTreeMap<ModelId, Vec<UpstreamId>>,
    ready_in_ms: BTreeMap<ModelId, u64>,
    load_retry_ms: BTreeMap<ModelId, u64>,
    gone: BTreeSet<UpstreamId>,
    evicted: BTreeMap<(ModelId, UpstreamId), ClockTime>,
}

impl PlacementIndex {
    /// Builds the index of `table`, received now. Recent evictions recorded in `earlier` are kept, because
    /// the table may not reflect them yet.
    pub fn new(table: &PlacementTable, earlier: &Self, now: ClockTime) -> Self {
        let mut index = Self { version: table.version, received_at: now, ..Self::default() };
        for placement in &table.replicas {
            match placement.state {
                ReplicaState::Loaded => {
                    index.loaded.entry(placement.model.clone()).or_default().push(placement.upstream.clone());
                }
                ReplicaState::Ordered => index.record_ready(&placement.model, placement.ready_in_ms),
                ReplicaState::Draining | ReplicaState::Unloading => {}
            }
        }
        for placement in &table.adapters {
            match placement.state {
                ReplicaState::Loaded => {
                    index
                        .loaded
                        .entry(placement.adapter.clone())
                        .or_default()
                        .push(placement.upstream.clone());
                }
                ReplicaState::Ordered => index.record_ready(&placement.adapter, 0),
                ReplicaState::Draining | ReplicaState::Unloading => {}
            }
        }
        for upstreams in index.loaded.values_mut() {
            upstreams.sort();
        }
        index.load_retry_ms = table.refused.iter().cloned().collect();
        let gone = table.upstreams.iter().filter(|listed| !listed.live);
        index.gone = gone.map(|listed| listed.upstream.clone()).collect();
        index.evicted = earlier.evicted.clone();
        index.evicted.retain(|_, since| now.since_ms(*since) < EVICTED_MS);
        index
    }

    fn record_ready(&mut self, model: &ModelId, ready_in_ms: u64) {
        let earliest_ms = self.ready_in_ms.entry(model.clone()).or_insert(u64::MAX);
        *earliest_ms = (*earliest_ms).min(ready_in_ms);
    }

    /// Version of the indexed table.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Upstreams on which the table lists `model` as loaded, sorted.
    pub fn loaded(&self, model: &ModelId) -> &[UpstreamId] {
        self.loaded.get(model).map(Vec::as_slice).unwrap_or_default()
    }

    /// True if the table lists `model` as loaded and the engine has not recently reported otherwise.
    pub fn is_loaded(&self, model: &ModelId, upstream: &UpstreamId, now: ClockTime) -> bool {
        let listed = self.loaded(model).binary_search(upstream).is_ok();
        listed && !self.is_evicted(model, upstream, now)
    }

    fn is_evicted(&self, model: &ModelId, upstream: &UpstreamId, now: ClockTime) -> bool {
        let since = self.evicted.get(&(model.clone(), upstream.clone()));
        since.is_some_and(|since| now.since_ms(*since) < EVICTED_MS)
    }

    /// Records that the engine reported `model` as not loaded.
    pub fn record_eviction(&mut self, model: &ModelId, upstream: &UpstreamId, now: ClockTime) {
        self.evicted.insert((model.clone(), upstream.clone()), now);
    }

    /// Expected time in ms until an ordered replica of `model` is loaded; `None` if none is ordered.
    pub fn ready_in_ms(&self, model: &ModelId, now: ClockTime) -> Option<u64> {
        let reported_ms = self.ready_in_ms.get(model)?;
        Some(reported_ms.saturating_sub(now.since_ms(self.received_at)))
    }

    /// Remaining time in ms after which a request for `model` may be retried; `None` unless the leader cannot
    /// load the model at present.
    pub fn load_retry_ms(&self, model: &ModelId, now: ClockTime) -> Option<u64> {
        let reported_ms = self.load_retry_ms.get(model)?;
        let left = reported_ms.saturating_sub(now.since_ms(self.received_at));
        (left > 0).then_some(left)
    }

    /// True if the leader lists the upstream as gone or leaving.
    pub fn is_gone(&self, upstream: &UpstreamId) -> bool {
        self.gone.contains(upstream)
    }
}
