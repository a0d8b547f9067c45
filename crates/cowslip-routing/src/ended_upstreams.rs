//! Bounds the number of upstreams that may end under one request.
//!
//! An upstream that ends while it runs a request may have ended because of it. The next one would end too, so
//! such a request is sent again a few times at most, whatever the retry budget allows. One upstream that ends
//! again and again says less about the request than several do.

use cowslip_units::UpstreamId;

/// Upstreams that ended while they ran one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedUpstreams {
    /// In the order of their ends; an upstream that ended twice is listed twice.
    ids: Vec<UpstreamId>,
    limit: usize,
    limit_at_one: usize,
}

impl EndedUpstreams {
    /// No upstream so far, of at most `limit`.
    pub const fn new(limit: usize) -> Self {
        Self { ids: Vec::new(), limit, limit_at_one: limit }
    }

    /// Sets the limit that holds while it was always the same upstream.
    #[must_use]
    pub const fn with_limit_at_one(mut self, limit: usize) -> Self {
        self.limit_at_one = limit;
        self
    }

    /// Adds an upstream that has ended.
    pub fn add(&mut self, upstream: UpstreamId) {
        self.ids.push(upstream);
    }

    /// Adds those that ended under one run of the request.
    pub fn add_all(&mut self, run: &Self) {
        self.ids.extend_from_slice(&run.ids);
    }

    /// Begins with those of an earlier owner of the request.
    pub fn begin_with(&mut self, earlier: &[UpstreamId]) {
        if self.ids.len() < earlier.len() {
            self.ids = earlier.to_vec();
        }
    }

    /// Upstreams that have ended, in order.
    pub fn ids(&self) -> &[UpstreamId] {
        &self.ids
    }

    /// True when no further upstream may be risked.
    pub fn is_exhausted(&self) -> bool {
        let is_one = self.ids.windows(2).all(|pair| pair.first() == pair.last());
        self.ids.len() >= if is_one { self.limit_at_one } else { self.limit }
    }
}
