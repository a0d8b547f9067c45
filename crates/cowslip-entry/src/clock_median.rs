//! The leader's estimate of the true time of day: the median over the gateways.
//!
//! Load this answers: 30% of the VMs step by 2 s for seconds. The median of all does not follow them.

use cowslip_units::{ClockTime, DayTime};
use smol_str::SmolStr;

use crate::wall_clock::clock_zero;

/// Time in ms after which a gateway's time of day no longer counts.
const SAMPLE_EXPIRY_MS: u64 = 6_000;

#[derive(Clone, Debug, PartialEq, Eq)]
struct DaySample {
    gateway: SmolStr,
    /// The gateway's time of day at the zero of the leader's monotonic clock.
    zero: DayTime,
    at: ClockTime,
}

/// Times of day of all gateways, sorted by gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClockMedian {
    samples: Vec<DaySample>,
}

impl ClockMedian {
    /// Without any report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time of day in a report that arrives `now`.
    pub fn record_report(&mut self, gateway: &SmolStr, day: DayTime, now: ClockTime) {
        let sample = DaySample { gateway: gateway.clone(), zero: clock_zero(day, now), at: now };
        match self.samples.binary_search_by(|known| known.gateway.cmp(gateway)) {
            Ok(at) => self.samples[at] = sample,
            Err(at) => self.samples.insert(at, sample),
        }
    }

    /// True time of day; `None` before more than half of a fleet of that size has reported: the first ones may
    /// be those whose clocks have stepped.
    pub fn day(&self, fleet: usize, now: ClockTime) -> Option<DayTime> {
        let current = self.samples.iter().filter(|sample| now.since_ms(sample.at) < SAMPLE_EXPIRY_MS);
        let mut zeros: Vec<DayTime> = current.map(|sample| sample.zero).collect();
        if zeros.len() * 2 <= fleet {
            return None;
        }
        zeros.sort_unstable();
        let zero = zeros.get(zeros.len() / 2)?;
        Some(zero.plus_ms(now.millis()))
    }
}
