//! Request handling of the plain service.

use bytes::Bytes;
use cowslip_runtime::{ProcessClock, sha256_hex};
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use slog::{Logger, info};

use crate::engine::{EngineFault, EngineFaultMode};
use crate::faulty_body::faulty_body;
use crate::http_reply::{Reply, bad_request, empty_reply, error_reply, json_reply, read_body, set_header};
use crate::http_server::RequestHandler;
use crate::reply_body::ReplyBody;
use crate::service::service_state::{ServiceCall, ServiceState};
use crate::shared_state::SharedState;
use crate::{ConnectionAborted, RequestRecord};

/// A `POST` to one of these paths, or below it, is not idempotent: each one has an effect.
const EFFECT_PATHS: [&str; 2] = ["/work-orders", "/certificates"];

/// Handler state, shared by all connections of a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceHandler {
    pub(crate) state: SharedState<ServiceState>,
    pub(crate) clock: ProcessClock,
    pub(crate) latency_ms: u64,
    pub(crate) logger: Logger,
}

impl RequestHandler for ServiceHandler {
    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let (parts, body) = request.into_parts();
        let body = read_body(body).await?;
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/journal") => Ok(json_reply(StatusCode::OK, &self.state.lock().journal())),
            (&Method::PUT, "/faults") => Ok(self.put_fault(&body)),
            _ if self.state.lock().is_down(self.now_ms()) => Err(ConnectionAborted),
            _ => {
                // Runs in its own task: a received call takes effect even if its caller closes the
                // connection.
                let handler = self.clone();
                let answered = tokio::spawn(async move { handler.answer(&parts, &body).await });
                answered.await.unwrap_or(Err(ConnectionAborted))
            }
        }
    }
}

impl ServiceHandler {
    fn now_ms(&self) -> u64 {
        self.clock.now().millis()
    }

    async fn answer(&self, parts: &Parts, body: &[u8]) -> Reply {
        let record = RequestRecord::new(parts, self.now_ms());
        let id = record.request_id.clone();
        let admitted = self.state.lock().begin(record);
        let Some(call) = admitted else {
            let mut reply =
                error_reply(StatusCode::TOO_MANY_REQUESTS, "busy", "refused by a fault", Some(false));
            set_header(&mut reply, "x-request-id", &id);
            return Ok(reply);
        };
        let slow_ms = if call.fault.mode == EngineFaultMode::Slow { call.fault.ms } else { 0 };
        let latency_ms = self.latency_ms + slow_ms;
        // Even a sleep of 0 ms lasts until the timer's next tick, up to 1 ms later.
        if latency_ms > 0 {
            self.clock.sleep_ms(latency_ms).await;
        }
        let effect = self.state.lock().take_effect(&call, has_effect(parts));
        let sequence = effect.ok_or(ConnectionAborted)?;
        if call.fault.mode == EngineFaultMode::LateAnswer {
            self.clock.sleep_ms(call.fault.ms).await;
            if self.state.lock().has_died_since(&call) {
                return Err(ConnectionAborted);
            }
        }
        Ok(echo_reply(parts, body, &id, &call, sequence))
    }

    fn put_fault(&self, body: &[u8]) -> Response<ReplyBody> {
        match serde_json::from_slice::<EngineFault>(body) {
            Ok(fault) => {
                info!(self.logger, "fault set"; "mode" => format!("{:?}", fault.mode),
                    "ms" => fault.ms, "every" => fault.every);
                self.state.lock().set_fault(self.now_ms(), fault);
                empty_reply(StatusCode::NO_CONTENT)
            }
            Err(error) => bad_request(&error.to_string()),
        }
    }
}

fn has_effect(parts: &Parts) -> bool {
    let below = |prefix: &&str| {
        parts.uri.path().strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    parts.method == Method::POST && EFFECT_PATHS.iter().any(below)
}

fn echo_reply(
    parts: &Parts,
    body: &[u8],
    id: &str,
    call: &ServiceCall,
    sequence: u64,
) -> Response<ReplyBody> {
    let wrong_id = format!("unknown-{id}");
    let (header_id, body_id) = match call.fault.mode {
        EngineFaultMode::WrongId => (wrong_id.as_str(), wrong_id.as_str()),
        EngineFaultMode::Cross if call.previous.is_empty() => (wrong_id.as_str(), wrong_id.as_str()),
        EngineFaultMode::Cross => (call.previous.as_str(), call.previous.as_str()),
        _ => (id, id),
    };
    let echo = json!({
        "path": parts.uri.path_and_query().map_or("", |path| path.as_str()),
        "method": parts.method.as_str(),
        "body_sha256": sha256_hex(body),
        "sequence": sequence,
        "request_id": body_id,
    });
    let mut reply = Response::new(faulty_body(Bytes::from(echo.to_string()), &call.fault));
    set_header(&mut reply, "content-type", "application/json");
    set_header(&mut reply, "x-request-id", header_id);
    reply
}
