//! Waiting requests in levels of urgency, with a bounded share for the less urgent ones.
//!
//! A waiting request is owned by this queue until it is dispatched or leaves. Within a level, teams take turns
//! by deficit round robin in tokens, and within a team the least [`QueueEntry::order`] goes first. A request
//! whose target has no capacity does not block others.

use std::collections::BTreeMap;

use crate::class_queue::ClassQueue;
use crate::{QueueEntry, QueueTicket};

/// While less urgent requests can be dispatched, at least one of this many dispatches is for one of them.
pub const LESS_URGENT_SHARE: u64 = 8;

/// Waiting requests by level of urgency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FairQueue<E: QueueEntry> {
    levels: Vec<ClassQueue<E>>,
    /// For each level, the dispatches of more urgent levels since its last one while it could go.
    passed: Vec<u64>,
    /// Dispatches in a row that delayed a less urgent request which could go.
    urgent_in_row: u64,
    index: BTreeMap<QueueTicket, E>,
    last_ticket: u64,
}

impl<E: QueueEntry> FairQueue<E> {
    /// An empty queue with this many levels; entries of a higher level go into the last one.
    pub fn new(levels: usize) -> Self {
        let levels = levels.max(1);
        Self {
            levels: (0..levels).map(|_| ClassQueue::default()).collect(),
            passed: vec![0; levels],
            urgent_in_row: 0,
            index: BTreeMap::new(),
            last_ticket: 0,
        }
    }

    /// The ticket of the next arrival.
    pub fn issue_ticket(&mut self) -> QueueTicket {
        self.last_ticket += 1;
        QueueTicket::new(self.last_ticket)
    }

    /// Adds a request, or puts one back that could not be dispatched.
    pub fn push(&mut self, entry: E) {
        let level = self.level_of(&entry);
        self.index.insert(entry.ticket(), entry.clone());
        if let Some(queue) = self.levels.get_mut(level) {
            queue.push(entry);
        }
    }

    /// Removes and returns the next request whose target is `ready`.
    pub fn next(&mut self, mut ready: impl FnMut(&E::Target) -> bool) -> Option<E> {
        let levels = self.levels.iter().enumerate();
        let ready_levels: Vec<usize> =
            levels.filter(|(_, queue)| queue.has_ready(&mut ready)).map(|(at, _)| at).collect();
        let level = self.due_level(&ready_levels)?;
        let entry = self.levels.get_mut(level)?.pick(&mut ready)?;
        self.record_dispatch(level, &ready_levels);
        self.index.remove(&entry.ticket());
        Some(entry)
    }

    /// Removes a request; `None` if it is not in the queue.
    pub fn leave(&mut self, ticket: QueueTicket) -> Option<E> {
        let entry = self.index.remove(&ticket)?;
        let level = self.level_of(&entry);
        self.levels.get_mut(level)?.remove(&entry)
    }

    /// The waiting request with that ticket.
    pub fn get(&self, ticket: QueueTicket) -> Option<&E> {
        self.index.get(&ticket)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// True when no request waits.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// The waiting requests in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = &E> {
        self.index.values()
    }

    /// Targets with waiting requests, sorted.
    pub fn targets(&self) -> Vec<E::Target> {
        let mut targets: Vec<&E::Target> = self.index.values().map(QueueEntry::target).collect();
        targets.sort();
        targets.dedup();
        targets.into_iter().cloned().collect()
    }

    /// Collects the rejections that `rejection` returns for the requests of a level, given the expected number
    /// of requests of the level that are dispatched before each.
    pub fn collect_rejections<R>(&self, level: usize, rejection: impl FnMut(&E, u64) -> Option<R>) -> Vec<R> {
        self.levels.get(level).map(|queue| queue.collect_rejections(rejection)).unwrap_or_default()
    }

    /// Expected number of requests for the same target that are dispatched before this one: those of more
    /// urgent levels, those of its team that are before it, and one of each other team for each of these.
    pub fn position(&self, ticket: QueueTicket) -> Option<u64> {
        let entry = self.index.get(&ticket)?;
        let level = self.level_of(entry);
        let urgent = self.levels.iter().take(level).map(|queue| queue.count(entry.target())).sum::<u64>();
        let in_level = self.levels.get(level).map_or(0, |queue| queue.position(entry));
        Some(urgent + in_level)
    }

    fn level_of(&self, entry: &E) -> usize {
        entry.level().min(self.levels.len().saturating_sub(1))
    }

    /// The most urgent level that can go, or a less urgent one when its share is due: the one that was passed
    /// over most often.
    fn due_level(&self, ready_levels: &[usize]) -> Option<usize> {
        let (first, others) = ready_levels.split_first()?;
        if self.urgent_in_row + 1 < LESS_URGENT_SHARE {
            return Some(*first);
        }
        let passed = |level: &usize| self.passed.get(*level).copied().unwrap_or(0);
        let longest = others.iter().rev().max_by_key(|level| passed(level));
        Some(*longest.unwrap_or(first))
    }

    fn record_dispatch(&mut self, level: usize, ready_levels: &[usize]) {
        for passed_level in ready_levels.iter().filter(|ready| **ready > level) {
            if let Some(passed) = self.passed.get_mut(*passed_level) {
                *passed += 1;
            }
        }
        if let Some(passed) = self.passed.get_mut(level) {
            *passed = 0;
        }
        let is_first = ready_levels.first() == Some(&level);
        let delays_others = ready_levels.len() > 1;
        match (is_first, delays_others) {
            // Only dispatches that delayed a less urgent request count.
            (true, true) => self.urgent_in_row += 1,
            (true, false) if level == 0 => {}
            _ => self.urgent_in_row = 0,
        }
    }
}
