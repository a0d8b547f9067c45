//! Request handling of the engine.

use std::sync::Arc;

use bytes::Bytes;
use cowslip_platform::{AdapterOrder, LoadOrder, RoleOrder, UnloadOrder};
use cowslip_units::ModelId;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::ConnectionAborted;
use crate::engine::completion_request::CompletionRequest;
use crate::engine::completion_text::CompletionText;
use crate::engine::engine_order::EngineOrder;
use crate::engine::engine_shared::EngineShared;
use crate::engine::engine_state::RunAdmission;
use crate::engine::order_runner::run_order;
use crate::engine::prefix_cache::CachedPrefix;
use crate::engine::reader_guard::ReaderGuard;
use crate::engine::run_progress::RunEnd;
use crate::engine::stream_writer::{CHUNK_BUFFER, StreamWriter};
use crate::engine::{EngineFault, EngineFaultMode};
use crate::faulty_body::faulty_body;
use crate::http_reply::{
    Reply, bad_request, body_reply, decode_part, empty_reply, error_reply, json_reply, query_number,
    query_value, read_body, set_header,
};
use crate::http_server::RequestHandler;
use crate::reply_body::ReplyBody;
use crate::request_record::RequestRecord;

/// Handles requests with the state shared by all connections.
#[derive(Clone, Debug)]
pub(crate) struct EngineHandler {
    shared: EngineShared,
}

impl RequestHandler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let (parts, body) = request.into_parts();
        let body = read_body(body).await?;
        let path = parts.uri.path().trim_start_matches('/');
        let segments: Vec<&str> = path.split('/').collect();
        match (&parts.method, segments.as_slice()) {
            (&Method::GET, ["journal"]) => {
                Ok(json_reply(StatusCode::OK, &self.shared.state.lock().full_journal()))
            }
            (&Method::PUT, ["faults"]) => Ok(self.put_fault(&body)),
            _ if self.shared.state.lock().is_down(self.shared.now_ms()) => Err(ConnectionAborted),
            (&Method::POST, ["v1", "chat", "completions"]) => self.complete(&parts, &body, true).await,
            (&Method::POST, ["v1", "completions"]) => self.complete(&parts, &body, false).await,
            (&Method::GET, ["v1", "streams", id]) => self.resume(&parts, &decode_part(id)),
            (&Method::DELETE, ["v1", "streams", id]) => {
                self.shared.state.lock().cancel(self.shared.now_ms(), &decode_part(id));
                Ok(empty_reply(StatusCode::NO_CONTENT))
            }
            (&Method::POST, ["orders", "load"]) => self.order::<LoadOrder>(&body).await,
            (&Method::POST, ["orders", "adapter"]) => self.order::<AdapterOrder>(&body).await,
            (&Method::POST, ["orders", "unload"]) => self.order::<UnloadOrder>(&body).await,
            (&Method::POST, ["orders", "role"]) => self.order::<RoleOrder>(&body).await,
            (&Method::GET, ["report"]) => {
                let report = self.shared.state.lock().published_report(self.shared.now_ms());
                Ok(json_reply(StatusCode::OK, &report))
            }
            (&Method::GET, ["cache-events"]) => {
                let since = query_number(&parts.uri, "since").unwrap_or(0);
                let events = self.shared.state.lock().cache_events(self.shared.now_ms(), since);
                Ok(json_reply(StatusCode::OK, &events))
            }
            (&Method::POST, ["kv", "export"]) => Ok(self.export_kv(&body)),
            (&Method::POST, ["kv", "import"]) => Ok(self.import_kv(&parts, &body)),
            _ => Ok(error_reply(StatusCode::NOT_FOUND, "not_found", "no such call", Some(false))),
        }
    }
}

impl EngineHandler {
    pub(crate) fn new(shared: EngineShared) -> Self {
        Self { shared }
    }

