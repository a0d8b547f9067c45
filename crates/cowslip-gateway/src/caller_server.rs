//! HTTP servers for callers, and for the readiness check and metrics.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use cowslip_adapter::header_names::READY_PATH;
use cowslip_entry::CallerLimits;
use cowslip_runtime::{CallerConnections, CallerStream};
use cowslip_units::{ErrorKind, WindowId};
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::warn;
use tokio::net::{TcpListener, TcpSocket};

use crate::caller_body::{CallerBody, RequestGuard};
use crate::caller_listener::{PlainHeads, admit_connection, connection_server};
use crate::duty_status::status_page;
use crate::explain_page::{EXPLAIN_PATH, explain_response};
use crate::gateway::Gateway;
use crate::gateway_metrics::ClassLabels;
use crate::request_flow::serve_request;
use crate::request_rejection::RequestRejection;
use crate::response_body::ResponseBody;

/// Backlog of the listening socket.
const BACKLOG: u32 = 1_024;

/// Pause in ms after a failed accept.
const ACCEPT_RETRY_MS: u64 = 20;

/// Staleness in ms of the view from which the gateway reports that it is not ready.
const MAX_READY_AGE_MS: u64 = 3_000;

/// Listens at an address that a previous process may have used moments ago.
///
/// # Errors
/// [`io::Error`] when the address cannot be bound.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts callers' connections until shutdown closes them; later requests could not be answered before the
/// process exits.
pub(crate) async fn serve_callers(gateway: Arc<Gateway>, listener: TcpListener) {
    let mut closing = gateway.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let limits = gateway.lock().view.config().map(|config| config.limits()).unwrap_or_default();
                if let Some(stream) = admit_connection(&gateway, stream, &gateway.connections, &limits) {
                    tokio::spawn(handle_connection(Arc::clone(&gateway), stream, limits));
                }
            }
            Err(error) => {
                warn!(gateway.logger, "accept_failed"; "error" => %error);
                gateway.clock.sleep_ms(ACCEPT_RETRY_MS).await;
            }
        }
    }
}

async fn handle_connection(gateway: Arc<Gateway>, stream: CallerStream<PlainHeads>, limits: CallerLimits) {
    let caller = stream.addr();
    let mut closing = gateway.closing.subscribe();
    let server = Arc::clone(&gateway);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Arc::clone(&server);
        async move { Ok::<_, Infallible>(handle_request(&gateway, request, caller).await) }
    });
    let connection = connection_server(&limits).serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut closed = false;
    loop {
        tokio::select! {
            // The caller closed the connection; there is no one to report an error to.
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing), if !closed => {
                closed = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn handle_request(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    caller: SocketAddr,
) -> Response<CallerBody> {
    let Some(guard) = RequestGuard::begin(&gateway.connections, caller) else {
        return closing_response(ErrorKind::TooManyConnections, None);
    };
    if *gateway.closing.borrow() {
        return closing_response(ErrorKind::Draining, Some(guard));
    }
    gateway.lock().active += 1;
    let active = ActiveGuard { gateway: Arc::clone(gateway) };
    let mut response = serve_request(gateway, request).await;
    drop(active);
    if gateway.lock().stopping_at.is_some() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| CallerBody::new(body, Some(guard)))
}

/// A rejection after which the connection is closed.
fn closing_response(kind: ErrorKind, guard: Option<RequestGuard>) -> Response<CallerBody> {
    let mut response = RequestRejection::new(kind).response();
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response.map(|body| CallerBody::new(body, guard))
}

/// Keeps a request counted as active until dropped.
struct ActiveGuard {
    gateway: Arc<Gateway>,
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.gateway.lock().active -= 1;
    }
}

