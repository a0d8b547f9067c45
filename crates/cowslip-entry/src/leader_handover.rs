//! Handover from a leader that steps down while its process runs, to its successor.
//!
//! Load this answers: planned stops of VMs one after another, and a store that rejects the leader while it
//! serves the others. Without a handover, a successor sends no orders until any order of its predecessor is
//! old enough, and grants little for a whole window of the teams' limits, because both may have been used up.

use cowslip_units::{ClockTime, ModelId, TeamId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::DutyHandover;

/// Largest number of models whose rates are handed over, the busiest first.
pub(crate) const MAX_RATES: usize = 64;

/// An order that the leader sent or may have sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAge {
    /// Engine that the order was sent to.
    pub upstream: UpstreamId,
    /// Time in ms since it was sent.
    pub age_ms: u64,
}

/// Tokens granted to a team within the last window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCopy {
    /// Team that the tokens were granted to.
    pub team: TeamId,
    /// Grants as pairs of age in ms and tokens, oldest first.
    pub grants: Vec<(u64, u64)>,
    /// Tokens left in the bucket.
    pub level: u64,
}

/// Request rate of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelRate {
    /// Model that the requests name.
    pub model: ModelId,
    /// Requests a second, smoothed.
    pub per_s: f64,
}

/// The handover of a leader. It has sent no order and made no grant since.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderHandover {
    /// Term of the leader.
    pub term: u64,
    /// Its last order to each engine, as far as still relevant.
    pub orders: Vec<OrderAge>,
    /// Its grants within the last window, by team.
    pub windows: Vec<WindowCopy>,
    /// Rates of the busiest models.
    pub rates: Vec<ModelRate>,
    /// Its last singleton calls; `None` of a leader that performs no duty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<DutyHandover>,
}

impl LeaderHandover {
    /// The same handover with all ages increased by `millis`.
    #[must_use]
    pub fn aged(&self, millis: u64) -> Self {
        let mut aged = self.clone();
        for order in &mut aged.orders {
            order.age_ms += millis;
        }
        aged.duties = self.duties.as_ref().map(|duties| duties.aged(millis));
        for (age_ms, _) in aged.windows.iter_mut().flat_map(|window| &mut window.grants) {
            *age_ms += millis;
        }
        aged
    }
}

/// A received handover. Its ages count from its arrival: the actions are older than that, so the restrictions
/// that follow from them last longer than needed, never shorter.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedHandover {
    /// The handover as it was sent.
    pub handover: LeaderHandover,
    /// Time of its arrival.
    pub at: ClockTime,
}

impl ReceivedHandover {
    /// True when it was sent by the leader directly before that of `term`.
    pub const fn is_predecessor(&self, term: u64) -> bool {
        self.handover.term + 1 == term
    }

    /// Time from which each engine may get orders of another VM, `gap_ms` after its last one; sorted by
    /// engine.
    pub fn orders_from(&self, gap_ms: u64) -> Vec<(UpstreamId, ClockTime)> {
        let from =
            |order: &OrderAge| (order.upstream.clone(), self.at.plus_ms(gap_ms.saturating_sub(order.age_ms)));
        let mut from: Vec<(UpstreamId, ClockTime)> = self.handover.orders.iter().map(from).collect();
        from.sort();
        from
    }
}
