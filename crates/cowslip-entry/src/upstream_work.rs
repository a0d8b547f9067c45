//! What a gateway knows of the work at one upstream: its own calls, those of other gateways, and whether there is
//! room for one more.
//!
//! Load this answers: some hundred gateways fill the same engines, and each learns of the others' calls one report
//! late. When an engine has few free places, all gateways would see the same ones and send together. So each may use
//! only its share of them: gateways are chosen by a hash of upstream, gateway and time.

use cowslip_units::{ClockTime, UpstreamId};

use crate::{
    AnswerCounts, FullBackoff, LatencyEstimate, PaceLine, PaceWindow, SpeedEstimate, UpstreamLoad, WorkLine,
    pair_weight, report_interval_ms,
};

/// Share of an engine's KV cache that is planned for. Expected lengths are right at the median only.
const KV_SHARE: f64 = 0.95;

/// Multiple of the expected time from which an answer is late: more than the factor by which an upstream's speed changes
/// while it works on a request. And the least time that counts as expected.
const LATE_FACTOR: f64 = 3.0;
const MIN_EXPECTED_MS: f64 = 50.0;

/// Part of the calls that an upstream may have at once which counts as its last places. With more of them free, the sends of
/// one report interval seldom fill it.
const LAST_PLACES_DIVISOR: u32 = 6;

/// Odd factor that spreads the numbers of periods over all bits.
const PERIOD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Time in ms on top of a report interval in which a send becomes known to all other gateways.
const REPORT_TRANSIT_MS: u64 = 100;

/// Limits on the work at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomLimit {
    /// Calls at once.
    pub calls: u32,
    /// Tokens of the calls at once.
    pub tokens: u64,
}

/// A gateway that looks for room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomSeeker {
    /// Hash of its name.
    pub hash: u64,
    /// Number of all gateways.
    pub members: usize,
    /// Gateways that may use one free place at the same time; most of them have no request for it just then.
    pub place_senders: f64,
}

/// Load of an upstream as it reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DatedLoad {
    load: UpstreamLoad,
    at: ClockTime,
    /// Calls of other gateways among it.
    others: u32,
}

/// Work at one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamWork {
    /// Tokens of this gateway's calls in flight.
    pub own_tokens: u64,
    /// Tokens of the other gateways' calls, as of the leader's last answer.
    pub other_tokens: u64,
    /// Backoff after a rejection by the full upstream.
    pub backoff: FullBackoff,
    /// How long work takes there.
    pub speed: SpeedEstimate,
    /// How late its answers begin.
    pub latency: LatencyEstimate,
    /// Window of calls in flight.
    pub pace: PaceWindow,
    /// Answers since the last report.
    counts: AnswerCounts,
    /// Sum and number of the factors stated since the last report.
    factors: (u64, u32),
    load: Option<DatedLoad>,
    last_send_at: Option<ClockTime>,
}

impl UpstreamWork {
    /// Work at an upstream of `slots` that has just started.
    pub fn starting(slots: u32) -> Self {
        Self {
            own_tokens: 0,
            other_tokens: 0,
            backoff: FullBackoff::default(),
            speed: SpeedEstimate::default(),
            latency: LatencyEstimate::default(),
            pace: PaceWindow::starting(slots),
            counts: AnswerCounts::default(),
            factors: (0, 0),
            load: None,
            last_send_at: None,
        }
    }

    /// Records answers of the upstream, which has `slots`.
    pub fn record_answers(&mut self, counts: AnswerCounts, slots: u32, now: ClockTime) {
        self.pace.record(counts, slots, now);
        self.counts.good += counts.good;
        self.counts.bad += counts.bad;
        self.counts.rejected += counts.rejected;
    }

    /// Records an answer that began after `observed_ms` where `expected_ms` were expected. While requests wait at the
    /// upstream, a good answer does not show that it takes more.
    pub fn record_first_event(&mut self, observed_ms: f64, expected_ms: f64, slots: u32, now: ClockTime) {
        self.latency.record(observed_ms, expected_ms, now);
        let is_late = observed_ms > LATE_FACTOR * expected_ms.max(MIN_EXPECTED_MS);
        let has_waiting = self.load.is_some_and(|dated| dated.load.waiting > 0);
        let counts = AnswerCounts {
            good: u32::from(!is_late && !has_waiting),
            bad: u32::from(is_late && !self.uses_all_slots()),
            rejected: 0,
        };
        self.record_answers(counts, slots, now);
    }

    /// Records a rejection by the upstream, which reports that it is full.
    pub fn record_rejection(&mut self, load: UpstreamLoad, own_calls: u32, now: ClockTime) {
        self.record_load(load, own_calls, now);
        self.backoff.record_rejection(now);
        let rejected = u32::from(!self.uses_all_slots());
        self.record_answers(AnswerCounts { rejected, ..AnswerCounts::default() }, load.slots, now);
    }

