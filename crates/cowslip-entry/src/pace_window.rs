//! How many calls an upstream may have in flight: a window that grows with good answers and shrinks with bad ones.
//!
//! Load this answers: an upstream that has just started or come back takes less than its slots suggest, and nothing
//! else says how much. The window begins low. It grows by one with each good answer until the first bad one, and by a
//! part of a call from then on (additive increase). A bad answer multiplies it, at most once in the time that the
//! effect takes to show.

use cowslip_units::ClockTime;

/// Part of the slots that a window begins with, and the least that it begins with.
const START_DIVISOR: u32 = 4;
const MIN_START: u32 = 2;

/// Calls by which a window of one grows with a good answer once it has shrunk.
const STEP: f64 = 4.0;

/// Factors of a window after a late answer or failure, and after a rejection.
const FACTORS: (f64, f64) = (0.9, 0.6);

/// Shortest time in ms between two cuts: calls that began before the first still run.
const CUT_INTERVAL_MS: u64 = 500;

/// Time in ms without a cut in which a window grows by one call.
const PROBE_INTERVAL_MS: u64 = 600;

/// Answers of an upstream since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Answers in the expected time, while no request waited at the upstream.
    pub good: u32,
    /// Late answers and failures.
    pub bad: u32,
    /// Rejections for lack of room.
    pub rejected: u32,
}

/// Window of calls in flight at one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceWindow {
    limit: f64,
    cut_at: Option<ClockTime>,
    probed_at: Option<ClockTime>,
    is_open: bool,
}

impl PaceWindow {
    /// Window of an upstream of `slots` that has just started.
    pub fn starting(slots: u32) -> Self {
        Self {
            limit: f64::from((slots / START_DIVISOR).max(MIN_START)),
            cut_at: None,
            probed_at: None,
            is_open: false,
        }
    }

    /// True once the window has admitted all slots: the start is over, and the slots alone limit the calls.
    pub const fn is_open(&self) -> bool {
        self.is_open
    }

    /// Calls that it admits, of at most `slots`.
    pub fn calls(&self, slots: u32) -> u32 {
        (self.limit as u32).clamp(1, slots.max(1))
    }

    /// Takes over the size that the leader has found from all answers.
    pub fn set_limit(&mut self, calls: u32) {
        self.limit = f64::from(calls);
    }

    /// Ends the start once the window admits all slots.
    fn open_if_full(&mut self, slots: u32) {
        self.is_open |= self.limit >= f64::from(slots.max(1));
    }

    /// Grows a window that was cut by one call each `PROBE_INTERVAL_MS`: a small window gives few answers to grow by.
    pub fn probe(&mut self, slots: u32, now: ClockTime) {
        let is_due = self.probed_at.max(self.cut_at).is_some_and(|at| now.since_ms(at) >= PROBE_INTERVAL_MS);
        if is_due {
            self.limit = (self.limit + 1.0).min(f64::from(slots.max(1)));
            self.probed_at = Some(now);
            self.open_if_full(slots);
        }
    }

    /// Adapts it to answers of an upstream of `slots`.
    pub fn record(&mut self, counts: AnswerCounts, slots: u32, now: ClockTime) {
        if self.is_open {
            return;
        }
        for _ in 0..counts.good {
            self.limit += if self.cut_at.is_some() { STEP / self.limit.max(1.0) } else { 1.0 };
        }
        self.limit = self.limit.min(f64::from(slots.max(1)));
        self.open_if_full(slots);
        let factor = match counts {
            AnswerCounts { rejected: 1.., .. } => FACTORS.1,
            AnswerCounts { bad: 1.., .. } => FACTORS.0,
            _ => return,
        };
        let may_cut = self.cut_at.is_none_or(|at| now.since_ms(at) >= CUT_INTERVAL_MS);
        if may_cut {
            self.limit = (self.limit * factor).max(1.0);
            self.cut_at = Some(now);
        }
    }
}