/// Serves the readiness check, or metrics and the explanation of a request. Their connections have limits of their own, so that callers cannot use them up.
pub(crate) async fn serve_status(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    connections: Arc<CallerConnections>,
) {
    let limits = CallerLimits::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            gateway.clock.sleep_ms(ACCEPT_RETRY_MS).await;
            continue;
        };
        let admitted = admit_connection(&gateway, stream, &connections, &limits);
        let Some(stream) = admitted else { continue };
        let caller = stream.addr();
        let connections = Arc::clone(&connections);
        let server = Arc::clone(&gateway);
        let service = service_fn(move |request: Request<Incoming>| {
            let gateway = Arc::clone(&server);
            let guard = RequestGuard::begin(&connections, caller);
            async move { Ok::<_, Infallible>(handle_status(&gateway, request.uri(), guard)) }
        });
        let connection = connection_server(&limits).serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // A client that disconnects early needs no answer.
            drop(connection.await);
        });
    }
}

fn handle_status(gateway: &Gateway, uri: &Uri, guard: Option<RequestGuard>) -> Response<CallerBody> {
    if guard.is_none() {
        return closing_response(ErrorKind::TooManyConnections, None);
    }
    status_response(gateway, uri).map(|body| CallerBody::new(body, guard))
}

fn status_response(gateway: &Gateway, uri: &Uri) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(""));
    match uri.path() {
        READY_PATH => {
            if !is_ready(gateway) {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
        }
        "/metrics" => {
            update_gauges(gateway);
            *response.body_mut() = ResponseBody::buffered(gateway.metrics.text());
            let value = HeaderValue::from_static("text/plain; version=1.0.0");
            response.headers_mut().insert(CONTENT_TYPE, value);
        }
        "/status" => match status_page(gateway) {
            Some(page) => {
                *response.body_mut() = ResponseBody::buffered(page);
                let value = HeaderValue::from_static("application/json");
                response.headers_mut().insert(CONTENT_TYPE, value);
            }
            None => *response.status_mut() = StatusCode::NOT_FOUND,
        },
        EXPLAIN_PATH => response = explain_response(gateway, uri.query().unwrap_or_default()),
        _ => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

fn update_gauges(gateway: &Gateway) {
    let now = gateway.now();
    let state = gateway.lock();
    let age_ms = state.view.age_ms(now).map_or(-1, |age| i64::try_from(age).unwrap_or(i64::MAX));
    gateway.metrics.view_age_ms.set(age_ms);
    gateway.metrics.waiting.set(i64::try_from(state.waiting.all().len()).unwrap_or(i64::MAX));
    for (class, count) in state.admission.queue.count_by_class().into_iter().enumerate() {
        let gauge = gateway.metrics.queued.get_or_create(&ClassLabels::new(class)).clone();
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
    gateway.metrics.running.set(i64::from(state.active));
    if let Some(meter) = &state.usage {
        let number = |window: Option<WindowId>| window.map_or(0, |window| window.get().cast_signed());
        let (closed, sent) = meter.progress();
        gateway.metrics.usage_closed.set(number(closed));
        gateway.metrics.usage_sent.set(number(sent));
    }
    let open = gateway.connections.len();
    gateway.metrics.caller_connections.set(i64::try_from(open).unwrap_or(i64::MAX));
    let body_bytes = gateway.request_memory.used_bytes();
    gateway.metrics.body_bytes.set(i64::try_from(body_bytes).unwrap_or(i64::MAX));
    let paused = state.upstreams.notices().paused_count(gateway.now());
    gateway.metrics.paused_upstreams.set(i64::try_from(paused).unwrap_or(i64::MAX));
    gateway.metrics.narrow_windows.set(i64::try_from(state.narrow_windows()).unwrap_or(i64::MAX));
}

/// True when the gateway can take new connections: the view is fresh and the gateway is not shutting down.
pub(crate) fn is_ready(gateway: &Gateway) -> bool {
    let now = gateway.now();
    let state = gateway.lock();
    let fresh = state.view.age_ms(now).is_some_and(|age| age < MAX_READY_AGE_MS);
    fresh && state.upstreams_known && state.stopping_at.is_none()
}
