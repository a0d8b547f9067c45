//! Output tokens that a request is expected to have.
//!
//! Callers' hints are right at the median. A request without one is taken for the mean of the recent hints of its
//! class, which is what its callers mostly send.

/// Weight of the newest hint in the mean.
const NEWEST_WEIGHT: f64 = 0.05;

/// Share of the maximum that an answer is expected to have before the first hint of its class.
const UNHINTED_SHARE: f64 = 0.5;

/// Mean of the hints by class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OutputEstimate {
    /// Priority class and mean, sorted by class.
    means: Vec<(u8, f64)>,
}

impl OutputEstimate {
    /// Expected output of a request of a class; a hint is taken over into the mean.
    pub fn expected(&mut self, class: u8, hint: Option<u64>, max_output: u64) -> u64 {
        if let Some(hint) = hint {
            self.record(class, hint.min(max_output));
            return hint.min(max_output);
        }
        let known = self.means.binary_search_by_key(&class, |(class, _)| *class);
        let mean = known.ok().and_then(|at| self.means.get(at)).map(|(_, mean)| *mean as u64);
        mean.unwrap_or((max_output as f64 * UNHINTED_SHARE) as u64).min(max_output)
    }

    fn record(&mut self, class: u8, tokens: u64) {
        let tokens = tokens as f64;
        match self.means.binary_search_by_key(&class, |(class, _)| *class) {
            Ok(at) => {
                if let Some((_, mean)) = self.means.get_mut(at) {
                    *mean += NEWEST_WEIGHT * (tokens - *mean);
                }
            }
            Err(at) => self.means.insert(at, (class, tokens)),
        }
    }
}
