//! Checkpoints cached in the host's memory and on its disk.

use cowslip_platform::CheckpointTier;
use cowslip_units::ModelId;

/// Two cache tiers, each in order of use, least recent first.
#[derive(Clone, Debug)]
pub(crate) struct CheckpointCache {
    memory: Vec<ModelId>,
    memory_limit: usize,
    disk: Vec<ModelId>,
    disk_limit: usize,
}

impl CheckpointCache {
    /// Creates a cache with the given content; the limits count checkpoints.
    pub(crate) fn new(
        memory: Vec<ModelId>,
        memory_limit: usize,
        disk: Vec<ModelId>,
        disk_limit: usize,
    ) -> Self {
        Self { memory, memory_limit, disk, disk_limit }
    }

    /// Returns the fastest tier that holds the checkpoint; `Remote` when none does.
    pub(crate) fn tier(&self, name: &ModelId) -> CheckpointTier {
        if self.memory.contains(name) {
            CheckpointTier::Memory
        } else if self.disk.contains(name) {
            CheckpointTier::Disk
        } else {
            CheckpointTier::Remote
        }
    }

    /// Records a load, after which the checkpoint is on disk.
    pub(crate) fn record_load(&mut self, name: &ModelId) {
        touch(&mut self.disk, self.disk_limit, name);
    }

    /// Records an unload, after which the checkpoint stays in the host's memory.
    pub(crate) fn record_unload(&mut self, name: &ModelId) {
        touch(&mut self.memory, self.memory_limit, name);
    }

    /// Drops the memory tier, as a restart does.
    pub(crate) fn clear_memory(&mut self) {
        self.memory.clear();
    }

    /// Returns all cached checkpoints with their fastest tier, sorted by name.
    pub(crate) fn all(&self) -> Vec<(ModelId, CheckpointTier)> {
        let mut names: Vec<&ModelId> = self.memory.iter().chain(&self.disk).collect();
        names.sort();
        names.dedup();
        names.into_iter().map(|name| (name.clone(), self.tier(name))).collect()
    }
}

fn touch(names: &mut Vec<ModelId>, limit: usize, name: &ModelId) {
    names.retain(|other| other != name);
    names.push(name.clone());
    let excess = names.len().saturating_sub(limit);
    names.drain(..excess);
}
