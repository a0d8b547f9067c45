//! What a leader that stops leading while its process runs tells its successor.
//!
//! Load this answers: planned stops of VMs in turn, and a store that turns the leader away while it serves the others. A
//! successor that knows nothing sends no orders until its predecessor's last one is old enough, and grants little for a whole
//! window of the teams' limits, because either may have been used to the full.

use cowslip_units::{ClockTime, ModelId, TeamId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Models whose rates are told at most, the busiest first.
pub(crate) const MAX_RATES: usize = 64;

/// An order that the leader sent, or may have sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAge {
    /// The engine.
    pub upstream: UpstreamId,
    /// Time in ms since.
    pub age_ms: u64,
}

/// Tokens granted to a team in the last window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCopy {
    /// The team.
    pub team: TeamId,
    /// Grants with the time in ms since, oldest first.
    pub grants: Vec<(u64, u64)>,
    /// Tokens that could be granted at once.
    pub level: u64,
}

/// How often a model is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelRate {
    /// The model.
    pub model: ModelId,
    /// Requests a second, smoothed.
    pub per_s: f64,
}

/// The handover of a leader. It has done nothing as leader since it was made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderHandover {
    /// The leader's term.
    pub term: u64,
    /// Its last order to each engine, as long as that matters.
    pub orders: Vec<OrderAge>,
    /// Its grants.
    pub windows: Vec<WindowCopy>,
    /// The busiest models.
    pub rates: Vec<ModelRate>,
}

impl LeaderHandover {
    /// The same, told `millis` later.
    #[must_use]
    pub fn aged(&self, millis: u64) -> Self {
        let mut told = self.clone();
        for order in &mut told.orders {
            order.age_ms += millis;
        }
        for (age_ms, _) in told.windows.iter_mut().flat_map(|window| &mut window.grants) {
            *age_ms += millis;
        }
        told
    }
}

/// A handover that a gateway has received. Ages count from its arrival: what was done is older than that, and what it
/// forbids lasts longer.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedHandover {
    /// What was told.
    pub told: LeaderHandover,
    /// When it arrived.
    pub at: ClockTime,
}

impl ReceivedHandover {
    /// True when it was made by the leader before the one of `term`.
    pub const fn is_predecessor(&self, term: u64) -> bool {
        self.told.term + 1 == term
    }

    /// When each engine may get orders of another VM again, `gap_ms` after the last one; sorted by engine.
    pub fn orders_from(&self, gap_ms: u64) -> Vec<(UpstreamId, ClockTime)> {
        let from =
            |order: &OrderAge| (order.upstream.clone(), self.at.plus_ms(gap_ms.saturating_sub(order.age_ms)));
        let mut from: Vec<(UpstreamId, ClockTime)> = self.told.orders.iter().map(from).collect();
        from.sort();
        from
    }
}
