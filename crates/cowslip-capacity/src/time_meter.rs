//! Measures the wall time of short operations.

use std::time::{Duration, Instant};

/// Reports medians, because the machine may be shared with other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeMeter {
    runs: usize,
    batch: Duration,
}

impl TimeMeter {
    /// Creates a meter that takes the median of `runs` batches, each lasting at least `batch`.
    pub const fn new(runs: usize, batch: Duration) -> Self {
        Self { runs, batch }
    }

    /// Returns the microseconds per call of `work`, which is called many times.
    #[allow(clippy::cast_precision_loss)]
    pub fn micros(&self, mut work: impl FnMut()) -> f64 {
        let mut calls = 1_u32;
        while calls < 1 << 24 {
            let start = Instant::now();
            (0..calls).for_each(|_| work());
            if start.elapsed() >= self.batch {
                break;
            }
            calls *= 2;
        }
        let times = (0..self.runs).map(|_| {
            let start = Instant::now();
            (0..calls).for_each(|_| work());
            start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
        });
        median(times.collect())
    }

    /// Returns the microseconds per call of `work` on a state that `set_up` creates for each call, outside of
    /// the measured time.
    pub fn micros_on<S, T>(&self, mut set_up: impl FnMut() -> S, mut work: impl FnMut(&mut S) -> T) -> f64 {
        let times = (0..self.runs * 3).map(|_| {
            let mut state = set_up();
            let start = Instant::now();
            let result = std::hint::black_box(work(&mut state));
            let micros = start.elapsed().as_secs_f64() * 1e6;
            drop(result);
            micros
        });
        median(times.collect())
    }
}

/// Returns the upper median of the values; 0 when there are none.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
