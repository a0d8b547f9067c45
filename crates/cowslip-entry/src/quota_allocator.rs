//! The leader's account of all teams' tokens.
//!
//! Grants of all gateways come out of one window a team, so they add up to the team's rate and burst. A gateway that
//! has not reported lately may be spending its own part, which is counted as granted until it tells what it has spent.

use cowslip_units::{ClockTime, TeamId};
use smol_str::SmolStr;

use crate::{GrantWindow, QuotaRequest, StandaloneQuota, TeamRule, TokenGrantLine, WindowCopy, heard_ms};

/// Time in ms after which a silent gateway is no longer counted as a member.
const FORGET_MS: u64 = 20_000;

/// Time in ms between two counts of what silent gateways may spend.
const COUNT_MS: u64 = 100;

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

/// A gateway as the leader knows it.
#[derive(Clone, Debug, PartialEq)]
struct BookMember {
    name: SmolStr,
    /// When it last reported; one that an earlier leader knew may not have reported yet.
    heard: Option<ClockTime>,
    /// Since when its own part is counted as granted.
    alone_since: Option<ClockTime>,
}

impl BookMember {
    fn reports(&self, heard_ms: u64, now: ClockTime) -> bool {
        self.heard.is_some_and(|at| now.since_ms(at) < heard_ms)
    }
}

/// The windows, and who has reported when.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaAllocator {
    teams: Vec<TeamWindow>,
    members: Vec<BookMember>,
    /// Members of the fleet as an earlier leader knew it.
    fleet: usize,
    started_at: ClockTime,
    window_ms: u64,
    /// Tokens within the tolerance of the limit that may be granted while earlier leaders' grants are unknown.
    slack: u64,
    blind: bool,
    /// Until when own parts of silent gateways are counted as granted.
    counted_at: ClockTime,
    /// What the leader before granted, and when it told that.
    earlier: Vec<WindowCopy>,
    earlier_at: ClockTime,
}

impl QuotaAllocator {
    /// A book of windows of `window_ms`; `blind` when an earlier leader may have granted tokens.
    pub fn new(window_ms: u64, slack: u64, blind: bool, now: ClockTime) -> Self {
        Self { window_ms, slack, blind, started_at: now, counted_at: now, ..Self::default() }
    }

    /// Adds the members that an earlier leader knew: they may be spending their own parts.
    #[must_use]
    pub fn with_members(mut self, names: &[SmolStr]) -> Self {
        let since = Some(self.started_at);
        let member = |name: &SmolStr| BookMember { name: name.clone(), heard: None, alone_since: since };
        self.members = names.iter().map(member).collect();
        self.members.sort_by(|left, right| left.name.cmp(&right.name));
        self
    }

    /// Takes the size of the fleet that an earlier leader knew. Those that have not reported to this one may be spending
    /// their own parts, whether or not their names are known.
    #[must_use]
    pub fn with_fleet_size(mut self, fleet: usize) -> Self {
        self.fleet = fleet;
        self
    }

    /// Takes the grants of the leader before, as it told at `at`: nothing more of it is unknown.
    pub fn apply_handover(&mut self, windows: &[WindowCopy], at: ClockTime, now: ClockTime) {
        for team in &mut self.teams {
            if let Some(copy) = windows.iter().find(|copy| copy.team == team.team) {
                team.window.add_earlier(copy, at, now);
            }
        }
        self.earlier = windows.to_vec();
        self.earlier_at = at;
    }

    /// The grants of the last window, for the next leader.
    pub fn copies(&mut self, now: ClockTime) -> Vec<WindowCopy> {
        self.count_alone(now);
        let copy = |team: &mut TeamWindow| WindowCopy {
            team: team.team.clone(),
            grants: team.window.grants(now),
            level: team.window.level(now),
        };
        self.teams.iter_mut().map(copy).collect()
    }

    /// Size of the fleet: the known members, and at first those that an earlier leader knew.
    pub fn fleet(&self, now: ClockTime) -> usize {
        let earlier = if now.since_ms(self.started_at) < FORGET_MS { self.fleet } else { 0 };
        self.members.len().max(earlier).max(1)
    }

    /// Members known, sorted.
    pub fn members(&self) -> Vec<SmolStr> {
        self.members.iter().map(|member| member.name.clone()).collect()
    }

