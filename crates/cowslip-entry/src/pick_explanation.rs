//! Why each upstream of a service is chosen or not, by the code that chooses.

use cowslip_units::ClockTime;

use crate::{KnownUpstream, PickContext, RequestNeed, UpstreamRegistry, WaitCause};

/// One upstream in a choice.
#[derive(Clone, Copy, Debug)]
pub struct PickLine<'a> {
    /// The upstream.
    pub upstream: &'a KnownUpstream,
    /// Why it cannot be chosen; `None` when it can.
    pub cause: Option<WaitCause>,
    /// Its cost; the lowest one of those that can be chosen is chosen.
    pub cost: f64,
}

impl UpstreamRegistry {
    /// All upstreams of the request's service as [`pick`](Self::pick) sees them, the one that it chooses first.
    pub fn explain_pick(
        &self,
        need: &RequestNeed,
        context: &PickContext<'_>,
        now: ClockTime,
    ) -> Vec<PickLine<'_>> {
        let preferred = self.preferred_hash(need, context, now);
        let model = self.first_event_model(&need.service);
        let seeker = self.room_seeker(context);
        let of_service = self.all().iter().filter(|known| known.entry.service == need.service);
        let line = |known| PickLine {
            upstream: known,
            cause: self.wait_cause(known, need, context, seeker, now),
            cost: self.choice_cost(known, need, context, preferred, &model, now),
        };
        let mut lines: Vec<PickLine<'_>> = of_service.map(line).collect();
        lines.sort_by(|left, right| {
            let by_cause = left.cause.is_some().cmp(&right.cause.is_some());
            by_cause.then(left.cost.total_cmp(&right.cost))
        });
        lines
    }
}
