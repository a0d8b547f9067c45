//! Tokens reserved for a request.

use std::sync::Arc;

use cowslip_units::{TeamId, TokenCount};

use crate::{RouterCore, RouterPolicy};

/// A reservation of tokens; unused ones are returned when it is dropped. Must not be dropped while the state
/// is locked, because dropping locks it.
#[derive(Debug)]
pub struct TokenReservation {
    core: Arc<RouterCore>,
    team: TeamId,
    reserved: TokenCount,
    used: TokenCount,
}

impl TokenReservation {
    /// Creates a reservation of `reserved` tokens of `team`, none of them used yet.
    pub fn new(core: &Arc<RouterCore>, team: TeamId, reserved: TokenCount) -> Self {
        Self { core: Arc::clone(core), team, reserved, used: TokenCount::ZERO }
    }

    /// Number of reserved tokens.
    pub const fn reserved(&self) -> TokenCount {
        self.reserved
    }

    /// Sets the number of tokens that the request used.
    pub fn set_used(&mut self, tokens: u64) {
        self.used = TokenCount::new(tokens);
    }

    /// Marks the request as sent: all reserved tokens count as used until the actual number is known.
    pub fn mark_sent(&mut self) {
        self.used = self.reserved;
    }

    /// Marks the request as not run: no tokens count as used.
    pub fn mark_not_run(&mut self) {
        self.used = TokenCount::ZERO;
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let unused = self.reserved.minus(self.used);
        if unused > TokenCount::ZERO {
            let now = self.core.now();
            let mut state = self.core.state();
            match self.core.settings.policy {
                RouterPolicy::Shared => state.shares.return_unused(&self.team, unused, now),
                RouterPolicy::Fixed => state.fixed_shares.return_unused(&self.team, unused, now),
            }
        }
    }
}
