//! Baseline rate limiter of [`crate::RouterPolicy::Fixed`]: each VM has an equal, fixed share of each team's
//! rate.

use cowslip_config::TeamRow;
use cowslip_fleet::{ReserveStep, TokenBucket, TokenShare};
use cowslip_units::{ClockTime, TeamId, TokenCount, TokenRate};

/// One token bucket per team, sorted by team.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FixedShares {
    buckets: Vec<(TeamId, TokenBucket)>,
}

impl FixedShares {
    /// Takes `amount` from this VM's share of the team's rate; the rate is divided equally among `members`
    /// VMs.
    pub fn reserve(
        &mut self,
        row: &TeamRow,
        members: usize,
        amount: TokenCount,
        now: ClockTime,
    ) -> ReserveStep {
        if amount > row.burst {
            return ReserveStep::TooLarge;
        }
        let share_count = u64::try_from(members.max(1)).unwrap_or(u64::MAX);
        let share = TokenShare {
            rate_milli: row.rate.per_second().saturating_mul(1_000) / share_count,
            cap_milli: row.burst.get().saturating_mul(1_000) / share_count,
        };
        let at = match self.buckets.binary_search_by(|(team, _)| team.cmp(&row.team)) {
            Ok(at) => at,
            Err(at) => {
                self.buckets.insert(at, (row.team.clone(), TokenBucket::new(share, now)));
                at
            }
        };
        let bucket = &mut self.buckets[at].1;
        if bucket.share() != share {
            bucket.set_share(share, now);
        }
        if bucket.take(amount, now) {
            return ReserveStep::Reserved;
        }
        let missing = amount.minus(bucket.level(now));
        let share_rate = TokenRate::new((row.rate.per_second() / share_count).max(1));
        ReserveStep::Wait(share_rate.millis_for(missing).unwrap_or(u64::MAX).max(1))
    }

    /// Returns unused tokens to the team's bucket.
    pub fn return_unused(&mut self, team: &TeamId, unused: TokenCount, now: ClockTime) {
        if let Ok(at) = self.buckets.binary_search_by(|(known, _)| known.cmp(team)) {
            self.buckets[at].1.put_back(unused, now);
        }
    }
}
