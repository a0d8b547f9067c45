//! How many requests a fresh upstream handles.

use cowslip_units::ClockTime;

/// Part of the time since the last word on the ramp that is not counted, as one in this many: the clocks of the
/// leader and of this process may differ by 2.02%.
const DRIFT_MARGIN: u64 = 40;

/// The ramp of an upstream from `fresh_slots` to `slots` requests in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RampBudget {
    slots: u32,
    fresh_slots: u32,
    ramp_ms: u64,
    /// Age of the ramp and when this process learned it; `None` when the ramp is over.
    told: Option<(u64, ClockTime)>,
    /// When this process itself saw a restart or return.
    seen_fresh_at: Option<ClockTime>,
}

impl RampBudget {
    /// An upstream that counts as fresh from now on, until more is known.
    pub fn new(slots: u32, fresh_slots: u32, ramp_ms: u64, now: ClockTime) -> Self {
        Self {
            slots,
            fresh_slots: fresh_slots.min(slots),
            ramp_ms,
            told: Some((0, now)),
            seen_fresh_at: None,
        }
    }

    /// Takes new limits from the sheet; the ramp goes on.
    pub fn set_limits(&mut self, slots: u32, fresh_slots: u32, ramp_ms: u64) {
        self.slots = slots;
        self.fresh_slots = fresh_slots.min(slots);
        self.ramp_ms = ramp_ms;
    }

    /// Takes the age of the ramp in ms from the placement table; `None` when the upstream handles its full load.
    pub fn set_ramp_age(&mut self, age_ms: Option<u64>, now: ClockTime) {
        self.told = age_ms.map(|age| (age, now));
    }

    /// This process saw that the upstream restarted or returned. The table may not say so yet, and the lower of both
    /// budgets counts.
    pub fn mark_fresh(&mut self, now: ClockTime) {
        self.seen_fresh_at = Some(now);
    }

    /// Most requests in flight, of all routers together.
    pub fn budget(&self, now: ClockTime) -> u32 {
        let counted = |since: ClockTime| {
            let elapsed = now.since_ms(since);
            elapsed - elapsed.div_ceil(DRIFT_MARGIN)
        };
        let told = self.told.map(|(age, at)| age.saturating_add(counted(at)));
        let seen = self.seen_fresh_at.map(counted);
        match [told, seen].into_iter().flatten().min() {
            Some(age) if age < self.ramp_ms => {
                let grown =
                    u128::from(self.slots - self.fresh_slots) * u128::from(age) / u128::from(self.ramp_ms);
                self.fresh_slots + u32::try_from(grown).unwrap_or(0)
            }
            Some(_) | None => self.slots,
        }
    }

    /// Permits that can ever exist.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }
}
