//! Teams with their keys and rate limits.

use cowslip_units::TeamId;
use smol_str::SmolStr;

/// One team, as operators declare it.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRule {
    /// Name of the team.
    pub name: TeamId,
    /// API keys that are valid now.
    pub keys: Vec<SmolStr>,
    /// Priority of its requests; `None` for the priority of the route.
    pub priority: Option<u8>,
    /// True when rate and burst are in tokens, false when they are in requests.
    pub counts_tokens: bool,
    /// Tokens charged for a request without a token count.
    pub plain_tokens: u64,
    /// Rate in tokens or requests a second; 0 for no limit.
    pub per_s: u64,
    /// Burst on top of the rate, in the same unit.
    pub burst: u64,
}

impl TeamRule {
    /// Charge for a request of `tokens`; `None` when it has no token count.
    pub fn charge(&self, tokens: Option<u64>) -> u64 {
        if self.counts_tokens { tokens.unwrap_or(self.plain_tokens) } else { 1 }
    }

    /// True when the team has a rate limit.
    pub fn is_limited(&self) -> bool {
        self.per_s > 0 || self.burst > 0
    }
}
