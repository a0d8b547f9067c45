//! Which upstream last served a prompt prefix.

use std::collections::{BTreeMap, VecDeque};

use cowslip_units::UpstreamId;
use smol_str::SmolStr;

/// Where prefixes were last served; holds a bounded number and forgets the oldest.
///
/// Keys are digests that include the team, so that no team can learn of another's prompts by timing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixMemory {
    places: BTreeMap<SmolStr, UpstreamId>,
    order: VecDeque<SmolStr>,
    limit: usize,
}

impl PrefixMemory {
    /// A memory of at most `limit` prefixes.
    pub fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Remembers that `upstream` served `prefix`.
    pub fn served(&mut self, prefix: &SmolStr, upstream: &UpstreamId) {
        if self.places.insert(prefix.clone(), upstream.clone()).is_none() {
            self.order.push_back(prefix.clone());
        }
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.places.remove(&oldest);
        }
    }

    /// The upstream that last served `prefix`.
    pub fn place(&self, prefix: &SmolStr) -> Option<&UpstreamId> {
        self.places.get(prefix)
    }
}
