//! The leader's account of all teams' tokens.
//!
//! Grants of all gateways come out of one window a team, so they add up to the team's rate and burst. A gateway that
//! has not reported lately may be spending its own part, which is kept out of what is granted.

use cowslip_units::{ClockTime, TeamId};
use smol_str::SmolStr;

use crate::{GrantWindow, TeamRoom, TeamRule, TokenAsk, TokenGrantLine, heard_ms};

/// Time in ms after which a silent gateway is no longer counted as a member.
const FORGET_MS: u64 = 20_000;

/// Share of a team's burst in percent that is kept for its urgent and its small requests.
const URGENT_PERCENT: u64 = 40;

/// Tokens kept for them at least, as far as the burst has them: two requests of the usual size.
const URGENT_TOKENS: u64 = 3_500;

/// Share of the burst in percent that is kept at most.
const MOST_URGENT_PERCENT: u64 = 80;

/// Part of a team's limit that stays for requests that wait when others ask ahead.
const AHEAD_RESERVE: u64 = 8;

#[derive(Clone, Debug, PartialEq)]
struct TeamWindow {
    team: TeamId,
    window: GrantWindow,
}

/// The windows, and who has reported when.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GrantBook {
    teams: Vec<TeamWindow>,
    /// When each member last reported; a member that an earlier leader knew may not have reported yet.
    members: Vec<(SmolStr, Option<ClockTime>)>,
    started_at: ClockTime,
    window_ms: u64,
    /// Tokens within the tolerance of the limit that may be granted while earlier leaders' grants are unknown.
    slack: u64,
    blind: bool,
}

impl GrantBook {
    /// A book of windows of `window_ms`; `blind` when an earlier leader may have granted tokens.
    pub fn new(window_ms: u64, slack: u64, blind: bool, now: ClockTime) -> Self {
        Self { window_ms, slack, blind, started_at: now, ..Self::default() }
    }

    /// Adds the members that an earlier leader knew: they may be spending their own parts.
    #[must_use]
    pub fn with_members(mut self, names: &[SmolStr]) -> Self {
        self.members = names.iter().map(|name| (name.clone(), None)).collect();
        self.members.sort();
        self
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
                    member.1 = Some(now);
                }
            }
            Err(at) => self.members.insert(at, (gateway.clone(), Some(now))),
        }
        let started_at = self.started_at;
        self.members.retain(|(_, heard)| now.since_ms(heard.unwrap_or(started_at)) < FORGET_MS);
    }

    /// Takes rates and bursts from the configuration.
    pub fn configure(&mut self, rules: &[TeamRule], now: ClockTime) {
        let mut teams = Vec::with_capacity(rules.len());
        for rule in rules.iter().filter(|rule| rule.limited()) {
            let old = self.teams.iter().position(|team| team.team == rule.name);
            let mut team = match old {
                Some(at) => self.teams.swap_remove(at),
                None => TeamWindow { team: rule.name.clone(), window: self.first_window(rule, now) },
            };
            team.window.set_limit(rule.per_s, rule.burst, now);
            teams.push(team);
        }
        teams.sort_by(|left, right| left.team.cmp(&right.team));
        self.teams = teams;
    }

    fn first_window(&self, rule: &TeamRule, now: ClockTime) -> GrantWindow {
        let window = GrantWindow::new(rule.per_s, rule.burst, self.window_ms, now);
        if self.blind { window.with_blind_start(self.slack) } else { window }
    }

    /// The part of the members that report.
    fn heard_part(&self, now: ClockTime) -> (u64, u64) {
        let known = self.members.len().max(1) as u64;
        let heard_ms = heard_ms(self.members.len());
        let reports = |heard: &Option<ClockTime>| heard.is_some_and(|at| now.since_ms(at) < heard_ms);
        let heard = self.members.iter().filter(|(_, heard)| reports(heard)).count() as u64;
        (heard, known)
    }

    /// What each gateway may spend of each team's limit when it loses the leader.
    pub fn rooms(&mut self, now: ClockTime) -> Vec<TeamRoom> {
        let known = self.members.len().max(1) as u64;
        let room = |team: &mut TeamWindow| TeamRoom {
            team: team.team.clone(),
            tokens: team.window.room(now) / known,
            tight_ms: team.window.wait_ms(urgent_reserve(team.window.burst()), now),
        };
        self.teams.iter_mut().map(room).collect()
    }

    /// Answers a gateway's asks. What is wanted ahead is granted only while plenty is left, so that it is not taken
    /// from requests that wait.
    pub fn grant(&mut self, asks: &[TokenAsk], now: ClockTime) -> Vec<TokenGrantLine> {
        asks.iter().filter_map(|ask| self.grant_one(ask, now)).collect()
    }

    fn grant_one(&mut self, ask: &TokenAsk, now: ClockTime) -> Option<TokenGrantLine> {
        let (heard, known) = self.heard_part(now);
        let at = self.teams.binary_search_by(|team| team.team.cmp(&ask.team)).ok()?;
        let window = &mut self.teams.get_mut(at)?.window;
        window.grant(ask.spent_alone, now);
        window.give_back(ask.returned);
        let room = window.room(now) * heard / known;
        let short = ask.short.min(room);
        let ahead = ask.ahead.min((room - short) / AHEAD_RESERVE);
        let missing = ask.short - short;
        let wait_ms = if missing > 0 { window.wait_ms(room + missing, now) } else { 0 };
        window.grant(short + ahead, now);
        Some(TokenGrantLine { team: ask.team.clone(), granted: short + ahead, wait_ms })
    }
}

/// Tokens that are kept for a team's urgent requests.
fn urgent_reserve(burst: u64) -> u64 {
    (burst * URGENT_PERCENT / 100).max(URGENT_TOKENS).min(burst * MOST_URGENT_PERCENT / 100)
}
