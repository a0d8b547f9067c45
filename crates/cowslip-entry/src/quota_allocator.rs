//! The leader's allocation of quota for all teams.
//!
//! Grants to all gateways come out of one window per team, so they add up to the team's rate and burst. A
//! silent gateway may be spending its standalone share, which is charged as granted until the gateway reports
//! what it has spent.

use cowslip_units::{ClockTime, TeamId};
use smol_str::SmolStr;

use crate::{
    GrantWindow, QuotaRequest, StandaloneQuota, TeamRule, TokenGrantLine, WindowCopy, silent_after_ms,
};

/// Time in ms after which a silent gateway is no longer counted as a member.
const MEMBER_EXPIRY_MS: u64 = 20_000;

/// Time in ms between two charges of what silent gateways may spend.
const CHARGE_INTERVAL_MS: u64 = 100;

/// Share of a team's burst in percent that is reserved for its urgent and its small requests.
const URGENT_PERCENT: u64 = 40;

/// Smallest reserve in tokens, as far as the burst covers it: two requests of typical size.
const MIN_URGENT_TOKENS: u64 = 3_500;

/// Largest reserve, as a share of the burst in percent.
const MAX_URGENT_PERCENT: u64 = 80;

/// Divisor of the allowance that may be granted ahead of demand; the rest stays for waiting requests.
const AHEAD_DIVISOR: u64 = 8;

#[derive(Clone, Debug, PartialEq)]
struct TeamWindow {
    team: TeamId,
    window: GrantWindow,
}

/// A gateway, with its last report to this leader.
#[derive(Clone, Debug, PartialEq)]
struct KnownMember {
    name: SmolStr,
    /// Time of its last report; `None` for a member known from an earlier leader that has not reported yet.
    last_report_at: Option<ClockTime>,
    /// Start of the time for which its standalone share is charged; `None` while it is active.
    silent_since: Option<ClockTime>,
}

impl KnownMember {
    fn is_active(&self, silent_after_ms: u64, now: ClockTime) -> bool {
        self.last_report_at.is_some_and(|at| now.since_ms(at) < silent_after_ms)
    }
}

/// Token windows of all teams, and the members that share them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaAllocator {
    teams: Vec<TeamWindow>,
    members: Vec<KnownMember>,
    /// Size of the fleet according to an earlier leader.
    fleet: usize,
    started_at: ClockTime,
    window_ms: u64,
    /// Tokens that may be granted while earlier leaders' grants are unknown, within the tolerance of the
    /// limit.
    tolerance: u64,
    grants_unknown: bool,
    /// Time up to which standalone shares of silent gateways are charged.
    charged_until: ClockTime,
    /// Grants that the previous leader handed over.
    handed_over: Vec<WindowCopy>,
    handed_over_at: ClockTime,
}

impl QuotaAllocator {
    /// An allocator with windows of `window_ms`; `grants_unknown` when an earlier leader may have granted
    /// tokens. In that case each team's bucket starts with `tolerance` tokens.
    pub fn new(window_ms: u64, tolerance: u64, grants_unknown: bool, now: ClockTime) -> Self {
        Self { window_ms, tolerance, grants_unknown, started_at: now, charged_until: now, ..Self::default() }
    }

    /// Adds the members according to an earlier leader: they may be spending their standalone shares.
    #[must_use]
    pub fn with_members(mut self, names: &[SmolStr]) -> Self {
        let since = Some(self.started_at);
        let member =
            |name: &SmolStr| KnownMember { name: name.clone(), last_report_at: None, silent_since: since };
        self.members = names.iter().map(member).collect();
        self.members.sort_by(|left, right| left.name.cmp(&right.name));
        self
    }

    /// Sets the size of the fleet according to an earlier leader. Gateways that have not reported to this
    /// leader may be spending their standalone shares, whether or not their names are known.
    #[must_use]
    pub fn with_fleet_size(mut self, fleet: usize) -> Self {
        self.fleet = fleet;
        self
    }

    /// Applies the previous leader's grants as of `at`. No earlier grants are unknown after that.
    pub fn apply_handover(&mut self, windows: &[WindowCopy], at: ClockTime, now: ClockTime) {
        for team in &mut self.teams {
            if let Some(copy) = windows.iter().find(|copy| copy.team == team.team) {
                team.window.add_handed_over(copy, at, now);
            }
        }
        self.handed_over = windows.to_vec();
        self.handed_over_at = at;
    }

    /// The grants of the last window, for the handover to the next leader.
    pub fn copies(&mut self, now: ClockTime) -> Vec<WindowCopy> {
        self.charge_silent(now);
        let copy = |team: &mut TeamWindow| WindowCopy {
            team: team.team.clone(),
            grants: team.window.grants(now),
            level: team.window.level(now),
        };
        self.teams.iter_mut().map(copy).collect()
    }

    /// Size of the fleet: the known members or, shortly after a takeover, the size according to an earlier
    /// leader if that is larger.
    pub fn fleet(&self, now: ClockTime) -> usize {
        let earlier = if now.since_ms(self.started_at) < MEMBER_EXPIRY_MS { self.fleet } else { 0 };
        self.members.len().max(earlier).max(1)
    }

