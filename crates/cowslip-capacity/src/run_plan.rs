//! Parameters of a run.

use std::time::Duration;

use crate::{FleetGenerator, TimeMeter};

/// Seed and extent of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunPlan {
    /// Seed of all generated names and digests.
    pub seed: u64,
    /// True for a run with tiny sizes, which only checks that everything can be measured.
    pub quick: bool,
}

impl RunPlan {
    /// Returns the sizes to measure: `full` or, in a quick run, as many tiny ones.
    pub fn sizes(&self, full: &[usize]) -> Vec<usize> {
        if self.quick { (0..full.len()).map(|at| 4 + 4 * at).collect() } else { full.to_vec() }
    }

    /// Returns a fixed size: `full`, but at most 12 in a quick run.
    pub fn size(&self, full: usize) -> usize {
        if self.quick { full.min(12) } else { full }
    }

    /// Returns the meter for times.
    pub const fn meter(&self) -> TimeMeter {
        if self.quick {
            TimeMeter::new(1, Duration::from_micros(20))
        } else {
            TimeMeter::new(9, Duration::from_millis(4))
        }
    }

    /// Returns a fleet generator in its initial state.
    pub fn generator(&self) -> FleetGenerator {
        FleetGenerator::new(self.seed)
    }
}
