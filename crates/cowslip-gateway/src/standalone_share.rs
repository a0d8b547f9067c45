//! The fleet size known to a gateway, and the standalone share of each team's rate that follows from it.

use cowslip_entry::{ShareTerms, TeamRule, hash_rank, pair_weight, text_hash};
use cowslip_units::ClockTime;

use crate::FALLBACK_MEMBERS;
use crate::gateway_state::GatewayState;

impl GatewayState {
    /// Number of gateways; `None` until a leader or the lease row has reported it.
    pub(crate) fn fleet_size(&self) -> Option<usize> {
        match self.members.len().max(self.reported_fleet_size?) {
            0 => Some(FALLBACK_MEMBERS),
            size => Some(size),
        }
    }

    /// Number of gateways among which limits are divided; falls back to [`FALLBACK_MEMBERS`].
    pub(crate) fn member_count(&self) -> usize {
        self.fleet_size().unwrap_or(FALLBACK_MEMBERS)
    }

    /// Sets the standalone share of a team's rate. `allowance` is the number of tokens that the leader allows
    /// to be spent at once; `None` when it sent none. Has no effect while the fleet size is unknown.
    pub(crate) fn set_standalone_share(
        &mut self,
        own: &str,
        team: &TeamRule,
        allowance: Option<u64>,
        now: ClockTime,
    ) {
        let Some(members) = self.fleet_size() else { return };
        let key = text_hash(team.name.as_str());
        let member_rank = hash_rank(key, own, &self.members);
        let known = member_rank < self.members.len() && members == self.members.len();
        let rank =
            if known { member_rank } else { (pair_weight(key, text_hash(own)) % members as u64) as usize };
        let terms = ShareTerms { per_s: team.per_s, members, rank, allowance };
        self.team_tokens(&team.name, now).quota.set_standalone_share(terms, now);
    }

    /// Recomputes the standalone shares of all teams after a change of the configuration or the fleet size.
    pub(crate) fn reset_standalone_shares(&mut self, own: &str, now: ClockTime) {
        let Some(config) = self.view.config().cloned() else { return };
        for team in config.teams().iter().filter(|team| team.is_limited()) {
            self.set_standalone_share(own, team, None, now);
        }
    }
}

/// Raises the fleet size to one reported by a peer or the lease row; ignored once a leader has reported
/// members.
pub(crate) fn raise_fleet_size(state: &mut GatewayState, own: &str, fleet: usize, now: ClockTime) {
    if state.members.is_empty() && state.reported_fleet_size.is_none_or(|known| known < fleet) {
        state.reported_fleet_size = Some(fleet);
        state.reset_standalone_shares(own, now);
    }
}
