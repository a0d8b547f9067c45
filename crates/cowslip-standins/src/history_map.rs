//! A map that can be read as of an earlier time.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

/// Retention period in ms; older states cannot be read.
const RETENTION_MS: u64 = 60_000;

/// Values by key, each with its history.
#[derive(Clone, Debug)]
pub(crate) struct HistoryMap<V> {
    entries: BTreeMap<String, Vec<(u64, Option<V>)>>,
    removals: VecDeque<(u64, String)>,
}

impl<V> HistoryMap<V> {
    pub(crate) fn new() -> Self {
        Self { entries: BTreeMap::new(), removals: VecDeque::new() }
    }

    /// Sets the value of `key` from `now_ms` on; `None` removes it.
    pub(crate) fn put(&mut self, now_ms: u64, key: &str, value: Option<V>) {
        if value.is_none() {
            self.removals.push_back((now_ms, key.to_owned()));
        }
        let history = self.entries.entry(key.to_owned()).or_default();
        history.push((now_ms, value));
        let horizon = now_ms.saturating_sub(RETENTION_MS);
        let first_kept = history.partition_point(|(at, _)| *at <= horizon).saturating_sub(1);
        history.drain(..first_kept);
        self.drop_removed(horizon);
    }

    /// Returns the value that `key` had at `at_ms`.
    pub(crate) fn get(&self, key: &str, at_ms: u64) -> Option<&V> {
        value_at(self.entries.get(key)?, at_ms)
    }

    /// Iterates, in key order, over the values at `at_ms` whose keys start with `prefix` and are greater than
    /// `after`.
    pub(crate) fn range<'map>(
        &'map self,
        prefix: &'map str,
        after: &'map str,
        at_ms: u64,
    ) -> impl Iterator<Item = &'map V> {
        let start = if after >= prefix { Bound::Excluded(after) } else { Bound::Included(prefix) };
        self.entries
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .filter_map(move |(_, history)| value_at(history, at_ms))
    }

    /// Drops keys that were removed before the horizon, so that short-lived keys do not accumulate in memory.
    fn drop_removed(&mut self, horizon: u64) {
        while self.removals.front().is_some_and(|(at, _)| *at < horizon) {
            let Some((_, key)) = self.removals.pop_front() else { return };
            let removed = self.entries.get(&key).and_then(|history| history.last());
            if removed.is_some_and(|(_, value)| value.is_none()) {
                self.entries.remove(&key);
            }
        }
    }
}

fn value_at<V>(history: &[(u64, Option<V>)], at_ms: u64) -> Option<&V> {
    let later = history.partition_point(|(at, _)| *at <= at_ms);
    history.get(later.checked_sub(1)?)?.1.as_ref()
}
