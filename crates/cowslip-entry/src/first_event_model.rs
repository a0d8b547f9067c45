//! Time to the first event of a request at an engine of usual speed, learned from all engines of a service.

/// Time in ms of a prompt token before the first answer.
const FIRST_TOKEN_MS: f64 = 0.2;

/// Tokens that take as long as what does not depend on the prompt.
const FIXED_TOKENS: f64 = 200.0;

/// Weight of the newest answer.
const NEWEST_WEIGHT: f64 = 0.05;

/// An answer counts at most as this multiple, and at least as this part, of what was expected: it may have waited.
const MAX_RATIO: f64 = 3.0;

/// Time of a prompt token in a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEventModel {
    token_ms: f64,
    has_answer: bool,
}

impl FirstEventModel {
    /// Expected time in ms to the first event of a prompt of `tokens`, at an engine that takes `speed` times the usual
    /// time and runs `calls` in `slots`.
    pub fn expected_ms(&self, tokens: f64, speed: f64, calls: u32, slots: u32) -> f64 {
        self.token_ms * work(tokens, speed, calls, slots)
    }

    /// Records a first event after `observed_ms`; the other values are as above.
    pub fn record(&mut self, observed_ms: f64, tokens: f64, speed: f64, calls: u32, slots: u32) {
        let sample = observed_ms / work(tokens, speed, calls, slots);
        if self.has_answer {
            let bounded = sample.clamp(self.token_ms / MAX_RATIO, self.token_ms * MAX_RATIO);
            self.token_ms += NEWEST_WEIGHT * (bounded - self.token_ms);
        } else {
            (self.token_ms, self.has_answer) = (sample, true);
        }
    }
}

/// Work before the first event in tokens at usual speed. The prompts of the calls ahead share the engine: one that is
/// full takes twice the time of an idle one.
fn work(tokens: f64, speed: f64, calls: u32, slots: u32) -> f64 {
    let occupancy = f64::from(calls) / f64::from(slots.max(1));
    (tokens + FIXED_TOKENS) * speed * (1.0 + occupancy)
}

impl Default for FirstEventModel {
    fn default() -> Self {
        Self { token_ms: FIRST_TOKEN_MS, has_answer: false }
    }
}
