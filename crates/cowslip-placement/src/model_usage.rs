//! Arrival rate of a model.

use cowslip_units::{ClockTime, ModelId};

/// Time constant of the arrival rate in ms, and so the horizon of the expected reuse; the models served here
/// are used in bursts of some minutes with long pauses between them.
pub const RATE_DECAY_MS: f64 = 900_000.0;

/// Usage of one model, including its adapters.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelUsage {
    /// The model.
    pub model: ModelId,
    /// Arrivals up to `counted_at`, weighted by age.
    pub arrivals: f64,
    /// When `arrivals` was last updated.
    pub counted_at: ClockTime,
    /// When a request was last waiting or running.
    pub active_at: ClockTime,
}

impl ModelUsage {
    /// A model without any use.
    pub const fn new(model: ModelId) -> Self {
        Self { model, arrivals: 0.0, counted_at: ClockTime::ZERO, active_at: ClockTime::ZERO }
    }

    /// Adds `count` arrivals at `now`; the earlier ones decay until then.
    pub fn add_arrivals(&mut self, count: u32, now: ClockTime) {
        self.arrivals = self.weight(now) + f64::from(count);
        self.counted_at = now;
    }

    /// The weighted arrivals as of `now`.
    #[allow(clippy::cast_precision_loss)]
    pub fn weight(&self, now: ClockTime) -> f64 {
        self.arrivals * (-(now.since_ms(self.counted_at) as f64) / RATE_DECAY_MS).exp()
    }
}
