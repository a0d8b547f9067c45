//! Selection of an upstream for a request.
//!
//! A few candidates are drawn at random and the one with the shortest expected wait is selected. The cost
//! therefore does not grow with the number of upstreams, and routers whose load reports are equally late do
//! not all select the same one.

use std::collections::BTreeMap;

use cowslip_units::{ClockTime, UpstreamId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use crate::{CallOutcome, ChoiceCandidate, PrefixAffinity, UpstreamLoad};

/// Candidates compared for each request. Two give most of the benefit; four also find a recently started,
/// idle upstream soon.
const SAMPLE_SIZE: usize = 4;
/// Draws before the rest is searched in order, for fleets in which most upstreams cannot take the request.
const MAX_DRAWS: usize = 16;
/// Limit on remembered prefixes; about 1 MB.
const MAX_PREFIXES: usize = 4_096;
/// Prompt tokens in a cached prefix that save one ms of prefill.
const PREFILL_TOKENS_PER_MS: u64 = 4;
/// Expected cost in ms of borrowing a permit from another router.
const BORROW_MS: u64 = 4;
/// Limit on peers whose latency is compared.
const MAX_PEERS: usize = 8;

/// Selects upstreams by this router's estimates of their load.
#[derive(Clone, Debug)]
pub struct UpstreamSelector {
    loads: BTreeMap<UpstreamId, UpstreamLoad>,
    prefixes: PrefixAffinity,
    random: ChaCha8Rng,
}

/// Prefix of a request's prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Digest of team, model and the beginning of the prompt.
    pub digest: SmolStr,
    /// Prompt length in tokens.
    pub tokens: u64,
}

impl UpstreamSelector {
    /// A selector whose random draws are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            loads: BTreeMap::new(),
            prefixes: PrefixAffinity::new(MAX_PREFIXES),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Selects one of the `upstreams` for which `candidate_for` returns a candidate; `None` when none can
    /// take the request now.
    pub fn choose(
        &mut self,
        now: ClockTime,
        upstreams: &[UpstreamId],
        prefix: Option<&PromptPrefix>,
        mut candidate_for: impl FnMut(&UpstreamId) -> Option<ChoiceCandidate>,
    ) -> Option<UpstreamId> {
        let best = self.least_wait(now, upstreams, &mut candidate_for)?;
        let Some(prefix) = prefix else {
            return Some(best.1.clone());
        };
        let affine = self.prefixes.upstream_for(&prefix.digest).and_then(|upstream| {
            let listed = upstreams.iter().find(|listed| *listed == upstream)?;
            Some((self.wait_of(now, listed, &mut candidate_for)?, listed))
        });
        match affine {
            // Prefill saved at the affine upstream outweighs a somewhat longer wait there.
            Some((wait_ms, upstream)) if wait_ms <= best.0 + prefix.tokens / PREFILL_TOKENS_PER_MS => {
                Some(upstream.clone())
            }
            _ => Some(best.1.clone()),
        }
    }

    /// Records that a request was sent to `upstream`.
    pub fn sent(&mut self, now: ClockTime, upstream: &UpstreamId, prefix: Option<&PromptPrefix>) {
        self.loads.entry(upstream.clone()).or_default().sent(now);
        if let Some(prefix) = prefix {
            self.prefixes.served(&prefix.digest, upstream);
        }
    }

    /// Records the end of a request to `upstream`; `peers` are upstreams that serve the same requests.
    pub fn ended(
        &mut self,
        now: ClockTime,
        upstream: &UpstreamId,
        outcome: CallOutcome,
        peers: &[UpstreamId],
    ) {
        let peers_ms = self.peer_latency(upstream, peers);
        let load = self.loads.entry(upstream.clone()).or_default();
        load.ended(now);
        match outcome {
            CallOutcome::Answered { first_byte_ms, service_ms } => {
                load.timed(first_byte_ms, service_ms);
                load.breaker.succeeded(now, first_byte_ms, peers_ms);
            }
            CallOutcome::Failed => load.breaker.failed(now),
            CallOutcome::Undecided => load.breaker.undecided(now),
        }
    }

    /// Applies a load report of `upstream` taken at `taken_at`.
    pub fn reported(&mut self, upstream: &UpstreamId, taken_at: ClockTime, queued: u32) {
        self.loads.entry(upstream.clone()).or_default().reported(taken_at, queued);
    }

    /// Drops upstreams for which `kept` is false, unless a request is in flight there.
    pub fn retain(&mut self, mut kept: impl FnMut(&UpstreamId) -> bool) {
        self.loads.retain(|upstream, load| load.in_flight() > 0 || kept(upstream));
    }

    /// Load of `upstream`; `None` if it was never used or reported.
    pub fn load(&self, upstream: &UpstreamId) -> Option<&UpstreamLoad> {
        self.loads.get(upstream)
    }

    fn least_wait<'a>(
        &mut self,
        now: ClockTime,
        upstreams: &'a [UpstreamId],
        candidate_for: &mut impl FnMut(&UpstreamId) -> Option<ChoiceCandidate>,
    ) -> Option<(u64, &'a UpstreamId)> {
        let mut best: Option<(u64, &UpstreamId)> = None;
        let mut compared = 0;
        let mut compare = |selector: &Self, upstream: &'a UpstreamId| {
            if let Some(wait_ms) = selector.wait_of(now, upstream, candidate_for) {
                compared += 1;
                if best.is_none_or(|(least, _)| wait_ms < least) {
                    best = Some((wait_ms, upstream));
                }
            }
            compared
        };
        let start = if upstreams.is_empty() { 0 } else { self.random.random_range(0..upstreams.len()) };
        let in_order = upstreams.iter().cycle().skip(start).take(upstreams.len());
        if upstreams.len() <= MAX_DRAWS {
            in_order.for_each(|upstream| {
                compare(self, upstream);
            });
            return best;
        }
        for _ in 0..MAX_DRAWS {
            let at = self.random.random_range(0..upstreams.len());
            if upstreams.get(at).is_some_and(|upstream| compare(self, upstream) >= SAMPLE_SIZE) {
                return best;
            }
        }
        for upstream in in_order {
            if compare(self, upstream) > 0 {
                break;
            }
        }
        best
    }

    fn wait_of(
        &self,
        now: ClockTime,
        upstream: &UpstreamId,
        candidate_for: &mut impl FnMut(&UpstreamId) -> Option<ChoiceCandidate>,
    ) -> Option<u64> {
        let load = self.loads.get(upstream);
        if load.is_some_and(|load| !load.breaker.can_send(now)) {
            return None;
        }
        let candidate = candidate_for(upstream)?;
        let borrow_ms = if candidate.has_own_permit { 0 } else { BORROW_MS };
        let wait_ms = match load {
            Some(load) => load.expected_wait_ms(now, candidate.slots),
            None => UpstreamLoad::default().expected_wait_ms(now, candidate.slots),
        };
        Some(wait_ms + borrow_ms)
    }

    /// Median time in ms to the first byte at the other upstreams of `peers`; `None` when none of them has
    /// answered.
    fn peer_latency(&self, upstream: &UpstreamId, peers: &[UpstreamId]) -> Option<u64> {
        let others = peers.iter().filter(|peer| *peer != upstream).take(MAX_PEERS);
        let mut latencies: Vec<u64> =
            others.filter_map(|peer| self.loads.get(peer)?.first_byte_ms()).collect();
        latencies.sort_unstable();
        latencies.get(latencies.len() / 2).copied()
    }
}
