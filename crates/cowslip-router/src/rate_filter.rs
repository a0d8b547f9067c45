//! Reserves the tokens of a request from its team's rate.

use std::sync::Arc;

use cowslip_fleet::{ReserveStep, TokenCall};
use cowslip_routing::ErrorResponse;
use cowslip_rpc::RouterApiClient;
use cowslip_units::{ClockTime, ErrorKind, TeamId, TokenCount};
use futures::future::join_all;
use tokio::time::{Duration, sleep};

use crate::{RequestAction, RequestContext, RequestFilter, RouterCore, TokenReservation};

/// Longest delay in ms between two attempts; other requests may return tokens in the meantime.
const MAX_SLEEP_MS: u64 = 50;

/// Reserves tokens for requests. Reports reserve theirs when they run, not when they are accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateFilter;

impl RequestFilter for RateFilter {
    async fn apply(&self, core: &Arc<RouterCore>, context: &mut RequestContext) -> Result<(), ErrorResponse> {
        let (Some(team), Some(matched)) = (&context.team, &context.matched) else {
            return Ok(());
        };
        if matched.cost == 0 || matches!(matched.action, RequestAction::NewReport(_)) {
            return Ok(());
        }
        let amount = TokenCount::new(matched.cost);
        context.tokens = Some(reserve_tokens(core, team, amount, context.deadline).await?);
        Ok(())
    }
}

/// Counts the tokens of a request that waits for its team's rate, until dropped.
struct TokenWaitGuard<'a> {
    core: &'a Arc<RouterCore>,
    team: &'a TeamId,
    amount: u64,
}

impl Drop for TokenWaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.core.state();
        if let Some(ahead) = state.waiting_tokens.get_mut(self.team) {
            *ahead = ahead.saturating_sub(self.amount);
        }
        state.waiting_tokens.retain(|_, ahead| *ahead > 0);
    }
}

/// Reserves tokens of the team. Waits for them if the deadline allows, otherwise rejects the request.
pub(crate) async fn reserve_tokens(
    core: &Arc<RouterCore>,
    team: &TeamId,
    amount: TokenCount,
    deadline: ClockTime,
) -> Result<TokenReservation, ErrorResponse> {
    let mut ahead_ms = 0;
    let mut waiting: Option<TokenWaitGuard<'_>> = None;
    loop {
        let now = core.now();
        let step = core.state().reserve(core.settings.policy, team, amount, now);
        let wait_ms = match step {
            ReserveStep::Reserved => return Ok(TokenReservation::new(core, team.clone(), amount)),
            ReserveStep::TooLarge => {
                let message = format!("the request needs {amount}, more than the team's whole burst");
                return Err(ErrorResponse::new(ErrorKind::RequestTooLarge, &message));
            }
            ReserveStep::UnknownTeam => {
                let message = "the team of the key is not declared any more";
                return Err(ErrorResponse::new(ErrorKind::RouteForbidden, message));
            }
            ReserveStep::Borrow(calls) => {
                borrow_tokens(core, calls).await;
                continue;
            }
            ReserveStep::Wait(wait_ms) => wait_ms,
        };
        if waiting.is_none() {
            let mut state = core.state();
            let ahead = state.waiting_tokens.entry(team.clone()).or_default();
            let earlier = *ahead;
            *ahead += amount.get();
            let rate = state.sheet.team(team).map(|row| row.rate).unwrap_or_default();
            ahead_ms = rate.millis_for(TokenCount::new(earlier)).unwrap_or(u64::MAX);
            drop(state);
            waiting = Some(TokenWaitGuard { core, team, amount: amount.get() });
        }
        if deadline == ClockTime::NEVER && core.state().draining {
            return Err(ErrorResponse::new(ErrorKind::Draining, "this VM is stopping"));
        }
        let expected_ms = wait_ms.saturating_add(ahead_ms);
        if now.plus_ms(expected_ms) > deadline {
            let message = "the team's rate and burst are used up";
            return Err(ErrorResponse::new(ErrorKind::RateLimited, message).with_retry_ms(expected_ms));
        }
        let sleep_ms = wait_ms.min(MAX_SLEEP_MS);
        ahead_ms = ahead_ms.saturating_sub(sleep_ms);
        sleep(Duration::from_millis(sleep_ms)).await;
    }
}

/// Sends borrow calls concurrently and applies the grants.
async fn borrow_tokens(core: &Arc<RouterCore>, calls: Vec<TokenCall>) {
    let calls = calls.into_iter().map(|call| async move {
        let sequence = call.request.sequence;
        let client = core.rpc_addr(&call.lender).and_then(|addr| core.peers.call(addr));
        let grant = match client {
            Some(client) => client.tokens_borrow(call.request).await.ok(),
            None => None,
        };
        let now = core.now();
        core.state().shares.borrow_answered(&call.lender, sequence, grant.as_ref(), now);
    });
    core.metrics.count("token_borrows", calls.len() as u64);
    join_all(calls).await;
}