    async fn complete(&self, parts: &Parts, body: &[u8], chat: bool) -> Reply {
        let now_ms = self.shared.now_ms();
        let record = RequestRecord::new(parts, now_ms);
        let request = match CompletionRequest::parse(parts, body, chat) {
            Ok(request) => request,
            Err(message) => {
                self.shared.state.lock().record_rejected(record);
                return Ok(bad_request(&message));
            }
        };
        let id = request.id.clone();
        let record = RequestRecord { model: request.model.clone(), ..record };
        let admitted = self.shared.state.lock().admit(now_ms, request, record);
        self.shared.wake.notify_one();
        let admission = match admitted {
            Ok(admission) => admission,
            Err(rejection) => {
                let mut reply = rejection.reply().ok_or(ConnectionAborted)?;
                set_header(&mut reply, "x-request-id", &id);
                return Ok(reply);
            }
        };
        if admission.request.stream {
            self.start_stream(admission).await
        } else {
            self.complete_answer(admission).await
        }
    }

    async fn complete_answer(&self, mut admission: RunAdmission) -> Reply {
        let guard = ReaderGuard::new(&self.shared, admission.number, 0);
        let progress = *admission
            .progress
            .wait_for(|progress| progress.end.is_some())
            .await
            .map_err(|_| ConnectionAborted)?;
        drop(guard);
        let (text, other) = response_texts(&admission);
        if progress.end != Some(RunEnd::Finished) {
            return failed_reply(progress.end, &text);
        }
        if admission.fault.mode == EngineFaultMode::LateAnswer {
            self.shared.clock.sleep_ms(admission.fault.ms).await;
        }
        let crossed = admission.fault.mode == EngineFaultMode::Cross;
        let response_text = if crossed { &other } else { &text };
        let body = faulty_body(Bytes::from(response_text.full_response().to_string()), &admission.fault);
        Ok(with_request_id(body, "application/json", &text))
    }

    async fn start_stream(&self, mut admission: RunAdmission) -> Reply {
        let guard = ReaderGuard::new(&self.shared, admission.number, self.shared.resume_ms);
        // Before the first token the status has not been sent, so a failure can still be reported by it.
        let progress = *admission
            .progress
            .wait_for(|progress| progress.tokens > 0 || progress.end.is_some())
            .await
            .map_err(|_| ConnectionAborted)?;
        if progress.tokens == 0 {
            return failed_reply(progress.end, &response_texts(&admission).0);
        }
        if admission.fault.mode == EngineFaultMode::LateAnswer {
            self.shared.clock.sleep_ms(admission.fault.ms).await;
        }
        Ok(self.stream_reply(admission, guard, 0))
    }

    fn resume(&self, parts: &Parts, id: &str) -> Reply {
        let Some(admission) = self.shared.state.lock().resume(self.shared.now_ms(), id) else {
            let message = "no such stream, or it was interrupted for too long";
            return Ok(error_reply(StatusCode::NOT_FOUND, "unknown_stream", message, None));
        };
        let from = query_number(&parts.uri, "from").unwrap_or(0);
        let guard = ReaderGuard::new(&self.shared, admission.number, self.shared.resume_ms);
        Ok(self.stream_reply(admission, guard, u32::try_from(from).unwrap_or(u32::MAX)))
    }

    fn stream_reply(&self, admission: RunAdmission, guard: ReaderGuard, from: u32) -> Response<ReplyBody> {
        let (chunks, body) = mpsc::channel(CHUNK_BUFFER);
        let (text, other) = response_texts(&admission);
        let reply = with_request_id(ReplyBody::Chunks(body), "text/event-stream", &text);
        let RunAdmission { request, progress, fault, .. } = admission;
        let max_tokens = request.max_tokens;
        let writer = StreamWriter { chunks, guard, text, other, progress, max_tokens, fault };
        tokio::spawn(writer.write(from));
        reply
    }

