//! Runs `cowslipctl` as a process against fake controllers on real sockets.

// `allow-unwrap-in-tests` in clippy.toml covers test functions, but not the fake controller and other
// helpers.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cowslip_messages::{
    ApplyRequest, ChangeOutcome, DemandReply, DemandReport, ExplainReply, KeyRequest, OperatorFault,
    RouterStatus, StatusReply, SwitchRequest, WatchReply, WatchRequest,
};
use cowslip_rpc::{ControllerApiServer, error_from_fault};
use cowslip_runtime::sha256_hex;
use cowslip_units::{ErrorKind, ModelId, ViewVersion, VmId};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::Server;
use rstest::rstest;

const SHEET: &str = "kind,name\ndomain,d1\n";

/// State shared by the fake controllers, like the table service of real ones.
#[derive(Default)]
struct FakeStore {
    /// Change ids in commit order.
    applied: Vec<String>,
    /// Every change call received: change id, and name, digest or text.
    calls: Vec<(String, String)>,
    /// Number of status calls received.
    status_calls: u64,
}

#[derive(Clone, Default)]
struct FakeController {
    store: Arc<Mutex<FakeStore>>,
    /// Rejects every call with this kind.
    rejects_with: Option<ErrorKind>,
    /// Leader address returned with rejections.
    leader: Option<SocketAddr>,
    /// Commits changes but never answers.
    loses_responses: bool,
    /// Number of status calls until the fake router has the change; with zero, changes are in force
    /// immediately.
    lag_calls: u64,
}

fn fault(kind: ErrorKind, leader: Option<SocketAddr>) -> OperatorFault {
    let leader = leader.map(|leader| leader.to_string().into());
    OperatorFault { kind, messages: vec![format!("test {kind}")], leader }
}

impl FakeController {
    fn admit(&self) -> RpcResult<()> {
        self.rejects_with.map_or(Ok(()), |kind| Err(error_from_fault(&fault(kind, self.leader))))
    }

    async fn change(&self, token: &str, change_id: &str, subject: &str) -> RpcResult<ChangeOutcome> {
        if token != "secret" {
            return Err(error_from_fault(&fault(ErrorKind::OperatorUnknown, None)));
        }
        let version = {
            let mut store = self.store.lock().unwrap();
            store.calls.push((change_id.to_owned(), subject.to_owned()));
            self.admit()?;
            if !store.applied.iter().any(|id| id == change_id) {
                store.applied.push(change_id.to_owned());
            }
            let at = store.applied.iter().position(|id| id == change_id).unwrap();
            ViewVersion::new(at as u64 + 1)
        };
        if self.loses_responses {
            std::future::pending::<()>().await;
        }
        let everywhere = self.lag_calls == 0;
        let pending = if everywhere { vec![] } else { vec![VmId::new("vm1").unwrap()] };
        Ok(ChangeOutcome { version, changed: true, everywhere, pending, took_ms: 7 })
    }

    async fn start(&self) -> SocketAddr {
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let addr = server.local_addr().unwrap();
        let handle = server.start(self.clone().into_rpc());
        tokio::spawn(handle.stopped());
        addr
    }
}

#[async_trait]
impl ControllerApiServer for FakeController {
    async fn demand(&self, _report: DemandReport) -> RpcResult<DemandReply> {
        Err(error_from_fault(&fault(ErrorKind::Internal, None)))
    }
    async fn placement_watch(&self, _request: WatchRequest) -> RpcResult<WatchReply> {
        Err(error_from_fault(&fault(ErrorKind::Internal, None)))
    }
    async fn apply_sheet(&self, request: ApplyRequest) -> RpcResult<ChangeOutcome> {
        self.change(&request.token, &request.change_id, &request.text).await
    }
    async fn sheet_text(&self) -> RpcResult<String> {
        Ok(SHEET.to_owned())
    }
    async fn key_give(&self, request: KeyRequest) -> RpcResult<ChangeOutcome> {
        self.change(&request.token, &request.change_id, &request.digest).await
    }
    async fn key_withdraw(&self, request: KeyRequest) -> RpcResult<ChangeOutcome> {
        assert_eq!(request.team, None);
        self.change(&request.token, &request.change_id, &request.digest).await
    }
    async fn set_domain(&self, request: SwitchRequest) -> RpcResult<ChangeOutcome> {
        self.change(&request.token, &request.change_id, &format!("{} {}", request.name, request.out)).await
    }
    async fn set_upstream(&self, request: SwitchRequest) -> RpcResult<ChangeOutcome> {
        self.change(&request.token, &request.change_id, &format!("{} {}", request.name, request.out)).await
    }
    async fn status(&self) -> RpcResult<StatusReply> {
        let mut store = self.store.lock().unwrap();
        store.status_calls += 1;
        let head = ViewVersion::new(store.applied.len() as u64);
        let version = if store.status_calls > self.lag_calls { head } else { ViewVersion::ZERO };
        let router = RouterStatus {
            incarnation: "vm1:1".parse().unwrap(),
            vm: VmId::new("vm1").unwrap(),
            version,
            confirm_age_ms: Some(20),
            degraded: false,
            waiting: 0,
            running: 3,
            draining: false,
            violations: 0,
        };
        Ok(StatusReply {
            version: head,
            sheet: None,
            leader: None,
            routers: vec![router],
            silent: vec![],
            upstreams: vec![],
            replicas: vec![],
        })
    }
    async fn explain(&self, model: ModelId) -> RpcResult<ExplainReply> {
        self.admit()?;
        Ok(ExplainReply { model, lines: vec!["loaded on u1".to_owned()] })
    }
}

