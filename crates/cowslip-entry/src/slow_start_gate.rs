//! Slow start: how often a gateway may send to an upstream that is warming up.
//!
//! An upstream that is warming up crashes when all gateways together send it well over its rate. A few
//! gateways, chosen by rendezvous hashing, divide the rate among them; each sends one request at a time at
//! its share. In any second they send at most the rate plus one request each, so their number is bounded by
//! the tolerance of the limit.

use cowslip_units::ClockTime;

/// Limit on requests to an upstream that is warming up, summed over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimit {
    /// Factor on the rate within any second.
    pub overrun: f64,
    /// Requests allowed on top of the rate.
    pub tolerance: f64,
}

impl SlowStartLimit {
    /// Number of gateways that may send to an upstream of this rate.
    fn max_senders(&self, per_s: f64, members: usize) -> usize {
        let allowance = (self.overrun - 1.0) * per_s + self.tolerance;
        (allowance.max(1.0) as usize).min(members.max(1))
    }
}

/// One gateway's share in the rate of one upstream that is warming up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartGate {
    next_at: ClockTime,
}

impl SlowStartGate {
    /// Time in ms until this gateway may send; `None` when it is not among the senders. `rank` is its rank
    /// among the members by rendezvous hashing.
    pub fn wait_ms(
        &self,
        limit: SlowStartLimit,
        per_s: f64,
        rank: usize,
        members: usize,
        now: ClockTime,
    ) -> Option<u64> {
        if rank >= limit.max_senders(per_s, members) {
            return None;
        }
        Some(self.next_at.since_ms(now))
    }

    /// Records a request that was sent.
    pub fn record_send(&mut self, limit: SlowStartLimit, per_s: f64, members: usize, now: ClockTime) {
        let max_senders = limit.max_senders(per_s, members) as f64;
        let pause_ms = if per_s > 0.0 { (1_000.0 * max_senders / per_s).ceil() as u64 } else { 1_000 };
        self.next_at = now.max(self.next_at).plus_ms(pause_ms);
    }
}
