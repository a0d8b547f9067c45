//! KV cache of prompt prefixes with a limited capacity.

use cowslip_units::ModelId;

/// One cached prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CachedPrefix {
    pub(crate) model: ModelId,
    pub(crate) prefix: String,
    pub(crate) tokens: u64,
}

/// Cached prefixes in order of use, least recent first.
#[derive(Clone, Debug)]
pub(crate) struct PrefixCache {
    entries: Vec<CachedPrefix>,
    limit_tokens: u64,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in tokens.
    pub(crate) fn new(limit_tokens: u64) -> Self {
        Self { entries: Vec::new(), limit_tokens }
    }

    /// Returns the number of tokens cached for a prefix; 0 when it is not cached.
    pub(crate) fn tokens(&self, model: &ModelId, prefix: &str) -> u64 {
        let found = self.entries.iter().find(|entry| entry.model == *model && entry.prefix == prefix);
        found.map_or(0, |entry| entry.tokens)
    }

    /// Adds or refreshes a prefix. Returns whether it is new, and the prefixes evicted for it.
    pub(crate) fn add(&mut self, entry: CachedPrefix) -> (bool, Vec<CachedPrefix>) {
        if entry.tokens > self.limit_tokens {
            return (false, Vec::new());
        }
        let before = self.entries.len();
        self.entries.retain(|other| other.model != entry.model || other.prefix != entry.prefix);
        let is_new = before == self.entries.len();
        self.entries.push(entry);
        let mut used: u64 = self.entries.iter().map(|entry| entry.tokens).sum();
        let mut removed = Vec::new();
        while used > self.limit_tokens && self.entries.len() > 1 {
            let oldest = self.entries.remove(0);
            used -= oldest.tokens;
            removed.push(oldest);
        }
        (is_new, removed)
    }

    /// Removes all prefixes of a model and returns them.
    pub(crate) fn remove_model(&mut self, model: &ModelId) -> Vec<CachedPrefix> {
        let (removed, kept) = self.entries.drain(..).partition(|entry| entry.model == *model);
        self.entries = kept;
        removed
    }

    pub(crate) fn clear(&mut self) {
        self.entries.clear();
    }
}
