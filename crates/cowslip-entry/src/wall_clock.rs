//! A gateway's estimate of the true time of day.
//!
//! Load this answers: a VM's time of day may step by seconds, and differs between VMs. The leader sends the median of
//! all gateways in its answers; the gateway's monotonic clock goes on from the answer with the shortest round trip.

use std::collections::VecDeque;

use cowslip_units::{ClockTime, DayTime};

/// Number of answers among which the one with the shortest round trip is used.
const MAX_SAMPLES: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClockSample {
    /// True time of day at the zero of the monotonic clock.
    zero: DayTime,
    round_trip_ms: u64,
}

/// True time of day as the leader's answers give it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WallClock {
    samples: VecDeque<ClockSample>,
}

impl WallClock {
    /// A clock without an answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an answer that arrives `now` to a report of `sent_at`, with the leader's time of day.
    pub fn record_answer(&mut self, day: DayTime, sent_at: ClockTime, now: ClockTime) {
        let round_trip_ms = now.since_ms(sent_at);
        let zero = clock_zero(day.plus_ms(round_trip_ms / 2), now);
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(ClockSample { zero, round_trip_ms });
    }

    /// True time of day; `None` before the first answer.
    pub fn day(&self, now: ClockTime) -> Option<DayTime> {
        let best = self.samples.iter().rev().min_by_key(|sample| sample.round_trip_ms)?;
        Some(best.zero.plus_ms(now.millis()))
    }
}

/// Time of day at the zero of a monotonic clock that shows `now` at `day`.
pub(crate) const fn clock_zero(day: DayTime, now: ClockTime) -> DayTime {
    DayTime::new(day.get().saturating_sub(now.millis()))
}
