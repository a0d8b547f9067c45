//! Sliding window over the tokens granted to one team.
//!
//! In any window a team may spend its rate times the window plus its burst. A token bucket beside the window
//! spreads the grants of a team in excess evenly over time, and bounds how much gateways without a leader, or
//! a leader without its predecessor's grants, can add to a window that is nearly full. Grants are counted in
//! slices, so the memory of a window is bounded however many grants it holds.

use std::collections::VecDeque;

use cowslip_units::ClockTime;

use crate::WindowCopy;

/// Length of a slice in ms.
const SLICE_MS: u64 = 100;

/// Length in ms of the slices in which grants are handed over to another leader.
const COPY_SLICE_MS: u64 = 500;

/// Share of the rate in percent that is granted while the grants of the last window are unknown. The rest
/// covers grants that are spent after the leader that made them was lost.
pub(crate) const UNKNOWN_GRANTS_PERCENT: u64 = 90;

/// Thousandths in a token.
const MILLI: u64 = 1_000;

/// A team's grants within the last window.
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
    /// End of the time in which unknown grants of earlier leaders may still be inside the window.
    unknown_until: ClockTime,
}

impl GrantWindow {
    /// A window without grants and with a full bucket.
    pub fn new(per_s: u64, burst: u64, window_ms: u64, now: ClockTime) -> Self {
        Self {
            per_s,
            burst,
            window_ms,
            slices: VecDeque::new(),
            used: 0,
            level_milli: burst * MILLI,
            refilled_at: now,
            unknown_until: ClockTime::ZERO,
        }
    }

    /// Starts with `level` tokens in the bucket, because an earlier leader may have granted the others.
    #[must_use]
    pub fn with_unknown_grants(mut self, level: u64) -> Self {
        self.level_milli = level * MILLI;
        self.unknown_until = self.refilled_at.plus_ms(self.window_ms);
        self
    }

    /// Adds the grants that an earlier leader handed over at `at`; those made here since then count on top of
    /// them.
    pub fn add_handed_over(&mut self, copy: &WindowCopy, at: ClockTime, now: ClockTime) {
        self.refill(now);
        for (age_ms, amount) in copy.grants.iter().rev() {
            self.slices.push_front((at.minus_ms(*age_ms), *amount));
        }
        let granted_here = self.used;
        self.used += copy.grants.iter().map(|(_, amount)| amount).sum::<u64>();
        self.level_milli = copy.level.min(self.burst).saturating_sub(granted_here) * MILLI;
        self.unknown_until = ClockTime::ZERO;
        self.refill(now);
    }

    /// The grants of the window with their ages in ms, merged into a few slices.
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
        // Dated by its newest grant, a merged slice stays in the window longer than needed, never shorter.
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

    /// Tokens that may be granted within one window.
    pub fn limit(&self) -> u64 {
        self.per_s * self.window_ms / 1_000 + self.burst
    }

    /// Tokens that may be granted at once after an idle time.
    pub fn burst(&self) -> u64 {
        self.burst
    }

    /// Tokens a second that refill the bucket. They include the burst, spread evenly over the window, so that
    /// a team in constant excess gets it evenly.
    fn refill_per_s(&self, now: ClockTime) -> u64 {
        if now < self.unknown_until {
            self.per_s * UNKNOWN_GRANTS_PERCENT / 100
        } else {
            self.limit() * 1_000 / self.window_ms.max(1)
        }
    }

    fn refill(&mut self, now: ClockTime) {
        let refilled = now.since_ms(self.refilled_at) * self.refill_per_s(now);
        self.refilled_at = now;
        self.level_milli = (self.level_milli + refilled).min(self.burst * MILLI);
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

    /// Tokens that the standalone shares of all gateways add up to in `millis`.
    pub fn standalone_tokens(&self, millis: u64) -> u64 {
        self.per_s * UNKNOWN_GRANTS_PERCENT / 100 * millis / 1_000
    }

    /// Counts `amount` as granted now.
    pub fn grant(&mut self, amount: u64, now: ClockTime) {
        self.refill(now);
        self.used += amount;
        self.level_milli = self.level_milli.saturating_sub(amount * MILLI);
        match self.slices.back_mut() {
            Some((start, granted)) if now.since_ms(*start) < SLICE_MS => *granted += amount,
            _ => self.slices.push_back((now, amount)),
        }
    }

    /// Returns tokens that were granted and not spent.
    pub fn refund(&mut self, amount: u64) {
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
