//! Tokens granted to a team in a sliding window.
//!
//! A team may spend its rate times the window and its burst in any window. Grants are counted in slices, so the memory
//! of a window is bounded however many grants it holds.

use std::collections::VecDeque;

use cowslip_units::ClockTime;

/// Length of a slice in ms.
const SLICE_MS: u64 = 100;

/// A team's grants of the last window.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantWindow {
    per_s: u64,
    burst: u64,
    window_ms: u64,
    /// Start of each slice with the tokens granted in it, oldest first.
    slices: VecDeque<(ClockTime, u64)>,
    used: u64,
    /// What earlier leaders granted is unknown until a whole window has passed since this time.
    blind_from: Option<ClockTime>,
    /// Tokens granted since then.
    blind_used: u64,
}

impl GrantWindow {
    /// An empty window; `blind` when an earlier leader may have granted tokens.
    pub fn new(window_ms: u64, blind: bool, now: ClockTime) -> Self {
        Self {
            per_s: 0,
            burst: 0,
            window_ms,
            slices: VecDeque::new(),
            used: 0,
            blind_from: blind.then_some(now),
            blind_used: 0,
        }
    }

    /// Sets the team's rate and burst.
    pub fn set_limit(&mut self, per_s: u64, burst: u64) {
        self.per_s = per_s;
        self.burst = burst;
    }

    /// Tokens that a window may hold.
    pub fn limit(&self) -> u64 {
        self.per_s * self.window_ms / 1_000 + self.burst
    }

    fn expire(&mut self, now: ClockTime) {
        while let Some((start, amount)) = self.slices.front().copied() {
            if now.since_ms(start) < self.window_ms {
                break;
            }
            self.used -= amount;
            self.slices.pop_front();
        }
        if self.blind_from.is_some_and(|from| now.since_ms(from) >= self.window_ms) {
            self.blind_from = None;
        }
    }

    /// Tokens that may be granted now. `slack` may be used while the grants of earlier leaders are unknown.
    pub fn room(&mut self, slack: u64, now: ClockTime) -> u64 {
        self.expire(now);
        let room = self.limit().saturating_sub(self.used);
        match self.blind_from {
            // Spending at the rate is safe whatever was spent before: the window loses at least as much.
            Some(from) => {
                let come = self.per_s * now.since_ms(from) / 1_000 + slack;
                room.min(come.saturating_sub(self.blind_used))
            }
            None => room,
        }
    }

    /// Counts a grant.
    pub fn grant(&mut self, amount: u64, now: ClockTime) {
        self.used += amount;
        self.blind_used += amount;
        match self.slices.back_mut() {
            Some((start, granted)) if now.since_ms(*start) < SLICE_MS => *granted += amount,
            _ => self.slices.push_back((now, amount)),
        }
    }

    /// Takes back tokens that were granted and not spent.
    pub fn give_back(&mut self, amount: u64) {
        self.blind_used = self.blind_used.saturating_sub(amount);
        let mut rest = amount;
        for (_, granted) in self.slices.iter_mut().rev() {
            let taken = rest.min(*granted);
            *granted -= taken;
            self.used -= taken;
            rest -= taken;
        }
    }

    /// Time in ms until `amount` may be granted.
    pub fn wait_ms(&mut self, amount: u64, slack: u64, now: ClockTime) -> u64 {
        let room = self.room(slack, now);
        if room >= amount {
            return 0;
        }
        let missing = amount - room;
        if self.blind_from.is_some() {
            return (missing * 1_000 / self.per_s.max(1)).clamp(1, self.window_ms);
        }
        let mut freed = 0;
        for (start, granted) in &self.slices {
            freed += granted;
            if freed >= missing {
                return start.plus_ms(self.window_ms).since_ms(now).max(1);
            }
        }
        self.window_ms
    }
}
