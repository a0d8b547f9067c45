//! All upstreams with the indexes by which the planner finds places without looking at each of them.

use cowslip_config::{EngineKind, FleetSheet};
use cowslip_units::{ClockTime, DomainId, MemorySize, ModelId, UpstreamId};

use crate::upstream_slot::UpstreamSlot;
use crate::{UpstreamReport, WeightTier};

/// Upstreams in service of one failure domain by free memory, sorted.
type FreeIndex = Vec<(MemorySize, UpstreamId)>;

/// Upstreams, sorted, with indexes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct UpstreamBoard {
    slots: Vec<UpstreamSlot>,
    /// By failure domain, sorted.
    free: Vec<(DomainId, FreeIndex)>,
    /// Free memory and failure domain under which an upstream is in `free`, sorted by upstream.
    indexed: Vec<(UpstreamId, DomainId, MemorySize)>,
    /// Checkpoints at hand, sorted.
    checkpoints: Vec<(ModelId, WeightTier, UpstreamId)>,
}

impl UpstreamBoard {
    /// All upstreams.
    pub(crate) fn slots(&self) -> &[UpstreamSlot] {
        &self.slots
    }

    /// The upstream.
    pub(crate) fn slot(&self, upstream: &UpstreamId) -> Option<&UpstreamSlot> {
        let at = self.slots.binary_search_by(|slot| slot.upstream.cmp(upstream)).ok()?;
        self.slots.get(at)
    }

    /// The upstream, to change; added if it is not known.
    pub(crate) fn slot_mut(&mut self, upstream: &UpstreamId) -> &mut UpstreamSlot {
        let at = match self.slots.binary_search_by(|slot| slot.upstream.cmp(upstream)) {
            Ok(at) => at,
            Err(at) => {
                self.slots.insert(at, UpstreamSlot::new(upstream.clone()));
                at
            }
        };
        &mut self.slots[at]
    }

    /// Takes over what the sheet declares.
    pub(crate) fn set_sheet(&mut self, sheet: &FleetSheet) {
        for slot in &mut self.slots {
            slot.in_sheet = false;
        }
        for row in &sheet.upstreams {
            let EngineKind::Model { checks_fencing } = row.engine else {
                continue;
            };
            let slot = self.slot_mut(&row.upstream);
            slot.domain = row.domain.clone();
            slot.declared = row.memory;
            slot.checks_fencing = checks_fencing;
            slot.slots = row.slots;
            slot.ramp_ms = row.ramp_ms;
            slot.in_sheet = true;
        }
    }

    /// Takes over which failure domains and upstreams are out (both sorted). A returned one ramps up.
    pub(crate) fn set_outs(&mut self, domains: &[DomainId], upstreams: &[UpstreamId], now: ClockTime) {
        for slot in &mut self.slots {
            let out = domains.binary_search(&slot.domain).is_ok();
            let out = out || upstreams.binary_search(&slot.upstream).is_ok();
            if slot.out && !out {
                slot.ramp_since = Some(now);
            }
            slot.out = out;
        }
    }

    /// Takes a current report over.
    pub(crate) fn set_report(&mut self, upstream: &UpstreamId, report: UpstreamReport, now: ClockTime) {
        let slot = self.slot_mut(upstream);
        slot.reported_at = Some(now);
        let old = std::mem::replace(&mut slot.report, report);
        if old.checkpoints == slot.report.checkpoints {
            return;
        }
        let new = slot.report.checkpoints.clone();
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

    /// Brings the index by free memory up to date.
    pub(crate) fn set_free(&mut self, upstream: &UpstreamId, free: MemorySize) {
        let Some(slot) = self.slot(upstream) else {
            return;
        };
        let (domain, listed) = (slot.domain.clone(), slot.in_service());
        if let Ok(at) = self.indexed.binary_search_by(|(known, _, _)| known.cmp(upstream)) {
            let (_, old_domain, old_free) = &self.indexed[at];
            if listed && *old_domain == domain && *old_free == free {
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
        if !listed {
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

    /// Up to `limit` upstreams of each failure domain that have `need` free and take loads now, tightest first.
    pub(crate) fn with_room(&self, need: MemorySize, limit: usize, now: ClockTime) -> Vec<UpstreamId> {
        let mut found = Vec::new();
        for (_, index) in &self.free {
            let from = index.partition_point(|(free, _)| *free < need);
            let tail = index.get(from..).unwrap_or_default().iter().map(|(_, upstream)| upstream);
            let fit = tail.filter(|upstream| self.slot(upstream).is_some_and(|slot| slot.takes_loads(now)));
            found.extend(fit.take(limit).cloned());
        }
        found
    }

    /// Up to `limit` upstreams that take loads now and have the checkpoint at hand, nearest tier first.
    pub(crate) fn with_checkpoint(&self, model: &ModelId, limit: usize, now: ClockTime) -> Vec<UpstreamId> {
        let from = self.checkpoints.partition_point(|(known, _, _)| known < model);
        let tail = self.checkpoints.get(from..).unwrap_or_default();
        let near = tail.iter().take_while(|(known, _, _)| known == model).map(|(_, _, upstream)| upstream);
        let fit = near.filter(|upstream| self.slot(upstream).is_some_and(|slot| slot.takes_loads(now)));
        fit.take(limit).cloned().collect()
    }

    /// Whether any upstream in service has this much memory in all.
    pub(crate) fn any_bears(&self, need: MemorySize) -> bool {
        self.slots.iter().any(|slot| slot.in_service() && slot.memory() >= need)
    }
}