    /// Line for a report to the leader, whose counts begin anew; `None` when there is nothing to report.
    pub fn take_line(&mut self, upstream: &UpstreamId, born: u64) -> Option<WorkLine> {
        let counts = std::mem::take(&mut self.counts);
        let (factor_sum, factors) = std::mem::take(&mut self.factors);
        let has_answers = counts != AnswerCounts::default() || factors > 0;
        (has_answers || self.own_tokens > 0).then(|| WorkLine {
            upstream: upstream.clone(),
            tokens: self.own_tokens,
            born: if has_answers { born } else { 0 },
            good: counts.good,
            bad: counts.bad,
            rejected: counts.rejected,
            factor_sum,
            factors,
        })
    }

    /// Applies a line of the leader's.
    pub fn apply_pace(&mut self, line: &PaceLine) {
        self.pace.set_limit(line.calls);
        if let Some(factor) = line.factor {
            self.speed.set_mean(factor);
        }
    }

    /// Records a send of this gateway.
    pub fn record_send(&mut self, now: ClockTime) {
        self.last_send_at = Some(now);
    }

    /// Records a reported load, while `own_calls` of this gateway were in flight.
    pub fn record_load(&mut self, load: UpstreamLoad, own_calls: u32, now: ClockTime) {
        if let Some(factor) = load.factor {
            self.speed.record(factor, now);
            self.factors = (self.factors.0 + u64::from(factor), self.factors.1 + 1);
        }
        let others = load.total().saturating_sub(own_calls);
        self.load = Some(DatedLoad { load, at: now, others });
    }

    /// True when its answers state how long work takes there.
    pub fn states_speed(&self) -> bool {
        self.load.is_some_and(|dated| dated.load.factor.is_some())
    }

    /// True when the upstream runs as many requests as it has slots: a smaller window would not help those that wait.
    fn uses_all_slots(&self) -> bool {
        self.load.is_some_and(|dated| dated.load.running >= dated.load.slots)
    }

    /// Newest reported load, and when it arrived.
    pub fn load(&self) -> Option<(UpstreamLoad, ClockTime)> {
        self.load.map(|dated| (dated.load, dated.at))
    }

    /// Calls of other gateways: by the upstream's own report where it is newer than the leader's figures of
    /// `leader_at`, which say `other_calls`.
    pub fn other_calls(&self, other_calls: u32, leader_at: ClockTime) -> u32 {
        match self.load {
            Some(dated) if dated.at > leader_at => dated.others,
            _ => other_calls,
        }
    }

    /// True when a gateway may send a request of `tokens` to the upstream, which has `calls` in flight as far as
    /// is known.
    pub fn has_room(
        &self,
        limit: RoomLimit,
        calls: u32,
        tokens: u64,
        upstream_hash: u64,
        seeker: RoomSeeker,
        now: ClockTime,
    ) -> bool {
        let free = limit.calls.saturating_sub(calls);
        if free == 0 || self.backoff.is_running(now) || !self.has_tokens(limit, calls, tokens) {
            return false;
        }
        let is_last = free <= limit.calls.div_ceil(LAST_PLACES_DIVISOR);
        !is_last || self.has_share(free, upstream_hash, seeker, now)
    }

    /// True when the KV cache holds `tokens` more. A request larger than the planned share runs alone.
    fn has_tokens(&self, limit: RoomLimit, calls: u32, tokens: u64) -> bool {
        let planned = (limit.tokens as f64 * KV_SHARE) as u64;
        let held = self.own_tokens.saturating_add(self.other_tokens);
        calls == 0 || held.saturating_add(tokens) <= planned
    }

    /// True when this gateway may use one of the free places now. While there are few of them, it is chosen for one by
    /// the hash, and sends one request until the others know of it.
    fn has_share(&self, free: u32, upstream_hash: u64, seeker: RoomSeeker, now: ClockTime) -> bool {
        let senders = f64::from(free) * seeker.place_senders;
        let members = seeker.members as f64;
        if senders >= members {
            return true;
        }
        let period_ms = report_interval_ms(seeker.members) + REPORT_TRANSIT_MS;
        if self.last_send_at.is_some_and(|sent_at| now.since_ms(sent_at) < period_ms) {
            return false;
        }
        let period = now.millis() / period_ms;
        let weight = pair_weight(upstream_hash ^ period.wrapping_mul(PERIOD_FACTOR), seeker.hash);
        (weight as f64) * members < senders * (u64::MAX as f64)
    }
}
