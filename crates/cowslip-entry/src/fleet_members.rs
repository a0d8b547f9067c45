//! The members of a fleet, as far as they share the trials of prompt parts.

use cowslip_units::PartId;
use smol_str::SmolStr;

use crate::{hash_rank, pair_weight, report_interval_ms, text_hash};

/// Shortest time in ms for which requests with a confirmed part only wait: the message that an upstream has survived
/// it may be on the way.
const MIN_SETTLE_MS: u64 = 600;

/// Time in ms over which the first trials of several gateways are spread.
const SPREAD_MS: u64 = 300;

/// Members of the fleet, to choose who tries a part.
#[derive(Clone, Copy, Debug)]
pub struct FleetMembers<'a> {
    /// Name of this gateway.
    pub own_name: &'a str,
    /// Names of all gateways.
    pub members: &'a [SmolStr],
}

impl FleetMembers<'_> {
    /// True when this gateway is the one that tries a part again after its quarantine time.
    pub(crate) fn is_owner(&self, part: &PartId) -> bool {
        let key = text_hash(part.as_str());
        !self.members.is_empty() && hash_rank(key, self.own_name, self.members) == 0
    }

    /// Time in ms for which requests with a confirmed part only wait: in a large fleet, until each gateway has got
    /// an answer of the leader.
    pub(crate) fn settle_ms(&self) -> u64 {
        (report_interval_ms(self.members.len()) * 5 / 4).max(MIN_SETTLE_MS)
    }

    /// Delay in ms that spreads the first trials of several gateways.
    pub(crate) fn trial_delay_ms(&self, part: &PartId) -> u64 {
        pair_weight(text_hash(part.as_str()), text_hash(self.own_name)) % SPREAD_MS
    }
}
