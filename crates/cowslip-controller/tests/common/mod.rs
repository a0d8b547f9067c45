//! A small fleet over sockets: the stand-ins, controllers on threads of their own, and routers that only
//! acknowledge changes.

#![allow(
    clippy::unwrap_used,
    dead_code,
    reason = "a failed set-up fails the test; not every test uses all of it"
)]

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cowslip_controller::{ControllerCore, ControllerSettings, run_controller};
use cowslip_fleet::{ApplyOutcome, FleetView};
use cowslip_messages::{
    ApplyRequest, AttemptStatus, ChangeOutcome, ClaimStatusRequest, ConfirmReply, DemandReport, FetchReply,
    FetchRequest, ModelDemand, OperatorFault, PeerReport, PermitGrant, PermitRequest, PermitReturn,
    PlacementTable, PushReply, PushRequest, ReplicaState, RouterStatus, TableVersion, TeamDemand, TokenGrant,
    TokenRequest, WatchRequest,
};
use cowslip_platform::{EngineClient, PlatformClient, VmEntry, VmRole, VmState};
use cowslip_rpc::{ControllerApiClient, RouterApiServer, connect, fault_from_error};
use cowslip_runtime::MetricSink;
use cowslip_standins::{EngineJournal, EngineServer, PlatformServer, RunningServer, StandinClient};
use cowslip_units::{DomainId, IncarnationId, MemorySize, ModelId, VmId};
use jsonrpsee::core::{ClientError, RpcResult, async_trait};
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use serde_json::json;
use tokio::sync::oneshot;

pub(crate) const TOKEN: &str = "operators-token-for-tests";

/// How the thread of a controller ends.
enum Ending {
    /// As on SIGTERM.
    Stop,
    /// As on SIGKILL: nothing more is written or answered.
    Kill,
}

/// A controller on a thread of its own.
pub(crate) struct RunningController {
    pub(crate) addr: SocketAddr,
    ending: Option<oneshot::Sender<Ending>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningController {
    pub(crate) fn start(vm: &str, addr: SocketAddr, platform: SocketAddr) -> Self {
        let text = format!(
            "[controller]\nvm = {vm}\ndomain = d0\nrpc_addr = {addr}\nplatform = {platform}\noperator_token = {TOKEN}\n"
        );
        let settings = ControllerSettings::from_text(Path::new("test.ini"), &text).unwrap();
        let (ending, ended) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                let logger = slog::Logger::root(slog::Discard, slog::o!());
                let metrics = MetricSink::new("test", None);
                let (platform, engines) = (PlatformClient::new(platform), EngineClient::new());
                let core = ControllerCore::new(settings, platform, engines, logger, metrics).unwrap();
                let (stop, stopped) = oneshot::channel();
                let run = run_controller(core, async move { stopped.await.unwrap_or(()) });
                let mut run = std::pin::pin!(run);
                tokio::select! {
                    result = &mut run => result.unwrap(),
                    ending = ended => if matches!(ending, Ok(Ending::Stop)) {
                        stop.send(()).unwrap();
                        run.await.unwrap();
                    }
                }
            });
            runtime.shutdown_background();
        });
        Self { addr, ending: Some(ending), thread: Some(thread) }
    }

    pub(crate) fn kill(&mut self) {
        self.end(Ending::Kill);
    }

    pub(crate) fn stop(&mut self) {
        self.end(Ending::Stop);
    }

    fn end(&mut self, ending: Ending) {
        if let Some(sender) = self.ending.take() {
            let _ = sender.send(ending);
        }
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }

    pub(crate) fn client(&self) -> HttpClient {
        connect(self.addr, 8_000).unwrap()
    }
}

impl Drop for RunningController {
    fn drop(&mut self) {
        self.end(Ending::Kill);
    }
}

/// A router that stores the pushed view and does nothing else.
#[derive(Clone)]
pub(crate) struct FakeRouter {
    pub(crate) incarnation: IncarnationId,
    vm: VmId,
    pub(crate) view: Arc<Mutex<FleetView>>,
}

impl FakeRouter {
    pub(crate) async fn start(vm: &str, addr: SocketAddr) -> (Self, ServerHandle) {
        let router = Self {
            incarnation: IncarnationId::new(&format!("{vm}:router")).unwrap(),
            vm: VmId::new(vm).unwrap(),
            view: Arc::default(),
        };
        let server = ServerBuilder::default().build(addr).await.unwrap();
        (router.clone(), server.start(router.into_rpc()))
    }
}

fn unused<T>() -> RpcResult<T> {
    Err(ErrorObjectOwned::owned(-32_601, "not used in these tests", None::<()>))
}

#[async_trait]
impl RouterApiServer for FakeRouter {
    async fn view_push(&self, request: PushRequest) -> RpcResult<PushReply> {
        let mut view = self.view.lock().unwrap();
        let gap = request.changes.iter().any(|change| view.apply(change) == ApplyOutcome::Gap);
        assert!(!gap || !request.changes.is_empty());
        Ok(PushReply { incarnation: self.incarnation.clone(), version: view.version() })
    }

