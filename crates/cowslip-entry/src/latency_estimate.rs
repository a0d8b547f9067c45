//! How late an upstream's answers begin, compared with what was expected of them.
//!
//! Load this answers: an upstream gets slow for a reason that it does not state, such as a bad link. The estimate
//! rises at once with a late answer and falls slowly with good ones. Without answers it ages to one, so that a slow
//! upstream is tried again.

use cowslip_units::ClockTime;

/// Weight of an answer that is later than the estimate, and of one that is earlier.
const WEIGHTS: (f64, f64) = (0.5, 0.15);

/// Time constant in ms with which the estimate ages to one.
const AGING_MS: f64 = 4_000.0;

/// Range of the ratio of one answer that counts.
const RATIO_RANGE: (f64, f64) = (0.3, 8.0);

/// Peak-sensitive moving average of the ratio of observed to expected time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    ratio: f64,
    at: ClockTime,
}

impl LatencyEstimate {
    /// Records an answer that began after `observed_ms` where `expected_ms` were expected.
    pub fn record(&mut self, observed_ms: f64, expected_ms: f64, now: ClockTime) {
        let sample = (observed_ms / expected_ms.max(1.0)).clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        let known = self.ratio(now);
        let weight = if sample > known { WEIGHTS.0 } else { WEIGHTS.1 };
        self.ratio = known + weight * (sample - known);
        self.at = now;
    }

    /// Ratio to expect of the next answer.
    pub fn ratio(&self, now: ClockTime) -> f64 {
        let weight = (-(now.since_ms(self.at) as f64) / AGING_MS).exp();
        1.0 + (self.ratio - 1.0) * weight
    }
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self { ratio: 1.0, at: ClockTime::ZERO }
    }
}
