//! Event log of the prefix cache, published with a lag and with gaps.

use std::collections::VecDeque;

use cowslip_platform::CacheEvent;
use cowslip_units::ModelId;

/// Events kept for readers; older ones are dropped.
const MAX_EVENTS: usize = 4_096;

/// Events of an engine's prefix cache. The sequence continues after a restart, with a gap.
#[derive(Clone, Debug)]
pub(crate) struct CacheLog {
    events: VecDeque<(u64, CacheEvent)>,
    last_sequence: u64,
    lag_ms: u64,
    gap_every: u64,
}

impl CacheLog {
    /// Creates a log that publishes events `lag_ms` late and loses every `gap_every`-th; 0 means none.
    pub(crate) fn new(lag_ms: u64, gap_every: u64) -> Self {
        Self { events: VecDeque::new(), last_sequence: 0, lag_ms, gap_every }
    }

    /// Appends an event.
    pub(crate) fn push(&mut self, now_ms: u64, model: &ModelId, prefix: &str, present: bool) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        if self.gap_every > 0 && sequence.is_multiple_of(self.gap_every) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent { sequence, prefix: prefix.to_owned(), model: model.clone(), present };
        self.events.push_back((now_ms, event));
    }

    /// Skips a sequence number, so that readers detect that the whole cache was lost.
    pub(crate) fn skip_sequence(&mut self) {
        self.last_sequence += 1;
    }

    /// Returns the events after sequence number `since` that are published by `now_ms`.
    pub(crate) fn since(&self, now_ms: u64, since: u64) -> Vec<CacheEvent> {
        let published =
            self.events.iter().filter(|(at, event)| at + self.lag_ms <= now_ms && event.sequence > since);
        published.map(|(_, event)| event.clone()).collect()
    }
}
