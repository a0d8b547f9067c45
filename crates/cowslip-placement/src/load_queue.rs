//! Admission of loads under the limits of the weight store, and estimates of the waiting time.

use std::collections::VecDeque;

use cowslip_config::LimitRow;
use cowslip_units::ClockTime;

use crate::RowKey;

/// Length of the sliding window in which load starts are counted, in ms.
const WINDOW_MS: u64 = 10_000;
/// Most queued loads that the estimate simulates one by one; for those beyond, the wait grows by the mean
/// rate.
const MAX_STEPS: usize = 64;

/// Bounds in percent of the factor by which loads take longer than expected.
const MIN_SLOWDOWN_PERCENT: u64 = 100;
const MAX_SLOWDOWN_PERCENT: u64 = 2_000;

/// A load in progress.
#[derive(Clone, Debug, PartialEq)]
struct RunningLoad {
    key: RowKey,
    since: ClockTime,
    expected_ms: u64,
    /// True when the weights come from the weight store.
    remote: bool,
}

/// Loads in progress, and the recent load starts from the weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadQueue {
    limits: LimitRow,
    /// Load starts from the weight store within the window, oldest first.
    starts: VecDeque<ClockTime>,
    running: Vec<RunningLoad>,
    /// Adapters being loaded.
    adapters: Vec<RowKey>,
    /// Recent duration of loads from the weight store, in percent of the expected time.
    slowdown_percent: u64,
}

impl Default for LoadQueue {
    fn default() -> Self {
        Self::new(LimitRow::default())
    }
}

impl LoadQueue {
    /// An empty queue.
    pub const fn new(limits: LimitRow) -> Self {
        Self {
            limits,
            starts: VecDeque::new(),
            running: Vec::new(),
            adapters: Vec::new(),
            slowdown_percent: MIN_SLOWDOWN_PERCENT,
        }
    }

    /// Replaces the limits; loads in progress continue.
    pub const fn set_limits(&mut self, limits: LimitRow) {
        self.limits = limits;
    }

    /// Whether a load from the weight store may start now.
    pub fn can_start(&mut self, now: ClockTime) -> bool {
        self.prune_starts(now);
        self.running() < at_least_one(self.limits.loads_at_once)
            && self.starts.len() < at_least_one(self.limits.loads_per_10s)
    }

    /// Records the start of a load that takes `expected_ms` if the weight store is not overloaded.
    pub fn start(&mut self, key: &RowKey, expected_ms: u64, remote: bool, now: ClockTime) {
        if remote {
            self.prune_starts(now);
            self.starts.push_back(now);
        }
        self.adopt(key, expected_ms, remote, now);
    }

    /// Records a load that an earlier leader started.
    pub fn adopt(&mut self, key: &RowKey, expected_ms: u64, remote: bool, now: ClockTime) {
        if !self.running.iter().any(|load| load.key == *key) {
            self.running.push(RunningLoad { key: key.clone(), since: now, expected_ms, remote });
        }
    }

    /// Whether an adapter load may start now at full speed.
    pub fn can_start_adapter(&self) -> bool {
        self.adapters.len() < at_least_one(self.limits.adapters_in_transit)
    }

    /// Records the start of an adapter load.
    pub fn start_adapter(&mut self, key: &RowKey) {
        if !self.adapters.contains(key) {
            self.adapters.push(key.clone());
        }
    }

    /// Records the end of a load; its duration updates the slowdown of the weight store.
    pub fn loaded(&mut self, key: &RowKey, now: ClockTime) {
        let load = self.running.iter().find(|load| load.key == *key && load.remote);
        if let Some(load) = load {
            let percent = now.since_ms(load.since).saturating_mul(100) / load.expected_ms.max(1);
            let mean = (self.slowdown_percent.saturating_add(percent)) / 2;
            self.slowdown_percent = mean.clamp(MIN_SLOWDOWN_PERCENT, MAX_SLOWDOWN_PERCENT);
        }
        self.finish(key);
    }

