//! A router's estimate of the load of one upstream.

use std::collections::VecDeque;

use cowslip_units::ClockTime;

use crate::CircuitBreaker;

/// Age in ms beyond which a load report is ignored.
const MAX_REPORT_AGE_MS: u64 = 5_000;
/// Limit on remembered changes of the own requests in flight; older ones matter only for late reports.
const MAX_HISTORY: usize = 64;
/// Moving averages give the newest sample a weight of one in this many.
const AVERAGE_WEIGHT: u64 = 4;
/// Assumed duration in ms of a request at an upstream that has not answered yet.
const FIRST_SERVICE_MS: u64 = 500;

/// Load of an upstream: a late report, corrected by what this router has sent since.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    in_flight: u32,
    history: VecDeque<(ClockTime, u32)>,
    report: Option<(ClockTime, u32)>,
    service_ms: Option<u64>,
    first_byte_ms: Option<u64>,
    /// Circuit breaker of the upstream.
    pub breaker: CircuitBreaker,
}

impl UpstreamLoad {
    /// Requests of this router in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Moving average in ms of the time to the first byte.
    pub const fn first_byte_ms(&self) -> Option<u64> {
        self.first_byte_ms
    }

    /// Moving average in ms of the duration of a whole request.
    pub fn service_ms(&self) -> u64 {
        self.service_ms.unwrap_or(FIRST_SERVICE_MS)
    }

    /// Applies a load report: `queued` requests were queued or running at `taken_at`. An older report than
    /// the known one is ignored.
    pub fn reported(&mut self, taken_at: ClockTime, queued: u32) {
        if self.report.is_none_or(|(earlier, _)| earlier <= taken_at) {
            self.report = Some((taken_at, queued));
        }
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: ClockTime) {
        self.change(now, self.in_flight + 1);
        self.breaker.sent(now);
    }

    /// Records that a request ended.
    pub fn ended(&mut self, now: ClockTime) {
        self.change(now, self.in_flight.saturating_sub(1));
    }

    /// Updates the moving averages with an answered request.
    pub fn timed(&mut self, first_byte_ms: u64, service_ms: u64) {
        self.first_byte_ms = Some(average(self.first_byte_ms, first_byte_ms));
        self.service_ms = Some(average(self.service_ms, service_ms));
    }

    /// Estimated number of requests queued and running there now.
    pub fn estimate(&self, now: ClockTime) -> u32 {
        let Some((taken_at, queued)) = self.report else {
            return self.in_flight;
        };
        if now.since_ms(taken_at) > MAX_REPORT_AGE_MS {
            return self.in_flight;
        }
        let others = queued.saturating_sub(self.in_flight_at(taken_at));
        others.saturating_add(self.in_flight)
    }

    /// Expected time in ms until a new request is served by an upstream that runs `slots` requests at once.
    pub fn expected_wait_ms(&self, now: ClockTime, slots: u32) -> u64 {
        let load = u64::from(self.estimate(now)) + 1;
        load * self.service_ms() / u64::from(slots.max(1))
    }

    fn in_flight_at(&self, time: ClockTime) -> u32 {
        let last_change = self.history.iter().rev().find(|(at, _)| *at <= time);
        last_change.map_or(0, |(_, count)| *count)
    }

    fn change(&mut self, now: ClockTime, in_flight: u32) {
        self.in_flight = in_flight;
        // Removed before the push: one more entry would double the capacity of the queue.
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, in_flight));
    }
}

fn average(old: Option<u64>, sample: u64) -> u64 {
    old.map_or(sample, |old| (old * (AVERAGE_WEIGHT - 1) + sample) / AVERAGE_WEIGHT)
}
