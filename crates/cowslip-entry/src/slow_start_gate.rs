//! How often a gateway may send to a cold upstream.
//!
//! A cold upstream crashes when it gets well more than its rate, summed over all gateways. A few gateways, chosen by
//! rendezvous hash, share the rate; each sends one request at a time at its part of it. In any second they send at
//! most the rate and one request each, so their number is bounded by the tolerance of the limit.

use cowslip_units::ClockTime;

/// The limit on requests to a cold upstream, summed over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimit {
    /// Factor on the rate in any one second.
    pub overrun: f64,
    /// Requests on top of it.
    pub tolerance: f64,
}

impl SlowStartLimit {
    /// How many gateways may send to an upstream of this rate.
    fn senders(&self, per_s: f64, members: usize) -> usize {
        let allowance = (self.overrun - 1.0) * per_s + self.tolerance;
        (allowance.max(1.0) as usize).min(members.max(1))
    }
}

/// A gateway's part in the rate of one cold upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartGate {
    next_at: ClockTime,
}

impl SlowStartGate {
    /// Time in ms until this gateway may send; `None` when it is not among the senders. `rank` is its place among
    /// the members by rendezvous hash.
    pub fn wait_ms(
        &self,
        limit: SlowStartLimit,
        per_s: f64,
        rank: usize,
        members: usize,
        now: ClockTime,
    ) -> Option<u64> {
        if rank >= limit.senders(per_s, members) {
            return None;
        }
        Some(self.next_at.since_ms(now))
    }

    /// A request was sent.
    pub fn sent(&mut self, limit: SlowStartLimit, per_s: f64, members: usize, now: ClockTime) {
        let senders = limit.senders(per_s, members) as f64;
        let pause_ms = if per_s > 0.0 { (1_000.0 * senders / per_s).ceil() as u64 } else { 1_000 };
        self.next_at = now.max(self.next_at).plus_ms(pause_ms);
    }
}
