//! What was found when a place was last looked for on behalf of a target.

use cowslip_entry::{AdmissionTarget, WaitCause};
use cowslip_units::ClockTime;

/// Time in ms for which a target without a place is not looked at again without a change. Many requests that wait
/// for one target so cost one choice among all upstreams in this time, not one each.
const LOOK_MS: u64 = 50;

/// The last look for a place, which found none.
#[derive(Clone, Debug)]
pub(crate) struct TargetLook {
    /// Target of the look.
    pub target: AdmissionTarget,
    /// Why its requests wait.
    pub cause: WaitCause,
    at: ClockTime,
    /// Time at which a place is expected; `None` when none is.
    due_at: Option<ClockTime>,
    /// Number of changes before the look.
    changes: u64,
}

impl TargetLook {
    /// A look at `now` after so many changes; a place is expected in `due_ms`.
    pub(crate) fn new(
        target: AdmissionTarget,
        cause: WaitCause,
        due_ms: Option<u64>,
        changes: u64,
        now: ClockTime,
    ) -> Self {
        Self { target, cause, at: now, due_at: due_ms.map(|due_ms| now.plus_ms(due_ms)), changes }
    }

    /// True while another look would find the same.
    pub(crate) fn is_valid(&self, changes: u64, now: ClockTime) -> bool {
        let is_due = self.due_at.is_some_and(|due_at| now >= due_at);
        self.changes == changes && !is_due && now.since_ms(self.at) < LOOK_MS
    }
}