    async fn router_status(&self) -> RpcResult<RouterStatus> {
        Ok(RouterStatus {
            incarnation: self.incarnation.clone(),
            vm: self.vm.clone(),
            version: self.view.lock().unwrap().version(),
            confirm_age_ms: Some(0),
            degraded: false,
            waiting: 0,
            running: 0,
            draining: false,
            violations: 0,
        })
    }

    async fn view_confirm(&self) -> RpcResult<ConfirmReply> {
        unused()
    }
    async fn view_fetch(&self, _: FetchRequest) -> RpcResult<FetchReply> {
        unused()
    }
    async fn peer_exchange(&self, _: PeerReport) -> RpcResult<PeerReport> {
        unused()
    }
    async fn tokens_borrow(&self, _: TokenRequest) -> RpcResult<TokenGrant> {
        unused()
    }
    async fn permit_borrow(&self, _: PermitRequest) -> RpcResult<PermitGrant> {
        unused()
    }
    async fn permit_return(&self, _: PermitReturn) -> RpcResult<()> {
        unused()
    }
    async fn claim_status(&self, _: ClaimStatusRequest) -> RpcResult<AttemptStatus> {
        unused()
    }
}

/// Stand-ins, entry VMs `e0` and `e1` on free addresses, and two controllers.
pub(crate) struct TestFleet {
    pub(crate) platform: RunningServer,
    pub(crate) engines: Vec<RunningServer>,
    pub(crate) controllers: Vec<RunningController>,
    pub(crate) routers: Vec<SocketAddr>,
    pub(crate) sheet: String,
    sequence: u64,
}

/// A free port below the range of ephemeral ports, so that no outgoing connection takes it before the server
/// listens.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id().wrapping_mul(97);
        let port = u16::try_from(12_000 + number % 18_000).unwrap();
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return SocketAddr::from(([127, 0, 0, 1], port));
        }
    }
}

impl TestFleet {
    /// Starts two engines of 1,000 MiB, models `m0` to `m2` of 600 MiB that load in `load_ms`, the adapter
    /// `a0` of `m0`, and two controllers.
    pub(crate) async fn start(load_ms: u64) -> Self {
        let mut vms = Vec::new();
        let mut addrs = Vec::new();
        for at in 0..2 {
            let (router, controller) = (free_addr(), free_addr());
            addrs.push((router, controller));
            vms.push(vm(&format!("e{at}"), VmRole::Entry, router, Some(controller)));
        }
        let engine = |at: usize| {
            let name = format!("u{at}");
            EngineServer::new(&name).with_memory(MemorySize::new(1_000)).with_report_lag_ms(100)
        };
        // The platform lists the engines, so their addresses must be known before it starts.
        let engine_addrs: Vec<SocketAddr> = (0..2).map(|_| free_addr()).collect();
        for (at, addr) in engine_addrs.iter().enumerate() {
            vms.push(vm(&format!("u{at}"), VmRole::Upstream, *addr, None));
        }
        let mut platform = PlatformServer::new().with_vm_list_lag_ms(0);
        for entry in vms {
            platform = platform.with_vm(entry);
        }
        let platform = platform.start().unwrap();
        let engines = engine_addrs
            .iter()
            .enumerate()
            .map(|(at, addr)| engine(at).with_addr(*addr).with_platform(platform.addr).start().unwrap());
        let engines: Vec<RunningServer> = engines.collect();
        let controllers = addrs.iter().enumerate().map(|(at, (_, controller))| {
            RunningController::start(&format!("e{at}"), *controller, platform.addr)
        });
        let controllers: Vec<RunningController> = controllers.collect();
        eventually("the controllers listen", 5_000, || async {
            let listens = |controller: &RunningController| TcpStream::connect(controller.addr).is_ok();
            controllers.iter().all(listens).then_some(())
        })
        .await;
        let sheet = sheet_text(&engine_addrs, load_ms);
        let routers = addrs.iter().map(|(router, _)| *router).collect();
        Self { platform, engines, controllers, routers, sheet, sequence: 0 }
    }

    /// Applies the sheet, and retries until it is accepted.
    pub(crate) async fn apply_sheet(&self) -> ChangeOutcome {
        let text = self.sheet.clone();
        eventually("the sheet is applied", 5_000, || async {
            apply(&self.controllers[1].client(), "sheet-1", &text, None).await.ok()
        })
        .await
    }

    /// Index of the controller that leads.
    pub(crate) async fn leader(&self) -> usize {
        eventually("a controller leads", 10_000, || async {
            for (at, controller) in self.controllers.iter().enumerate() {
                let request = WatchRequest { since: TableVersion::default(), wait_ms: 0 };
                if controller.ending.is_some() && controller.client().placement_watch(request).await.is_ok() {
                    return Some(at);
                }
            }
            None
        })
        .await
    }