    async fn order<T>(&self, body: &[u8]) -> Reply
    where
        T: DeserializeOwned,
        EngineOrder: From<T>,
    {
        let order: T = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return Ok(bad_request(&error.to_string())),
        };
        let reply = run_order(&self.shared, EngineOrder::from(order)).await?;
        Ok(json_reply(StatusCode::OK, &reply))
    }

    fn put_fault(&self, body: &[u8]) -> Response<ReplyBody> {
        match serde_json::from_slice::<EngineFault>(body) {
            Ok(fault) => {
                self.shared.state.lock().set_fault(self.shared.now_ms(), fault);
                empty_reply(StatusCode::NO_CONTENT)
            }
            Err(error) => bad_request(&error.to_string()),
        }
    }

    /// Exports a cached prefix. The format is this stand-in's own: JSON with the number of cached tokens.
    fn export_kv(&self, body: &[u8]) -> Response<ReplyBody> {
        let request: Value = serde_json::from_slice(body).unwrap_or_default();
        let (model, prefix) = (request["model"].as_str(), request["prefix"].as_str());
        let (Some(Ok(model)), Some(prefix)) = (model.map(ModelId::new), prefix) else {
            return bad_request("model and prefix are needed");
        };
        let tokens = self.shared.state.lock().prefixes.tokens(&model, prefix);
        if tokens == 0 {
            return error_reply(StatusCode::NOT_FOUND, "not_cached", "the prefix is not cached", Some(false));
        }
        let exported = json!({"model": model, "prefix": prefix, "tokens": tokens}).to_string();
        body_reply(StatusCode::OK, "application/octet-stream", Bytes::from(exported))
    }

    fn import_kv(&self, parts: &Parts, body: &[u8]) -> Response<ReplyBody> {
        let model = query_value(&parts.uri, "model").map(|model| ModelId::new(&model));
        let (Some(Ok(model)), Some(prefix)) = (model, query_value(&parts.uri, "prefix")) else {
            return bad_request("model and prefix are needed");
        };
        let exported: Value = serde_json::from_slice(body).unwrap_or_default();
        let same = exported["model"] == model.as_str() && exported["prefix"] == prefix.as_str();
        let Some(tokens) = exported["tokens"].as_u64().filter(|_| same) else {
            return bad_request("the body is not an export of this prefix");
        };
        let mut state = self.shared.state.lock();
        if !state.is_loaded(model.as_str()) {
            return error_reply(
                StatusCode::CONFLICT,
                "not_loaded",
                "the model or adapter is not loaded",
                Some(false),
            );
        }
        state.cache_prefix(self.shared.now_ms(), CachedPrefix { model, prefix, tokens });
        empty_reply(StatusCode::NO_CONTENT)
    }
}

/// Returns the response text of a request and, for `cross` faults, that of another request.
fn response_texts(admission: &RunAdmission) -> (CompletionText, CompletionText) {
    let request = &admission.request;
    let text = CompletionText::new(request);
    let text = match admission.fault.mode {
        EngineFaultMode::WrongId => text.with_id(&format!("unknown-{}", request.id)),
        _ => text,
    };
    let (id, digest) = match &admission.other {
        Some(other) if !Arc::ptr_eq(other, request) => (other.id.clone(), other.digest.clone()),
        _ => (format!("other-{}", request.id), "00000000".to_owned()),
    };
    let other = CompletionText::new(request).with_id(&id).with_digest(&digest);
    (text, other)
}

fn with_request_id(
    body: ReplyBody,
    content_type: &'static str,
    text: &CompletionText,
) -> Response<ReplyBody> {
    let mut reply = Response::new(body);
    set_header(&mut reply, "content-type", content_type);
    set_header(&mut reply, "x-request-id", text.id());
    reply
}

/// The response to a request that ended before its first token; a cancelled one has no reader left.
fn failed_reply(end: Option<RunEnd>, text: &CompletionText) -> Reply {
    if end != Some(RunEnd::Failed) {
        return Err(ConnectionAborted);
    }
    let message = "the engine failed while the request was under way";
    let mut reply = error_reply(StatusCode::INTERNAL_SERVER_ERROR, "failed", message, None);
    set_header(&mut reply, "x-request-id", text.id());
    Ok(reply)
}
