//! Teams, their keys and rates.

use cowslip_units::TeamId;
use smol_str::SmolStr;

/// One team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRule {
    /// Its name.
    pub name: TeamId,
    /// Keys in force.
    pub keys: Vec<SmolStr>,
    /// Rank of its requests; `None` when the route's rank counts.
    pub priority: Option<u8>,
    /// True when rate and burst count tokens, false when they count requests.
    pub counts_tokens: bool,
    /// Tokens that a request without a token count is charged.
    pub plain_tokens: u64,
    /// Rate a second; 0 for no limit.
    pub per_s: u64,
    /// Burst on top of the rate.
    pub burst: u64,
}

impl TeamRule {
    /// What a request costs that asks for `tokens`, if it says so.
    pub fn charge(&self, tokens: Option<u64>) -> u64 {
        if self.counts_tokens { tokens.unwrap_or(self.plain_tokens) } else { 1 }
    }

    /// True when the team has a limit.
    pub fn is_limited(&self) -> bool {
        self.per_s > 0 || self.burst > 0
    }
}
