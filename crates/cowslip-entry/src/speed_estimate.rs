//! How long work takes at one upstream, in percent of the usual time.
//!
//! Load this answers: upstreams differ for good, and each is also slower for fractions of a second at a time. Their
//! answers state the factor of the moment, which soon says nothing any more; what remains is the mean.

use cowslip_units::ClockTime;

use crate::USUAL_FACTOR;

/// Time constant in ms with which a stated factor ages to the mean: an upstream's state changes about every 600 ms.
const MOMENT_MS: f64 = 600.0;

/// Smallest weight of a new factor in the mean.
const MIN_WEIGHT: f64 = 0.1;

/// Mean and newest factor of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    mean: f64,
    newest: f64,
    at: ClockTime,
    /// Factors that the mean is made of, and one for the usual factor that it starts from.
    samples: f64,
}

impl SpeedEstimate {
    /// Records a factor that an answer states.
    pub fn record(&mut self, factor: u32, now: ClockTime) {
        self.samples += 1.0;
        let factor = f64::from(factor);
        self.mean += (factor - self.mean) * (1.0 / self.samples).max(MIN_WEIGHT);
        (self.newest, self.at) = (factor, now);
    }

    /// Takes over the mean of the whole fleet, which has more answers.
    pub fn set_mean(&mut self, factor: u32) {
        self.mean = f64::from(factor);
    }

    /// Lasting share of the usual time: 1.0 is usual.
    pub fn lasting(&self) -> f64 {
        self.mean / f64::from(USUAL_FACTOR)
    }

    /// Share of the usual time to expect now.
    pub fn current(&self, now: ClockTime) -> f64 {
        let weight = (-(now.since_ms(self.at) as f64) / MOMENT_MS).exp();
        (self.mean + (self.newest - self.mean) * weight) / f64::from(USUAL_FACTOR)
    }
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        let usual = f64::from(USUAL_FACTOR);
        Self { mean: usual, newest: usual, at: ClockTime::ZERO, samples: 1.0 }
    }
}
