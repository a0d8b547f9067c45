//! Circuit breaker for one upstream.

use cowslip_units::ClockTime;

/// Consecutive failures that open the breaker.
const MAX_FAILURES: u32 = 5;
/// Consecutive slow answers that open the breaker.
const MAX_SLOW_ANSWERS: u32 = 8;
/// An answer is slow when its latency exceeds that of its peers by this factor, plus [`SLOW_FLOOR_MS`].
const SLOW_FACTOR: u64 = 4;
/// Latency in ms that is never slow, so that noise among fast peers does not open the breaker.
const SLOW_FLOOR_MS: u64 = 250;
/// Initial time in ms for which the breaker stays open.
const FIRST_OPEN_MS: u64 = 1_000;
/// Longest time in ms for which the breaker stays open.
const MAX_OPEN_MS: u64 = 30_000;
/// Time in ms after which a probe without an outcome has timed out.
const PROBE_TIMEOUT_MS: u64 = 30_000;

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BreakerState {
    /// Requests are sent.
    #[default]
    Closed,
    /// No requests are sent until the given time.
    Open {
        /// When a probe may be sent.
        until: ClockTime,
    },
    /// One probe is in flight.
    HalfOpen {
        /// When the probe was sent.
        since: ClockTime,
    },
}

/// Opens on failures or on latency far above that of the upstream's peers; probes with a single request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    state: BreakerState,
    failures: u32,
    slow_answers: u32,
    open_ms: u64,
}

impl CircuitBreaker {
    /// A closed breaker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Current state; an open breaker stays `Open` until the probe is sent.
    pub const fn state(&self) -> BreakerState {
        self.state
    }

    /// True when a request may be sent now.
    pub const fn can_send(&self, now: ClockTime) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { until } => now.millis() >= until.millis(),
            BreakerState::HalfOpen { since } => now.since_ms(since) >= PROBE_TIMEOUT_MS,
        }
    }

    /// Records that a request was sent; after an open period it is the probe.
    pub const fn sent(&mut self, now: ClockTime) {
        if !matches!(self.state, BreakerState::Closed) {
            self.state = BreakerState::HalfOpen { since: now };
        }
    }

    /// Records a request without an outcome (refused without running, or cancelled by its caller).
    pub const fn undecided(&mut self, now: ClockTime) {
        if matches!(self.state, BreakerState::HalfOpen { .. }) {
            self.state = BreakerState::Open { until: now };
        }
    }

    /// Records a failed request.
    pub fn failed(&mut self, now: ClockTime) {
        self.failures += 1;
        let probe = matches!(self.state, BreakerState::HalfOpen { .. });
        if probe || (self.failures >= MAX_FAILURES && self.state == BreakerState::Closed) {
            self.open(now);
        }
    }

    /// Records an answered request with its first byte after `latency_ms`; `peers_ms` is the latency of the
    /// peers.
    pub fn succeeded(&mut self, now: ClockTime, latency_ms: u64, peers_ms: Option<u64>) {
        self.failures = 0;
        let limit_ms = peers_ms.map_or(u64::MAX, |peers| peers.saturating_mul(SLOW_FACTOR) + SLOW_FLOOR_MS);
        if latency_ms <= limit_ms {
            *self = Self::default();
            return;
        }
        self.slow_answers += 1;
        let probe = matches!(self.state, BreakerState::HalfOpen { .. });
        if probe || (self.slow_answers >= MAX_SLOW_ANSWERS && self.state == BreakerState::Closed) {
            self.open(now);
        }
    }

    fn open(&mut self, now: ClockTime) {
        self.open_ms = (self.open_ms * 2).clamp(FIRST_OPEN_MS, MAX_OPEN_MS);
        self.state = BreakerState::Open { until: now.plus_ms(self.open_ms) };
        self.failures = 0;
        self.slow_answers = 0;
    }
}