    /// A gateway reported. What was counted for it while it was silent is given back; it tells what it spent.
    pub fn heard(&mut self, gateway: &SmolStr, now: ClockTime) {
        self.count_alone(now);
        let earlier = self.fleet(now) > self.members.len();
        let at = match self.members.binary_search_by(|member| member.name.cmp(gateway)) {
            Ok(at) => at,
            Err(at) => {
                // It may be one of those that an earlier leader knew.
                let alone_since = earlier.then_some(self.started_at);
                self.members.insert(at, BookMember { name: gateway.clone(), heard: None, alone_since });
                at
            }
        };
        let fleet = self.fleet(now) as u64;
        if let Some(member) = self.members.get_mut(at) {
            member.heard = Some(now);
            if let Some(since) = member.alone_since.take() {
                let silent_ms = now.since_ms(since);
                for team in &mut self.teams {
                    team.window.give_back(team.window.alone_tokens(silent_ms) / fleet);
                }
            }
        }
        let started_at = self.started_at;
        self.members.retain(|member| now.since_ms(member.heard.unwrap_or(started_at)) < FORGET_MS);
    }

    /// Counts as granted what silent gateways may have spent since the last count.
    fn count_alone(&mut self, now: ClockTime) {
        let elapsed_ms = now.since_ms(self.counted_at);
        if elapsed_ms < COUNT_MS {
            return;
        }
        self.counted_at = now;
        let heard_ms = heard_ms(self.members.len());
        let fleet = self.fleet(now) as u64;
        let mut silent = fleet - self.members.len() as u64;
        for member in self.members.iter_mut().filter(|member| !member.reports(heard_ms, now)) {
            silent += 1;
            member.alone_since.get_or_insert(now.minus_ms(elapsed_ms));
        }
        if silent > 0 {
            for team in &mut self.teams {
                let tokens = team.window.alone_tokens(elapsed_ms) * silent / fleet;
                team.window.grant(tokens, now);
            }
        }
    }

    /// Takes rates and bursts from the configuration.
    pub fn configure(&mut self, rules: &[TeamRule], now: ClockTime) {
        let mut teams = Vec::with_capacity(rules.len());
        for rule in rules.iter().filter(|rule| rule.is_limited()) {
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
        let mut window = GrantWindow::new(rule.per_s, rule.burst, self.window_ms, now);
        if let Some(copy) = self.earlier.iter().find(|copy| copy.team == rule.name) {
            window.add_earlier(copy, self.earlier_at, now);
            return window;
        }
        if self.blind { window.with_blind_start(self.slack) } else { window }
    }

    /// The part of the members that report.
    fn heard_part(&self, now: ClockTime) -> (u64, u64) {
        let heard_ms = heard_ms(self.members.len());
        let heard = self.members.iter().filter(|member| member.reports(heard_ms, now)).count() as u64;
        (heard, self.fleet(now) as u64)
    }

    /// What each gateway may spend of each team's limit when it loses the leader.
    pub fn rooms(&mut self, now: ClockTime) -> Vec<StandaloneQuota> {
        let known = self.fleet(now) as u64;
        let allowance = |team: &mut TeamWindow| StandaloneQuota {
            team: team.team.clone(),
            tokens: team.window.allowance(now) / known,
            tight_ms: team.window.wait_ms(urgent_reserve(team.window.burst()), now),
        };
        self.teams.iter_mut().map(allowance).collect()
    }

    /// Answers a gateway's asks. What is wanted ahead is granted only while plenty is left, so that it is not taken
    /// from requests that wait.
    pub fn grant(&mut self, asks: &[QuotaRequest], now: ClockTime) -> Vec<TokenGrantLine> {
        asks.iter().filter_map(|ask| self.grant_one(ask, now)).collect()
    }

    fn grant_one(&mut self, ask: &QuotaRequest, now: ClockTime) -> Option<TokenGrantLine> {
        let (heard, known) = self.heard_part(now);
        let at = self.teams.binary_search_by(|team| team.team.cmp(&ask.team)).ok()?;
        let window = &mut self.teams.get_mut(at)?.window;
        window.grant(ask.spent_alone, now);
        window.give_back(ask.returned);
        let allowance = window.allowance(now) * heard / known;
        let short = ask.short.min(allowance);
        let ahead = ask.ahead.min((allowance - short) / AHEAD_RESERVE);
        let missing = ask.short - short;
        let wait_ms = if missing > 0 { window.wait_ms(allowance + missing, now) } else { 0 };
        window.grant(short + ahead, now);
        Some(TokenGrantLine { team: ask.team.clone(), granted: short + ahead, wait_ms })
    }
}

/// Tokens that are kept for a team's urgent requests.
fn urgent_reserve(burst: u64) -> u64 {
    (burst * URGENT_PERCENT / 100).max(URGENT_TOKENS).min(burst * MOST_URGENT_PERCENT / 100)
}
