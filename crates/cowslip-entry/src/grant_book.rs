//! The leader's token buckets of all teams.
//!
//! Grants of all gateways come out of one bucket a team, so they add up to the team's rate and burst. A gateway that
//! has not reported lately may be spending its own part, which is kept out of the bucket's rate.

use cowslip_fleet::{TokenBucket, TokenShare};
use cowslip_units::{ClockTime, TeamId, TokenCount};
use smol_str::SmolStr;

use crate::{ALONE_AFTER_MS, TeamRule, TokenAsk, TokenGrantLine};

/// Thousandths in a token.
const MILLI: u64 = 1_000;

/// Time in ms after which a silent gateway is no longer counted as a member.
const FORGET_MS: u64 = 20_000;

/// A new gateway may have started this long ago in ms without having reported.
const HEARD_MS: u64 = ALONE_AFTER_MS - 500;

#[derive(Clone, Debug, PartialEq)]
struct TeamBucket {
    team: TeamId,
    bucket: TokenBucket,
}

/// The buckets, and who has reported when.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GrantBook {
    teams: Vec<TeamBucket>,
    members: Vec<(SmolStr, ClockTime)>,
    /// Tokens that a burst may exceed the team's by, within the tolerance of the limit.
    slack: u64,
    started_full: bool,
}

impl GrantBook {
    /// A book whose buckets start empty, or full when no leader has granted anything before.
    pub fn new(slack: u64, started_full: bool) -> Self {
        Self { slack, started_full, ..Self::default() }
    }

    /// Members known, sorted.
    pub fn members(&self) -> Vec<SmolStr> {
        self.members.iter().map(|(name, _)| name.clone()).collect()
    }

    /// A gateway reported.
    pub fn heard(&mut self, gateway: &SmolStr, now: ClockTime) {
        match self.members.binary_search_by(|(name, _)| name.cmp(gateway)) {
            Ok(at) => {
                if let Some(member) = self.members.get_mut(at) {
                    member.1 = now;
                }
            }
            Err(at) => self.members.insert(at, (gateway.clone(), now)),
        }
        self.members.retain(|(_, heard)| now.since_ms(*heard) < FORGET_MS);
    }

    /// Takes rates and bursts from the configuration, and the share of the members that report.
    pub fn configure(&mut self, rules: &[TeamRule], now: ClockTime) {
        let known = self.members.len().max(1) as u64;
        let heard = self.members.iter().filter(|(_, heard)| now.since_ms(*heard) < HEARD_MS).count() as u64;
        let full = self.started_full;
        let mut teams = Vec::with_capacity(rules.len());
        for rule in rules.iter().filter(|rule| rule.limited()) {
            let cap = rule.burst + self.slack;
            let rate_milli = rule.per_s * MILLI * heard / known;
            let share = TokenShare { rate_milli, cap_milli: cap * MILLI };
            let old = self.teams.iter().position(|team| team.team == rule.name);
            let team = match old {
                Some(at) => {
                    let mut team = self.teams.swap_remove(at);
                    if team.bucket.share() != share {
                        team.bucket.set_share(share, now);
                    }
                    team
                }
                None => {
                    let mut bucket = TokenBucket::new(share, now);
                    if full {
                        bucket.put_back(TokenCount::new(cap), now);
                    }
                    TeamBucket { team: rule.name.clone(), bucket }
                }
            };
            teams.push(team);
        }
        teams.sort_by(|left, right| left.team.cmp(&right.team));
        self.teams = teams;
        // Teams that come with a later configuration start empty.
        self.started_full = self.started_full && rules.is_empty();
    }

    /// Answers a gateway's asks. What is wanted ahead is granted only from the part of the bucket that exceeds a quarter
    /// second of the rate, so that it is not taken from requests that wait.
    pub fn grant(&mut self, asks: &[TokenAsk], now: ClockTime) -> Vec<TokenGrantLine> {
        asks.iter().filter_map(|ask| self.grant_one(ask, now)).collect()
    }

    fn grant_one(&mut self, ask: &TokenAsk, now: ClockTime) -> Option<TokenGrantLine> {
        let at = self.teams.binary_search_by(|team| team.team.cmp(&ask.team)).ok()?;
        let bucket = &mut self.teams.get_mut(at)?.bucket;
        bucket.put_back(TokenCount::new(ask.returned), now);
        let mut granted = 0;
        let mut wait_ms = 0;
        if ask.short > 0 {
            let there = bucket.level(now).get().min(ask.short);
            if bucket.take(TokenCount::new(there), now) {
                granted = there;
            }
            if granted < ask.short {
                wait_ms = wait_for(bucket, ask.short - granted, now);
            }
        }
        let spare = bucket.level(now).get().saturating_sub(bucket.share().rate_milli / MILLI / 4);
        let ahead = ask.ahead.min(spare);
        if wait_ms == 0 && bucket.take(TokenCount::new(ahead), now) {
            granted += ahead;
        }
        Some(TokenGrantLine { team: ask.team.clone(), granted, wait_ms })
    }
}

/// Time in ms until the bucket is believed to have `amount`.
fn wait_for(bucket: &mut TokenBucket, amount: u64, now: ClockTime) -> u64 {
    let missing = amount.saturating_sub(bucket.level(now).get());
    let rate = bucket.share().rate_milli.max(1);
    (missing.saturating_mul(MILLI * MILLI) / rate).max(1)
}
