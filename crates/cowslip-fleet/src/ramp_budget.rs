//! Limit on requests in flight at an upstream during its slow start.

use cowslip_units::ClockTime;

/// Divisor for the part of the time since the last update of the ramp's age that is not counted, because the
/// clocks of the leader and of this process may differ by 2.02%.
const DRIFT_DIVISOR: u64 = 40;

/// Ramp of an upstream from `fresh_slots` to `slots` requests in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RampBudget {
    slots: u32,
    fresh_slots: u32,
    ramp_ms: u64,
    /// Age of the ramp and when this process received it; `None` when the ramp is over.
    reported: Option<(u64, ClockTime)>,
    /// When this process itself saw a restart or a return to service.
    seen_fresh_at: Option<ClockTime>,
}

impl RampBudget {
    /// An upstream whose ramp starts now, until the first update.
    pub fn new(slots: u32, fresh_slots: u32, ramp_ms: u64, now: ClockTime) -> Self {
        Self {
            slots,
            fresh_slots: fresh_slots.min(slots),
            ramp_ms,
            reported: Some((0, now)),
            seen_fresh_at: None,
        }
    }

    /// Applies new limits from the sheet; the ramp's age is kept.
    pub fn set_limits(&mut self, slots: u32, fresh_slots: u32, ramp_ms: u64) {
        self.slots = slots;
        self.fresh_slots = fresh_slots.min(slots);
        self.ramp_ms = ramp_ms;
    }

    /// Sets the ramp's age in ms from the placement table; `None` when the upstream takes its full load.
    pub fn set_ramp_age(&mut self, age_ms: Option<u64>, now: ClockTime) {
        self.reported = age_ms.map(|age_ms| (age_ms, now));
    }

    /// Restarts the ramp after this process saw that the upstream restarted or returned to service. The
    /// placement table may not show that yet, so the lower of both budgets applies.
    pub fn mark_fresh(&mut self, now: ClockTime) {
        self.seen_fresh_at = Some(now);
    }

    /// Limit on requests in flight, of all routers together.
    pub fn budget(&self, now: ClockTime) -> u32 {
        let counted = |since: ClockTime| {
            let elapsed_ms = now.since_ms(since);
            elapsed_ms - elapsed_ms.div_ceil(DRIFT_DIVISOR)
        };
        let reported = self.reported.map(|(age_ms, at)| age_ms.saturating_add(counted(at)));
        let seen = self.seen_fresh_at.map(counted);
        match [reported, seen].into_iter().flatten().min() {
            Some(age_ms) if age_ms < self.ramp_ms => {
                let grown =
                    u128::from(self.slots - self.fresh_slots) * u128::from(age_ms) / u128::from(self.ramp_ms);
                self.fresh_slots + u32::try_from(grown).unwrap_or(0)
            }
            Some(_) | None => self.slots,
        }
    }

    /// Budget after the ramp.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }
}