    /// Removes a load that is no longer in progress, whatever its outcome.
    pub fn finish(&mut self, key: &RowKey) {
        self.running.retain(|load| load.key != *key);
        self.adapters.retain(|running| running != key);
    }

    /// Number of loads in progress from the weight store.
    pub fn running(&self) -> usize {
        self.running.iter().filter(|load| load.remote).count()
    }

    /// Number of adapters being loaded.
    pub const fn adapters(&self) -> usize {
        self.adapters.len()
    }

    /// Expected time in ms of a load from the weight store at its present slowdown, where `load_ms` is the
    /// time without contention.
    pub fn store_load_ms(&self, load_ms: u64) -> u64 {
        load_ms.saturating_mul(self.slowdown_percent) / 100
    }

    /// Expected remaining time in ms of a load in progress; `None` if it is not in progress.
    pub fn remaining_ms(&self, key: &RowKey, now: ClockTime) -> Option<u64> {
        let load = self.running.iter().find(|load| load.key == *key)?;
        Some(self.load_remaining_ms(load, now))
    }

    /// An overdue load is expected to take another half of the time that it has taken.
    fn load_remaining_ms(&self, load: &RunningLoad, now: ClockTime) -> u64 {
        let expected_ms = if load.remote { self.store_load_ms(load.expected_ms) } else { load.expected_ms };
        let taken_ms = now.since_ms(load.since);
        if taken_ms < expected_ms { expected_ms - taken_ms } else { taken_ms / 2 }
    }

    /// Expected waiting time in ms before a load may start that has `ahead` other loads of about `load_ms` in
    /// front of it.
    pub fn wait_ms(&self, ahead: usize, load_ms: u64, now: ClockTime) -> u64 {
        let at_once = at_least_one(self.limits.loads_at_once);
        let per_window = at_least_one(self.limits.loads_per_10s);
        let load_ms = self.store_load_ms(load_ms);
        let remote = self.running.iter().filter(|load| load.remote);
        let mut ends: Vec<ClockTime> =
            remote.map(|load| now.plus_ms(self.load_remaining_ms(load, now))).collect();
        ends.sort();
        let recent = self.starts.iter().filter(|start| now.since_ms(**start) < WINDOW_MS);
        let mut starts: VecDeque<ClockTime> = recent.copied().collect();
        let mut start = now;
        for _ in 0..=ahead.min(MAX_STEPS) {
            while ends.len() >= at_once {
                start = start.max(ends.remove(0));
            }
            while starts.len() >= per_window {
                let oldest = starts.pop_front().unwrap_or(now);
                start = start.max(oldest.plus_ms(WINDOW_MS));
            }
            starts.push_back(start);
            let end = start.plus_ms(load_ms);
            let at = ends.partition_point(|other| *other <= end);
            ends.insert(at, end);
        }
        let beyond = u64::try_from(ahead.saturating_sub(MAX_STEPS)).unwrap_or(u64::MAX);
        let by_rate = WINDOW_MS / u64::try_from(per_window).unwrap_or(1).max(1);
        let by_concurrency = load_ms / u64::try_from(at_once).unwrap_or(1).max(1);
        start.since_ms(now).saturating_add(beyond.saturating_mul(by_rate.max(by_concurrency)))
    }

    /// Expected time in ms of an adapter load that takes `load_ms` at full speed.
    pub fn adapter_load_ms(&self, load_ms: u64) -> u64 {
        let limit = u64::from(self.limits.adapters_in_transit.max(1));
        let transit = u64::try_from(self.adapters.len()).unwrap_or(u64::MAX).saturating_add(1);
        load_ms.saturating_mul(transit.max(limit)) / limit
    }

    fn prune_starts(&mut self, now: ClockTime) {
        while self.starts.front().is_some_and(|start| now.since_ms(*start) >= WINDOW_MS) {
            self.starts.pop_front();
        }
    }
}

fn at_least_one(limit: u32) -> usize {
    usize::try_from(limit.max(1)).unwrap_or(usize::MAX)
}
