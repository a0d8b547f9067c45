//! How many gateways may use one free place of an engine at the same time.
//!
//! Load this answers: with few requests about, most gateways that may use a place have none for it, and few senders
//! leave it empty; with requests waiting everywhere, all of them use it. The leader's figures show which: engines with
//! more calls than slots were overcommitted. The number grows by a step with each answer without many of them, and
//! falls by a factor otherwise.

/// Smallest and largest number.
const RANGE: (f64, f64) = (0.5, 80.0);

/// Number at first: of a fleet of 80, all gateways may use an engine with four free places. Requests that wait for a share of
/// an idle fleet are later than they need to be.
const FIRST: f64 = 20.0;

/// Step and factor of a change.
const STEP: f64 = 0.5;
const FACTOR: f64 = 0.7;

/// Part of an engine's slots by which its calls may exceed them: few that wait keep its slots in use.
const EXCESS_DIVISOR: u32 = 6;

/// Share of busy engines that may have more calls than that.
const OVERCOMMITTED_SHARE: f64 = 0.05;

/// Gateways that may use one free place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceSenders(f64);

impl PlaceSenders {
    /// The number.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Adapts it to new figures: pairs of calls and slots of the engines.
    pub fn adapt(&mut self, engines: impl Iterator<Item = (u32, u32)>) {
        let (mut busy, mut over) = (0_u32, 0_u32);
        for (calls, slots) in engines {
            busy += u32::from(calls.saturating_mul(2) >= slots);
            over += u32::from(calls > slots.saturating_add(slots / EXCESS_DIVISOR));
        }
        let has_many = f64::from(over) > f64::from(busy) * OVERCOMMITTED_SHARE;
        let changed = if has_many { self.0 * FACTOR } else { self.0 + STEP };
        self.0 = changed.clamp(RANGE.0, RANGE.1);
    }
}

impl Default for PlaceSenders {
    fn default() -> Self {
        Self(FIRST)
    }
}
