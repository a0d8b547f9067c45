//! Load starts by team, for fair sharing.

use cowslip_units::{ClockTime, TeamId};

/// Time constant in ms with which earlier starts decay.
const START_DECAY_MS: f64 = 60_000.0;

/// Load starts charged to each team, weighted by age.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TeamStarts {
    teams: Vec<(Option<TeamId>, f64, ClockTime)>,
}

impl TeamStarts {
    /// Load starts of a team in thousandths, weighted by age.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn count(&self, team: &Option<TeamId>, now: ClockTime) -> u64 {
        match self.teams.binary_search_by(|(known, _, _)| known.cmp(team)) {
            Ok(at) => (decayed(self.teams[at].1, self.teams[at].2, now) * 1_000.0) as u64,
            Err(_) => 0,
        }
    }

    /// Charges a load start to a team.
    pub(crate) fn charge(&mut self, team: &Option<TeamId>, now: ClockTime) {
        match self.teams.binary_search_by(|(known, _, _)| known.cmp(team)) {
            Ok(at) => {
                let (_, weight, since) = &mut self.teams[at];
                *weight = decayed(*weight, *since, now) + 1.0;
                *since = now;
            }
            Err(at) => self.teams.insert(at, (team.clone(), 1.0, now)),
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn decayed(weight: f64, since: ClockTime, now: ClockTime) -> f64 {
    weight * (-(now.since_ms(since) as f64) / START_DECAY_MS).exp()
}
