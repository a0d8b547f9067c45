//! Request handling of the platform.

use bytes::Bytes;
use cowslip_platform::VmEntry;
use cowslip_runtime::ProcessClock;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use slog::{Logger, info};

use crate::ConnectionAborted;
use crate::http_reply::{Reply, bad_request, body_reply, empty_reply, error_reply, json_reply, read_body};
use crate::http_server::RequestHandler;
use crate::platform::PlatformFault;
use crate::platform::fault_action::FaultAction;
use crate::platform::platform_call::PlatformCall;
use crate::platform::platform_state::PlatformState;
use crate::platform::transfer_link::TransferLink;
use crate::reply_body::ReplyBody;
use crate::shared_state::SharedState;

/// Handler state, shared by all connections of a platform.
#[derive(Clone, Debug)]
pub(crate) struct PlatformHandler {
    pub(crate) state: SharedState<PlatformState>,
    pub(crate) checkpoints: TransferLink,
    pub(crate) adapters: TransferLink,
    pub(crate) clock: ProcessClock,
    pub(crate) vm_list_lag_ms: u64,
    pub(crate) logger: Logger,
}

impl RequestHandler for PlatformHandler {
    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let (parts, body) = request.into_parts();
        let body = read_body(body).await?;
        let call = match PlatformCall::parse(&parts, body) {
            Ok(Some(call)) => call,
            Ok(None) => return Ok(not_found("no such call")),
            Err(message) => return Ok(bad_request(&message)),
        };
        if !call.is_write() {
            return self.answer(&call).await;
        }
        // Runs in its own task: a received write takes effect even if its caller closes the connection.
        let handler = self.clone();
        tokio::spawn(async move { handler.answer(&call).await }).await.unwrap_or(Err(ConnectionAborted))
    }
}

impl PlatformHandler {
    async fn answer(&self, call: &PlatformCall) -> Reply {
        let action = self.count_call(call);
        let mut age_ms = 0;
        match action {
            FaultAction::Down => return Ok(unavailable()),
            FaultAction::DropConnection => return Err(ConnectionAborted),
            FaultAction::Slow(millis) => self.clock.sleep_ms(millis).await,
            FaultAction::Stale(millis) => age_ms = millis,
            FaultAction::None | FaultAction::LoseAnswer | FaultAction::Duplicate(_) => {}
        }
        let reply = self.execute(call, age_ms).await;
        match action {
            FaultAction::LoseAnswer => Err(ConnectionAborted),
            FaultAction::Duplicate(0) => Ok(self.execute(call, 0).await),
            FaultAction::Duplicate(millis) => {
                let (handler, call) = (self.clone(), call.clone());
                tokio::spawn(async move {
                    handler.clock.sleep_ms(millis).await;
                    handler.execute(&call, 0).await;
                });
                Ok(reply)
            }
            _ => Ok(reply),
        }
    }

    fn count_call(&self, call: &PlatformCall) -> FaultAction {
        let mut state = self.state.lock();
        *state.journal.calls.entry(call.kind().to_owned()).or_default() += 1;
        call.service().map_or(FaultAction::None, |service| state.faults.next_action(service, call.is_write()))
    }

    async fn execute(&self, call: &PlatformCall, age_ms: u64) -> Response<ReplyBody> {
        let now_ms = self.clock.now().millis();
        let read_ms = now_ms.saturating_sub(age_ms);
        match call {
            PlatformCall::ReadRow { key } => match self.state.lock().read_row(key, read_ms) {
                Some(row) => json_reply(StatusCode::OK, &row),
                None => not_found("no such row"),
            },
            PlatformCall::ScanRows { prefix, after, limit } => {
                let rows = self.state.lock().scan_rows(prefix, after, *limit, read_ms);
                json_reply(StatusCode::OK, &rows)
            }
            PlatformCall::CommitRows { transaction } => {
                let outcome = self.state.lock().commit_rows(now_ms, transaction);
                json_reply(StatusCode::OK, &outcome)
            }
            PlatformCall::PutObject { name, body } => {
                self.state.lock().put_object(now_ms, name, Some(body.clone()));
                empty_reply(StatusCode::NO_CONTENT)
            }
            PlatformCall::GetObject { name } => match self.state.lock().get_object(name, read_ms) {
                Some(body) => body_reply(StatusCode::OK, "application/octet-stream", body),
                None => not_found("no such object"),
            },
            PlatformCall::DeleteObject { name } => {
                self.state.lock().put_object(now_ms, name, None);
                empty_reply(StatusCode::NO_CONTENT)
            }
            PlatformCall::TransferCheckpoint { name, millis } => {
                self.transfer_checkpoint(name, *millis).await
            }
            PlatformCall::TransferAdapter { name, millis } => self.transfer_adapter(name, *millis).await,
            PlatformCall::ListVms => {
                let read_ms = read_ms.saturating_sub(self.vm_list_lag_ms);
                let state = self.state.lock();
                let entries: Vec<&VmEntry> = state.vms.range("", "", read_ms).collect();
                json_reply(StatusCode::OK, &entries)
            }
            PlatformCall::PutVm { entry } => {
                self.state.lock().vms.put(now_ms, entry.vm.as_str(), Some(entry.clone()));
                empty_reply(StatusCode::NO_CONTENT)
            }
            PlatformCall::DeleteVm { name } => {
                self.state.lock().vms.put(now_ms, name, None);
                empty_reply(StatusCode::NO_CONTENT)
            }
            PlatformCall::PutFault { fault } => self.put_fault(*fault),
            PlatformCall::ReadJournal => self.read_journal(),
        }
    }

    async fn transfer_checkpoint(&self, name: &str, millis: u64) -> Response<ReplyBody> {
        let wait_ms = self.state.lock().starts.take(self.clock.now().millis());
        self.clock.sleep_ms(wait_ms).await;
        *self.state.lock().journal.weights.checkpoints.entry(name.to_owned()).or_default() += 1;
        self.checkpoints.transfer(millis).await;
        json_reply(StatusCode::OK, &json!({}))
    }

    async fn transfer_adapter(&self, name: &str, millis: u64) -> Response<ReplyBody> {
        *self.state.lock().journal.weights.adapters.entry(name.to_owned()).or_default() += 1;
        self.adapters.transfer(millis).await;
        json_reply(StatusCode::OK, &json!({}))
    }

    fn put_fault(&self, fault: PlatformFault) -> Response<ReplyBody> {
        info!(self.logger, "fault set";
            "service" => format!("{:?}", fault.service), "mode" => format!("{:?}", fault.mode),
            "ms" => fault.ms, "every" => fault.every);
        self.state.lock().faults.set(fault);
        empty_reply(StatusCode::NO_CONTENT)
    }

    fn read_journal(&self) -> Response<ReplyBody> {
        let mut journal = self.state.lock().journal.clone();
        journal.weights.peak_checkpoints = self.checkpoints.peak();
        journal.weights.peak_adapters = self.adapters.peak();
        json_reply(StatusCode::OK, &journal)
    }
}

fn not_found(message: &str) -> Response<ReplyBody> {
    body_reply(StatusCode::NOT_FOUND, "text/plain", Bytes::from(message.to_owned()))
}

fn unavailable() -> Response<ReplyBody> {
    error_reply(StatusCode::SERVICE_UNAVAILABLE, "down", "the service is down", Some(false))
}
