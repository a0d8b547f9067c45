//! Queue of requests waiting for a slot.

use std::collections::VecDeque;

/// Numbers of waiting runs. Urgent runs come first, each class in order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunQueue {
    urgent: VecDeque<u64>,
    batch: VecDeque<u64>,
}

impl RunQueue {
    pub(crate) fn push(&mut self, number: u64, urgent: bool) {
        let queue = if urgent { &mut self.urgent } else { &mut self.batch };
        queue.push_back(number);
    }

    /// Removes and returns the next run.
    pub(crate) fn pop(&mut self) -> Option<u64> {
        self.urgent.pop_front().or_else(|| self.batch.pop_front())
    }

    /// Removes a run, wherever it is in the queue.
    pub(crate) fn remove(&mut self, number: u64) {
        self.urgent.retain(|other| *other != number);
        self.batch.retain(|other| *other != number);
    }

    pub(crate) fn clear(&mut self) {
        self.urgent.clear();
        self.batch.clear();
    }

    /// Returns the number of waiting runs.
    pub(crate) fn len(&self) -> usize {
        self.urgent.len() + self.batch.len()
    }
}
