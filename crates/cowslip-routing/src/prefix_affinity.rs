//! Affinity of prompt prefixes to the upstreams that served them.

use std::collections::{BTreeMap, VecDeque};

use cowslip_units::UpstreamId;
use smol_str::SmolStr;

/// The upstream that last served each prefix; bounded, with eviction of the oldest entry.
///
/// Keys are digests that include the team, so that no team can probe another's prompts by timing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixAffinity {
    upstreams: BTreeMap<SmolStr, UpstreamId>,
    order: VecDeque<SmolStr>,
    limit: usize,
}

impl PrefixAffinity {
    /// Keeps at most `limit` prefixes.
    pub fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Records that `upstream` served `prefix`.
    pub fn served(&mut self, prefix: &SmolStr, upstream: &UpstreamId) {
        if self.upstreams.insert(prefix.clone(), upstream.clone()).is_none() {
            self.order.push_back(prefix.clone());
        }
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.upstreams.remove(&oldest);
        }
    }

    /// The upstream that last served `prefix`; `None` when it was never served or has been evicted.
    pub fn upstream_for(&self, prefix: &SmolStr) -> Option<&UpstreamId> {
        self.upstreams.get(prefix)
    }
}
