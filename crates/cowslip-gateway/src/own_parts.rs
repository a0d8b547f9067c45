//! The fleet's size as a gateway knows it, and what that lets it spend of teams' rates without a leader.

use cowslip_entry::{ShareTerms, TeamRule, pair_weight, rank_of, text_hash};
use cowslip_units::ClockTime;

use crate::FALLBACK_MEMBERS;
use crate::gateway_state::GatewayState;

impl GatewayState {
    /// Number of gateways; `None` as long as neither a leader nor the lease row has told anything.
    pub(crate) fn fleet_size(&self) -> Option<usize> {
        match self.members.len().max(self.fleet?) {
            0 => Some(FALLBACK_MEMBERS),
            size => Some(size),
        }
    }

    /// Number of gateways among which limits are divided.
    pub(crate) fn member_count(&self) -> usize {
        self.fleet_size().unwrap_or(FALLBACK_MEMBERS)
    }

    /// Sets what this gateway may spend of a team's rate without a leader, nothing as long as the fleet's size is unknown.
    pub(crate) fn set_own_part(
        &mut self,
        own: &str,
        team: &TeamRule,
        allowance: Option<u64>,
        now: ClockTime,
    ) {
        let Some(members) = self.fleet_size() else { return };
        let key = text_hash(team.name.as_str());
        let rank = rank_of(key, own, &self.members);
        let known = rank < self.members.len() && members == self.members.len();
        let place = if known { rank } else { (pair_weight(key, text_hash(own)) % members as u64) as usize };
        let terms = ShareTerms { per_s: team.per_s, members, place, allowance };
        self.team_tokens(&team.name, now).purse.set_own_part(terms, now);
    }

    /// Sets the own parts of all teams anew after a change of the configuration or of the fleet's size.
    pub(crate) fn reset_own_parts(&mut self, own: &str, now: ClockTime) {
        let Some(config) = self.view.config().cloned() else { return };
        for team in config.teams().iter().filter(|team| team.is_limited()) {
            self.set_own_part(own, team, None, now);
        }
    }
}

/// Takes another's word on the fleet's size, or the lease row's, as long as no leader has told it.
pub(crate) fn learn_fleet(state: &mut GatewayState, own: &str, fleet: usize, now: ClockTime) {
    if state.members.is_empty() && state.fleet.is_none_or(|known| known < fleet) {
        state.fleet = Some(fleet);
        state.reset_own_parts(own, now);
    }
}
