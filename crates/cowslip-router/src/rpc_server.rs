//! RPC interface of the router to other processes.

use std::sync::Arc;

use cowslip_messages::{
    AttemptStatus, ClaimStatusRequest, ConfirmReply, FetchReply, FetchRequest, PeerReport, PermitGrant,
    PermitRequest, PermitReturn, PushReply, PushRequest, RouterStatus, TokenGrant, TokenRequest,
};
use cowslip_rpc::RouterApiServer;
use jsonrpsee::core::{RpcResult, async_trait};

use crate::RouterCore;
use crate::peer_exchange::{apply_report, build_report};
use crate::view_sync::apply_changes;

/// RPC server of a router.
#[derive(Clone, Debug)]
pub struct RpcServer {
    core: Arc<RouterCore>,
}

impl RpcServer {
    /// Creates a server that uses `core`.
    pub const fn new(core: Arc<RouterCore>) -> Self {
        Self { core }
    }
}

#[async_trait]
impl RouterApiServer for RpcServer {
    async fn view_push(&self, request: PushRequest) -> RpcResult<PushReply> {
        if apply_changes(&self.core, &request.changes, None).await.is_err() {
            self.core.signals.view_outdated.notify_one();
        }
        let version = self.core.state().view.version();
        Ok(PushReply { incarnation: self.core.incarnation.clone(), version })
    }

    async fn view_confirm(&self) -> RpcResult<ConfirmReply> {
        let now = self.core.now();
        let state = self.core.state();
        Ok(state.confirmation.reply(&state.view, now))
    }

    async fn view_fetch(&self, request: FetchRequest) -> RpcResult<FetchReply> {
        let state = self.core.state();
        let (snapshot, changes) = match state.view.changes_since(request.since) {
            Some(changes) => (None, changes),
            None => (Some(state.view.to_snapshot()), Vec::new()),
        };
        let newer = state.view.sheet_ref().is_some_and(|sheet| sheet.version > request.since);
        let sheet_text = newer.then(|| state.sheet_text.to_string());
        Ok(FetchReply { snapshot, changes, sheet_text })
    }

    async fn peer_exchange(&self, report: PeerReport) -> RpcResult<PeerReport> {
        apply_report(&self.core, &report);
        Ok(build_report(&self.core, &report.incarnation))
    }

    async fn tokens_borrow(&self, request: TokenRequest) -> RpcResult<TokenGrant> {
        let now = self.core.now();
        let mut state = self.core.state();
        let can_admit = state.confirmation.can_admit(now);
        Ok(state.shares.lend(&request, can_admit, now))
    }

    async fn permit_borrow(&self, request: PermitRequest) -> RpcResult<PermitGrant> {
        let now = self.core.now();
        let mut state = self.core.state();
        let can_admit = state.confirmation.can_admit(now);
        Ok(state.permits.lend(&request, can_admit, now))
    }

    async fn permit_return(&self, request: PermitReturn) -> RpcResult<()> {
        self.core.state().permits.returned(&request);
        self.core.signals.dispatch.notify_one();
        Ok(())
    }

    async fn claim_status(&self, request: ClaimStatusRequest) -> RpcResult<AttemptStatus> {
        Ok(self.core.state().claims.attempt_status(&request))
    }

    async fn router_status(&self) -> RpcResult<RouterStatus> {
        let now = self.core.now();
        let state = self.core.state();
        let count = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
        Ok(RouterStatus {
            incarnation: self.core.incarnation.clone(),
            vm: self.core.settings.vm.clone(),
            version: state.view.version(),
            confirm_age_ms: state.confirmation.age_ms(now),
            degraded: state.confirmation.is_degraded(now),
            waiting: count(state.queue.len()),
            running: count(state.running.len()),
            draining: state.draining,
            violations: state.violations,
        })
    }
}
