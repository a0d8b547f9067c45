//! All engines, with the indexes that make the search for a place independent of their number.

use cowslip_config::{EngineKind, FleetSheet};
use cowslip_units::{ClockTime, DomainId, MemorySize, ModelId, UpstreamId};

use crate::engine_state::EngineState;
use crate::{UpstreamReport, WeightTier};

/// Upstreams of one failure domain that are in service, sorted by free memory.
type FreeIndex = Vec<(MemorySize, UpstreamId)>;

/// Engines sorted by upstream, with indexes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct EngineTable {
    states: Vec<EngineState>,
    /// Index by free memory, for each failure domain, sorted.
    free: Vec<(DomainId, FreeIndex)>,
    /// Failure domain and free memory under which an upstream is in `free`, sorted by upstream.
    indexed: Vec<(UpstreamId, DomainId, MemorySize)>,
    /// Checkpoints in memory or on disk, sorted.
    checkpoints: Vec<(ModelId, WeightTier, UpstreamId)>,
}

impl EngineTable {
    /// All engines, sorted by upstream.
    pub(crate) fn all(&self) -> &[EngineState] {
        &self.states
    }

    /// The engine of an upstream.
    pub(crate) fn get(&self, upstream: &UpstreamId) -> Option<&EngineState> {
        let at = self.states.binary_search_by(|engine| engine.upstream.cmp(upstream)).ok()?;
        self.states.get(at)
    }

    /// The engine of an upstream, for modification; added if it is not in the table.
    pub(crate) fn get_or_insert(&mut self, upstream: &UpstreamId) -> &mut EngineState {
        let at = match self.states.binary_search_by(|engine| engine.upstream.cmp(upstream)) {
            Ok(at) => at,
            Err(at) => {
                self.states.insert(at, EngineState::new(upstream.clone()));
                at
            }
        };
        &mut self.states[at]
    }

    /// Applies a sheet.
    pub(crate) fn set_sheet(&mut self, sheet: &FleetSheet) {
        for engine in &mut self.states {
            engine.is_declared = false;
        }
        for row in &sheet.upstreams {
            let EngineKind::Model { checks_fencing } = row.engine else {
                continue;
            };
            let engine = self.get_or_insert(&row.upstream);
            engine.domain = row.domain.clone();
            engine.declared = row.memory;
            engine.checks_fencing = checks_fencing;
            engine.slots = row.slots;
            engine.ramp_ms = row.ramp_ms;
            engine.is_declared = true;
        }
    }

    /// Applies the failure domains and upstreams that are out of service (both sorted). An upstream that
    /// returns to service starts its slow start.
    pub(crate) fn set_out_of_service(
        &mut self,
        domains: &[DomainId],
        upstreams: &[UpstreamId],
        now: ClockTime,
    ) {
        for engine in &mut self.states {
            let out = domains.binary_search(&engine.domain).is_ok();
            let out = out || upstreams.binary_search(&engine.upstream).is_ok();
            if engine.out && !out {
                engine.ramp_started_at = Some(now);
            }
            engine.out = out;
        }
    }

    /// Stores a current report and updates the checkpoint index.
    pub(crate) fn set_report(&mut self, upstream: &UpstreamId, report: UpstreamReport, now: ClockTime) {
        let engine = self.get_or_insert(upstream);
        engine.reported_at = Some(now);
        let old = std::mem::replace(&mut engine.report, report);
        if old.checkpoints == engine.report.checkpoints {
            return;
        }
        let new = engine.report.checkpoints.clone();
        for (model, tier) in old.checkpoints {
            if let Ok(at) = self.checkpoints.binary_search(&(model, tier, upstream.clone())) {
                self.checkpoints.remove(at);
            }
        }
        for (model, tier) in new {
            let entry = (model, tier, upstream.clone());
            if let Err(at) = self.checkpoints.binary_search(&entry) {
                self.checkpoints.insert(at, entry);
            }
        }
    }

    /// Updates the index by free memory.
    pub(crate) fn set_free(&mut self, upstream: &UpstreamId, free: MemorySize) {
        let Some(engine) = self.get(upstream) else {
            return;
        };
        let (domain, in_service) = (engine.domain.clone(), engine.is_in_service());
        if let Ok(at) = self.indexed.binary_search_by(|(known, _, _)| known.cmp(upstream)) {
            let (_, old_domain, old_free) = &self.indexed[at];
            if in_service && *old_domain == domain && *old_free == free {
                return;
            }
            let (_, old_domain, old_free) = self.indexed.remove(at);
            if let Ok(at) = self.free.binary_search_by(|(known, _)| known.cmp(&old_domain)) {
                let index = &mut self.free[at].1;
                if let Ok(at) = index.binary_search(&(old_free, upstream.clone())) {
                    index.remove(at);
                }
            }
        }
        if !in_service {
            return;
        }
        let at = match self.free.binary_search_by(|(known, _)| known.cmp(&domain)) {
            Ok(at) => at,
            Err(at) => {
                self.free.insert(at, (domain.clone(), Vec::new()));
                at
            }
        };
        let entry = (free, upstream.clone());
        let index = &mut self.free[at].1;
        if let Err(at) = index.binary_search(&entry) {
            index.insert(at, entry);
        }
        if let Err(at) = self.indexed.binary_search_by(|(known, _, _)| known.cmp(upstream)) {
            self.indexed.insert(at, (upstream.clone(), domain, free));
        }
    }

    /// Up to `limit` upstreams of each failure domain that have `need` free and can load now, tightest fit
    /// first.
    pub(crate) fn with_free_memory(&self, need: MemorySize, limit: usize, now: ClockTime) -> Vec<UpstreamId> {
        let mut found = Vec::new();
        for (_, index) in &self.free {
            let from = index.partition_point(|(free, _)| *free < need);
            let tail = index.get(from..).unwrap_or_default().iter().map(|(_, upstream)| upstream);
            let fit = tail.filter(|upstream| self.get(upstream).is_some_and(|engine| engine.can_load(now)));
            found.extend(fit.take(limit).cloned());
        }
        found
    }

    /// Up to `limit` upstreams that can load now and have the checkpoint in memory or on disk, fastest tier
    /// first.
    pub(crate) fn with_checkpoint(&self, model: &ModelId, limit: usize, now: ClockTime) -> Vec<UpstreamId> {
        let from = self.checkpoints.partition_point(|(known, _, _)| known < model);
        let tail = self.checkpoints.get(from..).unwrap_or_default();
        let near = tail.iter().take_while(|(known, _, _)| known == model).map(|(_, _, upstream)| upstream);
        let fit = near.filter(|upstream| self.get(upstream).is_some_and(|engine| engine.can_load(now)));
        fit.take(limit).cloned().collect()
    }

    /// Whether any upstream in service has at least this much memory in total.
    pub(crate) fn has_upstream_with_memory(&self, need: MemorySize) -> bool {
        self.states.iter().any(|engine| engine.is_in_service() && engine.memory() >= need)
    }
}