    /// Reports a waiting request for `model` to the leader, and returns its table.
    pub(crate) async fn demand(&mut self, leader: usize, model: &str) -> Result<PlacementTable, ClientError> {
        self.sequence += 1;
        let client = self.controllers[leader].client();
        let request = WatchRequest { since: TableVersion::default(), wait_ms: 0 };
        let table = client.placement_watch(request).await?.table.unwrap_or_default();
        let mut report = demand_report("e0:router", table.version, model);
        report.sequence = self.sequence;
        client.demand(report).await?;
        Ok(table)
    }

    /// Reports a waiting request for `model` until the leader's table satisfies `done`.
    pub(crate) async fn demand_until(
        &mut self,
        model: &str,
        limit_ms: u64,
        done: impl Fn(&PlacementTable) -> bool,
    ) -> PlacementTable {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        let mut last = None;
        while Instant::now() < end {
            let leader = self.leader().await;
            if let Ok(table) = self.demand(leader, model).await {
                if done(&table) {
                    return table;
                }
                last = Some(table);
            }
            pause_ms(50).await;
        }
        panic!("not reached within {limit_ms} ms, last table {last:#?}");
    }

    pub(crate) async fn platform_fault(&self, service: &str, mode: &str) {
        let fault = json!({"service": service, "mode": mode});
        StandinClient::new(self.platform.addr).put_fault(&fault).await.unwrap();
    }

    pub(crate) async fn journals(&self) -> Vec<EngineJournal> {
        let mut journals = Vec::new();
        for engine in &self.engines {
            let value = StandinClient::new(engine.addr).journal().await.unwrap();
            journals.push(serde_json::from_value(value).unwrap());
        }
        journals
    }
}

/// A report with one waiting request; the sequence follows the system clock.
pub(crate) fn demand_report(router: &str, table: TableVersion, model: &str) -> DemandReport {
    let waiting = TeamDemand { team: None, urgent: 1, batch: 0, slack_ms: Some(20_000), oldest_ms: 10 };
    let demand = ModelDemand {
        model: ModelId::new(model).unwrap(),
        waiting: vec![waiting],
        running: 0,
        arrived: 1,
        running_on: Vec::new(),
    };
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    DemandReport {
        incarnation: IncarnationId::new(router).unwrap(),
        sequence: u64::try_from(since.as_millis()).unwrap(),
        table,
        models: vec![demand],
    }
}

pub(crate) fn is_loaded(table: &PlacementTable, model: &str) -> bool {
    let loaded = |place: &cowslip_messages::ReplicaPlacement| {
        place.model.as_str() == model && place.state == ReplicaState::Loaded
    };
    table.replicas.iter().any(loaded)
}

pub(crate) async fn apply(
    client: &HttpClient,
    change_id: &str,
    text: &str,
    base: Option<cowslip_units::ViewVersion>,
) -> Result<ChangeOutcome, OperatorFault> {
    let request = ApplyRequest {
        token: TOKEN.into(),
        change_id: change_id.into(),
        author: "operator".into(),
        base,
        text: text.to_owned(),
    };
    client
        .apply_sheet(request)
        .await
        .map_err(|error| fault_from_error(&error).unwrap_or_else(|| panic!("{error}")))
}

/// Repeats `probe` until it returns a value.
pub(crate) async fn eventually<T, F: Future<Output = Option<T>>>(
    what: &str,
    limit_ms: u64,
    probe: impl Fn() -> F,
) -> T {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < end, "{what}: not within {limit_ms} ms");
        pause_ms(50).await;
    }
}

pub(crate) async fn pause_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

fn vm(name: &str, role: VmRole, address: SocketAddr, controller: Option<SocketAddr>) -> VmEntry {
    VmEntry {
        vm: VmId::new(name).unwrap(),
        domain: DomainId::new("d0").unwrap(),
        role,
        state: VmState::Live,
        address,
        controller,
    }
}

fn sheet_text(engines: &[SocketAddr], load_ms: u64) -> String {
    let mut text =
        "kind,name,domain,address,engine,fencing,memory_mib,slots,fresh_slots,ramp_ms,kv_mib_per_slot,\
                    kv_slots,max_replicas,load_ms,model,rate,burst,path,methods,teams,open,models,services,\
                    idempotent,deadline_ms,call_tokens,value\ndomain,d0\n"
            .to_owned();
    for (at, addr) in engines.iter().enumerate() {
        text += &format!("upstream,u{at},d0,{addr},model,checks,1000,8,2,200\n");
    }
    for at in 0..3 {
        text += &format!("model,m{at},,,,,520,,,,10,8,2,{load_ms}\n");
    }
    text += "adapter,a0,,,,,20,,,,,,,20,m0\nteam,crew,,,,,,,,,,,,,,1000,5000\n";
    text += "route,models,,,,,,,,,,,,,,,,/v1/,,crew,no,a0;m0;m1;m2,,yes,20000,\n";
    text.lines().map(|line| format!("{line}{}\n", ",".repeat(26 - line.matches(',').count()))).collect()
}
