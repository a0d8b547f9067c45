//! How many loads the weight store runs at full speed, found from how long loads take.
//!
//! Load this answers: the store does not publish the number, and each load beyond it slows down all others. With four times
//! as many at once, a replica that a busy model needs in eleven seconds comes after forty, and every engine that waits for
//! the store takes no other order meanwhile.

use cowslip_units::ClockTime;

/// Loads that are started at once before any was measured.
const FIRST_AT_ONCE: usize = 2;

/// Largest number of loads at once that is assumed.
const MAX_AT_ONCE: usize = 16;

/// Factor on the expected time from which a load counts as slowed down by others.
const SLOWED_FACTOR: f64 = 1.25;

/// Time during which loads run, summed over them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LoadTime {
    load_ms: f64,
    updated_at: ClockTime,
}

/// A load from the weight store that runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunningLoad {
    began_at: ClockTime,
    /// Time in ms that it should take at full speed.
    expected_ms: u64,
    /// Load time summed over all loads until then.
    load_ms: f64,
}

/// The measured speed of the weight store.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StoreSpeed {
    at_once: usize,
    total: LoadTime,
    /// Factor by which the last loads took longer than at full speed.
    slowdown: f64,
}

/// Weight of the newest load in that factor.
const NEWEST_WEIGHT: f64 = 0.3;

impl StoreSpeed {
    /// The assumption before any load was measured.
    pub(crate) fn new(now: ClockTime) -> Self {
        Self { at_once: FIRST_AT_ONCE, total: LoadTime { load_ms: 0.0, updated_at: now }, slowdown: 1.0 }
    }

    /// Loads that run at full speed at the same time.
    pub(crate) const fn at_once(&self) -> usize {
        self.at_once
    }

    /// Factor by which loads take longer than at full speed.
    pub(crate) const fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Counts the time since the last call, in which `running` loads ran.
    pub(crate) fn record_running(&mut self, running: usize, now: ClockTime) {
        let elapsed_ms = now.since_ms(self.total.updated_at) as f64;
        self.total = LoadTime { load_ms: self.total.load_ms + elapsed_ms * running as f64, updated_at: now };
    }

    /// Begins the measurement of a load that should take `expected_ms` at full speed.
    pub(crate) const fn begin(&self, expected_ms: u64, now: ClockTime) -> RunningLoad {
        RunningLoad { began_at: now, expected_ms, load_ms: self.total.load_ms }
    }

    /// Applies a load that has ended.
    pub(crate) fn record_end(&mut self, load: RunningLoad, now: ClockTime) {
        let took_ms = now.since_ms(load.began_at) as f64;
        if took_ms <= 0.0 || load.expected_ms == 0 {
            return;
        }
        let running = ((self.total.load_ms - load.load_ms) / took_ms).max(1.0);
        let slowdown = took_ms / load.expected_ms as f64;
        self.slowdown += NEWEST_WEIGHT * (slowdown.max(1.0) - self.slowdown);
        if slowdown >= SLOWED_FACTOR {
            self.at_once = ((running / slowdown).round() as usize).clamp(1, MAX_AT_ONCE);
        } else if running + 0.5 >= self.at_once as f64 {
            self.at_once = (self.at_once + 1).min(MAX_AT_ONCE);
        }
    }
}
