//! Selects every K-th call for a fault.

/// Counts calls and selects every K-th.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallCounter {
    calls: u64,
}

impl CallCounter {
    /// Counts a call. Returns true for every `every`-th call, and for each call when `every` is 0 or 1.
    pub(crate) fn count_and_select(&mut self, every: u64) -> bool {
        self.calls += 1;
        self.calls.is_multiple_of(every.max(1))
    }
}
