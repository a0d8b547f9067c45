//! Tokens granted to a team in a sliding window.
//!
//! A team may spend its rate times the window and its burst in any window. A bucket beside the window spreads what a
//! team in excess gets evenly over time, and bounds what gateways without a leader, and a leader that does not know what
//! was granted before it, can add to a window that is nearly full. Grants are counted in slices, so the memory of a
//! window is bounded however many grants it holds.

use std::collections::VecDeque;

use cowslip_units::ClockTime;

use crate::WindowCopy;

/// Length of a slice in ms.
const SLICE_MS: u64 = 100;

/// Length in ms of the slices in which grants are told to another leader.
const COPY_SLICE_MS: u64 = 500;

/// Share of the rate in percent that is granted while the grants of the last window are unknown; the rest covers
/// grants that are spent after the leader that made them was lost.
pub(crate) const UNKNOWN_PERCENT: u64 = 90;

/// Thousandths in a token.
const MILLI: u64 = 1_000;

/// A team's grants of the last window.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantWindow {
    per_s: u64,
    burst: u64,
    window_ms: u64,
    /// Start of each slice with the tokens granted in it, oldest first.
    slices: VecDeque<(ClockTime, u64)>,
    used: u64,
    /// Level of the bucket in thousandths of a token.
    level_milli: u64,
    refilled_at: ClockTime,
    /// Until when what earlier leaders granted may still count.
    blind_until: ClockTime,
}

impl GrantWindow {
    /// A window of a team with a full bucket.
    pub fn new(per_s: u64, burst: u64, window_ms: u64, now: ClockTime) -> Self {
        Self {
            per_s,
            burst,
            window_ms,
            slices: VecDeque::new(),
            used: 0,
            level_milli: burst * MILLI,
            refilled_at: now,
            blind_until: ClockTime::ZERO,
        }
    }

    /// Starts with `level` tokens in the bucket, because an earlier leader may have granted others.
    #[must_use]
    pub fn with_blind_start(mut self, level: u64) -> Self {
        self.level_milli = level * MILLI;
        self.blind_until = self.refilled_at.plus_ms(self.window_ms);
        self
    }

    /// Takes what an earlier leader granted, as it told at `at`; grants made here since then come on top.
    pub fn add_earlier(&mut self, copy: &WindowCopy, at: ClockTime, now: ClockTime) {
        self.refill(now);
        for (age_ms, amount) in copy.grants.iter().rev() {
            self.slices.push_front((at.minus_ms(*age_ms), *amount));
        }
        let own = self.used;
        self.used += copy.grants.iter().map(|(_, amount)| amount).sum::<u64>();
        self.level_milli = copy.level.min(self.burst).saturating_sub(own) * MILLI;
        self.blind_until = ClockTime::ZERO;
        self.refill(now);
    }

    /// The grants of the window with their ages in ms, merged into few.
    pub fn grants(&mut self, now: ClockTime) -> Vec<(u64, u64)> {
        self.refill(now);
        let mut merged: Vec<(ClockTime, ClockTime, u64)> = Vec::new();
        for (start, amount) in &self.slices {
            match merged.last_mut() {
                Some((first, last, sum)) if start.since_ms(*first) < COPY_SLICE_MS => {
                    *last = *start;
                    *sum += amount;
                }
                _ => merged.push((*start, *start, *amount)),
            }
        }
        // Dated by their newest part, they stay in the window for longer than they need, not shorter.
        merged.into_iter().map(|(_, last, sum)| (now.since_ms(last), sum)).collect()
    }

    /// Tokens in the bucket.
    pub fn level(&mut self, now: ClockTime) -> u64 {
        self.refill(now);
        self.level_milli / MILLI
    }

    /// Sets the team's rate and burst.
    pub fn set_limit(&mut self, per_s: u64, burst: u64, now: ClockTime) {
        self.refill(now);
        self.per_s = per_s;
        self.burst = burst;
        self.level_milli = self.level_milli.min(burst * MILLI);
    }

    /// Tokens that a window may hold.
    pub fn limit(&self) -> u64 {
        self.per_s * self.window_ms / 1_000 + self.burst
    }

    /// The burst.
    pub fn burst(&self) -> u64 {
        self.burst
    }

    /// Tokens a second that refill the bucket. A window that is always full passes its burst on evenly.
    fn refill_per_s(&self, now: ClockTime) -> u64 {
        if now < self.blind_until {
            self.per_s * UNKNOWN_PERCENT / 100
        } else {
            self.limit() * 1_000 / self.window_ms.max(1)
        }
    }

    fn refill(&mut self, now: ClockTime) {
        let come = now.since_ms(self.refilled_at) * self.refill_per_s(now);
        self.refilled_at = now;
        self.level_milli = (self.level_milli + come).min(self.burst * MILLI);
        while let Some((start, amount)) = self.slices.front().copied() {
            if now.since_ms(start) < self.window_ms {
                break;
            }
            self.used -= amount;
            self.slices.pop_front();
        }
    }

    /// Tokens that may be granted now.
    pub fn allowance(&mut self, now: ClockTime) -> u64 {
        self.refill(now);
        self.limit().saturating_sub(self.used).min(self.level_milli / MILLI)
    }

    /// Tokens that the team's rate gives to gateways without a leader in so much time.
    pub fn alone_tokens(&self, millis: u64) -> u64 {
        self.per_s * UNKNOWN_PERCENT / 100 * millis / 1_000
    }

    /// Counts a grant.
    pub fn grant(&mut self, amount: u64, now: ClockTime) {
        self.refill(now);
        self.used += amount;
        self.level_milli = self.level_milli.saturating_sub(amount * MILLI);
        match self.slices.back_mut() {
            Some((start, granted)) if now.since_ms(*start) < SLICE_MS => *granted += amount,
            _ => self.slices.push_back((now, amount)),
        }
    }

    /// Takes back tokens that were granted and not spent.
    pub fn give_back(&mut self, amount: u64) {
        let mut rest = amount;
        for (_, granted) in self.slices.iter_mut().rev() {
            let taken = rest.min(*granted);
            *granted -= taken;
            self.used -= taken;
            rest -= taken;
        }
        let taken = amount - rest;
        self.level_milli = (self.level_milli + taken * MILLI).min(self.burst * MILLI);
    }

    /// Time in ms until `amount` may be granted.
    pub fn wait_ms(&mut self, amount: u64, now: ClockTime) -> u64 {
        self.refill(now);
        self.bucket_wait_ms(amount, now).max(self.window_wait_ms(amount, now)).min(self.window_ms)
    }

    fn bucket_wait_ms(&self, amount: u64, now: ClockTime) -> u64 {
        let missing_milli = (amount * MILLI).saturating_sub(self.level_milli);
        missing_milli.div_ceil(self.refill_per_s(now).max(1))
    }

    fn window_wait_ms(&self, amount: u64, now: ClockTime) -> u64 {
        let allowance = self.limit().saturating_sub(self.used);
        let missing = amount.saturating_sub(allowance);
        if missing == 0 {
            return 0;
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