/// Runs `cowslipctl` with settings that list `controllers`.
async fn run(controllers: &[SocketAddr], token: &str, args: &[&str]) -> Output {
    let listed: Vec<String> = controllers.iter().map(ToString::to_string).collect();
    let name = format!("{}-{}.ini", listed[0].replace(':', "-"), args.join("-").replace('/', "_"));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let settings = format!(
        "[operator]\ncontrollers = {}\ntoken = {token}\nauthor = test\ntimeout_ms = 1000\n",
        listed.join(", ")
    );
    std::fs::write(&path, settings).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_cowslipctl"));
    command.arg("--settings").arg(&path).args(args);
    tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

fn sheet_file(name: &str, text: &str) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// An address without a listener: a privileged port, which is never assigned to another test.
fn closed_addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Guards against rejections that are retried at another controller or exit with the wrong code.
#[rstest]
#[case::wrong_token("wrong", None, "operator_unknown")]
#[case::conflict("secret", Some(ErrorKind::ChangeConflict), "change_conflict")]
#[tokio::test]
async fn rejection_is_final(
    #[case] token: &str,
    #[case] rejects_with: Option<ErrorKind>,
    #[case] kind: &str,
) {
    let other = FakeController::default();
    let first = FakeController { rejects_with, ..FakeController::default() };
    let addrs = [first.start().await, other.start().await];
    let sheet = sheet_file(&format!("{kind}.csv"), SHEET);
    let output = run(&addrs, token, &["--json", "apply", &sheet, "--base", "3"]).await;
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(json["error"]["kind"], kind);
    assert!(other.store.lock().unwrap().calls.is_empty());
}

/// Guards against repeating a lost call under a new change id, which would commit the change twice.
#[tokio::test]
async fn lost_call_is_repeated_with_its_id() {
    let store = Arc::new(Mutex::new(FakeStore::default()));
    let lossy = FakeController { store: store.clone(), loses_responses: true, ..FakeController::default() };
    let healthy = FakeController { store: store.clone(), ..FakeController::default() };
    let output = run(&[lossy.start().await, healthy.start().await], "secret", &["domain", "out", "d1"]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(stdout(&output).contains("accepted as version 1"), "{output:?}");
    let store = store.lock().unwrap();
    assert_eq!((store.calls.len(), store.applied.len()), (2, 1));
    assert_eq!(store.calls[0], store.calls[1]);
    assert_eq!(store.calls[0].1, "d1 true");
}

/// Guards against a change in doubt that is reported as not made or cannot be repeated safely.
#[tokio::test]
async fn change_in_doubt_is_reported_with_its_id() {
    let lossy = FakeController { loses_responses: true, ..FakeController::default() };
    let healthy = FakeController { store: lossy.store.clone(), ..FakeController::default() };
    let output = run(&[lossy.start().await], "secret", &["upstream", "in", "u1"]).await;
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let id = lossy.store.lock().unwrap().applied[0].clone();
    assert!(stderr(&output).contains(&format!("--change-id {id}")), "{output:?}");
    let output = run(&[healthy.start().await], "secret", &["upstream", "in", "u1", "--change-id", &id]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(lossy.store.lock().unwrap().applied.len(), 1);
}

/// Guards against ignoring a redirect to a leader that is not listed in the settings.
#[tokio::test]
async fn redirect_is_followed() {
    let leader = FakeController::default().start().await;
    let rejects_with = Some(ErrorKind::NotLeader);
    let follower = FakeController { rejects_with, leader: Some(leader), ..FakeController::default() };
    let output = run(&[follower.start().await], "secret", &["explain", "base"]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(stdout(&output), "base\n  loaded on u1\n");
}

/// Guards against endless redirects between two controllers that name each other as the leader.
#[tokio::test]
async fn redirects_are_bounded() {
    let rejects_with = Some(ErrorKind::NotLeader);
    let first = Server::builder().build("127.0.0.1:0").await.unwrap();
    let second = Server::builder().build("127.0.0.1:0").await.unwrap();
    let addrs = [first.local_addr().unwrap(), second.local_addr().unwrap()];
    for (server, leader) in [(first, addrs[1]), (second, addrs[0])] {
        let controller = FakeController { rejects_with, leader: Some(leader), ..FakeController::default() };
        tokio::spawn(server.start(controller.into_rpc()).stopped());
    }
    let running = run(&addrs, "secret", &["explain", "base"]);
    let output = tokio::time::timeout(Duration::from_secs(20), running)
        .await
        .expect("the command did not end within 20 s");
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}

/// Guards against failing while another controller can still answer.
#[rstest]
#[case::store_down(Some(ErrorKind::StoreUnavailable))]
#[case::stopped(None)]
#[tokio::test]
async fn next_controller_is_tried(#[case] rejects_with: Option<ErrorKind>) {
    let first = match rejects_with {
        Some(_) => FakeController { rejects_with, ..FakeController::default() }.start().await,
        None => closed_addr(1),
    };
    let second = FakeController::default().start().await;
    let output = run(&[first, second], "secret", &["domain", "in", "d1"]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// Guards against reporting a call that reached no controller as in doubt.
#[tokio::test]
async fn unreachable_is_not_in_doubt() {
    let output = run(&[closed_addr(1), closed_addr(2)], "secret", &["domain", "out", "d1"]).await;
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    assert!(stderr(&output).contains("connection refused"), "{output:?}");
    assert!(!stderr(&output).contains("--change-id"), "{output:?}");
}

/// Guards against "done" before every router has the sheet, and against a wait without end.
#[rstest]
#[case::no_wait(&[], 4)]
#[case::short_wait(&["--wait", "1"], 4)]
#[case::long_wait(&["--wait", "30"], 0)]
#[tokio::test]
async fn apply_waits_until_everywhere(#[case] wait: &[&str], #[case] code: i32) {
    let lag_calls = if code == 0 { 3 } else { u64::MAX };
    let addr = FakeController { lag_calls, ..FakeController::default() }.start().await;
    let sheet = sheet_file(&format!("wait-{}.csv", wait.join("")), SHEET);
    let output = run(&[addr], "secret", &[&["apply", &sheet], wait].concat()).await;
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert_eq!(stdout(&output).contains("waiting for: vm1"), code == 4, "{output:?}");
}

/// Guards against sending a key to a controller, and against digests that differ between giving and
/// withdrawing it.
#[tokio::test]
async fn key_is_not_sent() {
    let controller = FakeController::default();
    let addr = controller.start().await;
    let output = run(&[addr], "secret", &["--json", "key", "give", "--team", "crew"]).await;
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let key = json["key"].as_str().unwrap();
    assert_eq!(key.len(), 64);
    let output = run(&[addr], "secret", &["key", "withdraw", key]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let calls = controller.store.lock().unwrap().calls.clone();
    assert!(calls.iter().all(|call| call.1 == sha256_hex(key.as_bytes())), "{calls:?}");
    assert_ne!(calls[0].0, calls[1].0);
}

/// Guards against printing a generated key although the change with that id gave another key.
#[tokio::test]
async fn generated_key_is_not_repeated() {
    let lossy = FakeController { loses_responses: true, ..FakeController::default() };
    let addr = lossy.start().await;
    let output = run(&[addr], "secret", &["key", "give", "--team", "crew"]).await;
    assert_eq!((output.status.code(), stdout(&output).as_str()), (Some(3), ""), "{output:?}");
    assert!(!stderr(&output).contains("--change-id"), "{output:?}");
    let output = run(&[addr], "secret", &["key", "give", "--team", "crew", "--change-id", "x"]).await;
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(stderr(&output).contains("--key"), "{output:?}");
}

/// Guards against text output with a missing column or difference.
#[tokio::test]
async fn text_output_is_complete() {
    let addr = FakeController::default().start().await;
    let sheet = sheet_file("diff.csv", "kind,name\ndomain,d1\ndomain,d2\n");
    assert_eq!(stdout(&run(&[addr], "secret", &["diff", &sheet]).await), "+ domain d2\n");
    let status = stdout(&run(&[addr], "secret", &["status"]).await);
    let rows: Vec<&str> = status.lines().skip_while(|line| !line.starts_with("ROUTER")).take(2).collect();
    assert_eq!(rows[0].find("CONFIRMED"), rows[1].find("20 ms ago"), "{status}");
}

/// Guards against confusing the exit codes of invalid usage, rejections and invalid sheets.
#[rstest]
#[case(&["frobnicate"], 2)]
#[case(&["key", "withdraw"], 2)]
#[case(&["key", "give", "--team", "a b"], 2)]
#[case(&["status"], 2)]
#[case(&["--settings", "/nonexistent.ini", "status"], 2)]
#[case(&["check-sheet", "/nonexistent.csv"], 2)]
#[case(&["--version"], 0)]
#[case(&["check-sheet", "../../examples/kusweg/sheet.csv"], 0)]
fn usage_codes(#[case] args: &[&str], #[case] code: i32) {
    let output = Command::new(env!("CARGO_BIN_EXE_cowslipctl")).args(args).output().unwrap();
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

/// Guards against reporting only the first fault of a sheet.
#[test]
fn sheet_faults_are_listed() {
    let sheet = sheet_file("faults.csv", "kind,name,rate,burst\nteam,a,0,0\nzone,b,,\n");
    let output =
        Command::new(env!("CARGO_BIN_EXE_cowslipctl")).args(["check-sheet", &sheet]).output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(stderr(&output).ends_with("3 faults\n"), "{output:?}");
}
