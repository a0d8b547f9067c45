//! The JSON-RPC interface of a controller.

use std::time::Duration;

use cowslip_messages::{
    ApplyRequest, ChangeOutcome, DemandReply, DemandReport, ExplainReply, KeyRequest, OperatorFault,
    StatusReply, SwitchRequest, WatchReply, WatchRequest,
};
use cowslip_platform::EngineOrders;
use cowslip_rpc::{ControllerApiClient, ControllerApiServer, connect, error_from_fault};
use cowslip_units::ModelId;
use jsonrpsee::core::{RpcResult, async_trait};
use tokio::time::{Instant, timeout_at};

use crate::operator_fault::not_leader;
use crate::{ControllerCore, PlatformServices};

/// Time-out in ms of a status call forwarded to the leader, which itself waits for silent routers.
const STATUS_TIMEOUT_MS: u64 = 1_500;
/// Longest long poll, in ms.
const MAX_WATCH_MS: u64 = 30_000;

/// Implements the JSON-RPC interface for routers and operators.
#[derive(Clone, Debug)]
pub struct ControllerService<P: Clone, E: Clone> {
    core: ControllerCore<P, E>,
}

impl<P: PlatformServices, E: EngineOrders> ControllerService<P, E> {
    /// Creates the service of a controller.
    pub const fn new(core: ControllerCore<P, E>) -> Self {
        Self { core }
    }

    fn not_leader(&self) -> OperatorFault {
        not_leader(self.core.lock().leader_addr())
    }

    async fn local_status(&self) -> StatusReply {
        let statuses = self.core.router_statuses().await;
        let state = self.core.lock();
        let mut reply = StatusReply {
            version: state.view.version(),
            sheet: state.view.sheet_ref().map(|sheet| (sheet.version, sheet.digest.clone())),
            leader: state.leader_vm().cloned(),
            routers: Vec::new(),
            silent: Vec::new(),
            upstreams: Vec::new(),
            replicas: Vec::new(),
        };
        for (_, status) in statuses {
            reply.routers.extend(status);
        }
        for member in state.view.members() {
            if !reply.routers.iter().any(|status| status.incarnation == member.incarnation) {
                reply.silent.push(member.vm.clone());
            }
        }
        if let Some(leader) = &state.leader {
            reply.upstreams = leader.planner.upstream_status();
            reply.replicas = leader.planner.model_status();
        }
        reply
    }
}

#[async_trait]
impl<P: PlatformServices, E: EngineOrders> ControllerApiServer for ControllerService<P, E> {
    async fn demand(&self, report: DemandReport) -> RpcResult<DemandReply> {
        let now = self.core.now();
        let mut state = self.core.lock();
        let Some(leader) = &mut state.leader else {
            drop(state);
            return Err(error_from_fault(&self.not_leader()));
        };
        let reply = leader.planner.demand_report(report, now);
        drop(state);
        self.core.planner_wake.notify_one();
        Ok(reply)
    }

    async fn placement_watch(&self, request: WatchRequest) -> RpcResult<WatchReply> {
        let end = Instant::now() + Duration::from_millis(request.wait_ms.min(MAX_WATCH_MS));
        loop {
            let changed = self.core.table_wake.notified();
            let mut changed = std::pin::pin!(changed);
            // Registered before the version is read, so that no change in between is missed.
            changed.as_mut().enable();
            let found = {
                let now = self.core.now();
                let state = self.core.lock();
                state.leader.as_ref().map(|leader| {
                    let newer = leader.planner.version() > request.since;
                    newer.then(|| leader.planner.table(now))
                })
            };
            match found {
                None => return Err(error_from_fault(&self.not_leader())),
                Some(Some(table)) => return Ok(WatchReply { table: Some(table) }),
                Some(None) => {}
            }
            if timeout_at(end, changed).await.is_err() {
                return Ok(WatchReply { table: None });
            }
        }
    }

    async fn apply_sheet(&self, request: ApplyRequest) -> RpcResult<ChangeOutcome> {
        self.core.apply_sheet(request).await.map_err(|fault| error_from_fault(&fault))
    }

    async fn sheet_text(&self) -> RpcResult<String> {
        let state = self.core.lock();
        Ok(state.sheet.as_ref().map(|loaded| loaded.text.clone()).unwrap_or_default())
    }

    async fn key_give(&self, request: KeyRequest) -> RpcResult<ChangeOutcome> {
        self.core.change_key(request, true).await.map_err(|fault| error_from_fault(&fault))
    }

    async fn key_withdraw(&self, request: KeyRequest) -> RpcResult<ChangeOutcome> {
        self.core.change_key(request, false).await.map_err(|fault| error_from_fault(&fault))
    }

    async fn set_domain(&self, request: SwitchRequest) -> RpcResult<ChangeOutcome> {
        self.core.switch_domain(request).await.map_err(|fault| error_from_fault(&fault))
    }

    async fn set_upstream(&self, request: SwitchRequest) -> RpcResult<ChangeOutcome> {
        self.core.switch_upstream(request).await.map_err(|fault| error_from_fault(&fault))
    }

    async fn status(&self) -> RpcResult<StatusReply> {
        let is_leading = self.core.lock().leader.is_some();
        let leader = self.core.lock().leader_addr().filter(|_| !is_leading);
        // Only the leader has the state of upstreams and replicas.
        let client = leader.and_then(|addr| connect(addr, STATUS_TIMEOUT_MS).ok());
        if let Some(client) = client
            && let Ok(reply) = client.status().await
        {
            return Ok(reply);
        }
        Ok(self.local_status().await)
    }

    async fn explain(&self, model: ModelId) -> RpcResult<ExplainReply> {
        let now = self.core.now();
        let lines = {
            let state = self.core.lock();
            state.leader.as_ref().map(|leader| leader.planner.explain(&model, now))
        };
        match lines {
            Some(lines) => Ok(ExplainReply { model, lines }),
            None => Err(error_from_fault(&self.not_leader())),
        }
    }
}