    /// Names of the known members, sorted.
    pub fn members(&self) -> Vec<SmolStr> {
        self.members.iter().map(|member| member.name.clone()).collect()
    }

    /// Records that a gateway reported. Its charged standalone share is returned to the windows, because it
    /// reports what it spent.
    pub fn record_contact(&mut self, gateway: &SmolStr, now: ClockTime) {
        self.charge_silent(now);
        let earlier = self.fleet(now) > self.members.len();
        let at = match self.members.binary_search_by(|member| member.name.cmp(gateway)) {
            Ok(at) => at,
            Err(at) => {
                // It may be one of the members of an earlier leader.
                let silent_since = earlier.then_some(self.started_at);
                self.members
                    .insert(at, KnownMember { name: gateway.clone(), last_report_at: None, silent_since });
                at
            }
        };
        let fleet = self.fleet(now) as u64;
        if let Some(member) = self.members.get_mut(at) {
            member.last_report_at = Some(now);
            if let Some(since) = member.silent_since.take() {
                let silent_ms = now.since_ms(since);
                for team in &mut self.teams {
                    team.window.refund(team.window.standalone_tokens(silent_ms) / fleet);
                }
            }
        }
        let started_at = self.started_at;
        self.members
            .retain(|member| now.since_ms(member.last_report_at.unwrap_or(started_at)) < MEMBER_EXPIRY_MS);
    }

    /// Charges what silent gateways may have spent since the last charge.
    fn charge_silent(&mut self, now: ClockTime) {
        let elapsed_ms = now.since_ms(self.charged_until);
        if elapsed_ms < CHARGE_INTERVAL_MS {
            return;
        }
        self.charged_until = now;
        let silent_after_ms = silent_after_ms(self.members.len());
        let fleet = self.fleet(now) as u64;
        let mut silent_count = fleet - self.members.len() as u64;
        for member in self.members.iter_mut().filter(|member| !member.is_active(silent_after_ms, now)) {
            silent_count += 1;
            member.silent_since.get_or_insert(now.minus_ms(elapsed_ms));
        }
        if silent_count > 0 {
            for team in &mut self.teams {
                let tokens = team.window.standalone_tokens(elapsed_ms) * silent_count / fleet;
                team.window.grant(tokens, now);
            }
        }
    }

    /// Applies the rates and bursts of the configuration.
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
        if let Some(copy) = self.handed_over.iter().find(|copy| copy.team == rule.name) {
            window.add_handed_over(copy, self.handed_over_at, now);
            return window;
        }
        if self.grants_unknown { window.with_unknown_grants(self.tolerance) } else { window }
    }

    /// Number of active members, and the size of the fleet.
    fn member_counts(&self, now: ClockTime) -> (u64, u64) {
        let silent_after_ms = silent_after_ms(self.members.len());
        let active =
            self.members.iter().filter(|member| member.is_active(silent_after_ms, now)).count() as u64;
        (active, self.fleet(now) as u64)
    }

    /// Each gateway's standalone share of each team's limit.
    pub fn standalone_quotas(&mut self, now: ClockTime) -> Vec<StandaloneQuota> {
        let fleet = self.fleet(now) as u64;
        let allowance = |team: &mut TeamWindow| StandaloneQuota {
            team: team.team.clone(),
            tokens: team.window.allowance(now) / fleet,
            tight_ms: team.window.wait_ms(urgent_reserve(team.window.burst()), now),
        };
        self.teams.iter_mut().map(allowance).collect()
    }

    /// Answers a gateway's requests for quota. Tokens ahead of demand are granted only while plenty is left,
    /// so that they are not taken from waiting requests.
    pub fn grant(&mut self, requests: &[QuotaRequest], now: ClockTime) -> Vec<TokenGrantLine> {
        requests.iter().filter_map(|request| self.grant_one(request, now)).collect()
    }

    fn grant_one(&mut self, request: &QuotaRequest, now: ClockTime) -> Option<TokenGrantLine> {
        let (active, fleet) = self.member_counts(now);
        let at = self.teams.binary_search_by(|team| team.team.cmp(&request.team)).ok()?;
        let window = &mut self.teams.get_mut(at)?.window;
        window.grant(request.spent_alone, now);
        window.refund(request.returned);
        let allowance = window.allowance(now) * active / fleet;
        let short = request.short.min(allowance);
        let ahead = request.ahead.min((allowance - short) / AHEAD_DIVISOR);
        let missing = request.short - short;
        let wait_ms = if missing > 0 { window.wait_ms(allowance + missing, now) } else { 0 };
        window.grant(short + ahead, now);
        Some(TokenGrantLine { team: request.team.clone(), granted: short + ahead, wait_ms })
    }
}

/// Tokens reserved for a team's urgent requests.
fn urgent_reserve(burst: u64) -> u64 {
    (burst * URGENT_PERCENT / 100).max(MIN_URGENT_TOKENS).min(burst * MAX_URGENT_PERCENT / 100)
}
