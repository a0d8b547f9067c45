//! A stream of events from one upstream: it is opened, read in whole events, and its end told from a break.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cowslip_units::{ErrorKind, UpstreamId};
use http::StatusCode;
use http::header::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::answer_memory::AnswerShare;
use crate::call_guard::CallGuard;
use crate::capacity_record::record_rejection;
use crate::event_check::{EventCheck, may_hold_events};
use crate::gateway::Gateway;
use crate::plain_call::{
    HeadCheck, check_and_record_head, fault_outcome, return_refused_connection, send_target,
};
use crate::request_context::{AdmittedRequest, RequestContext, may_send};
use crate::request_progress::RequestProgress;
use crate::send_outcome::SendOutcome;
use crate::upstream_pool::UpstreamConnection;
use crate::upstream_request::upstream_request;

/// Longest event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reason logged for a source that sent nothing for too long.
pub(crate) const SILENT: &str = "silent";

/// Reason logged for a stream that was given up before its first event, as its request is quarantined.
pub(crate) const QUARANTINED: &str = "quarantined";

/// Reasons logged for a stream whose connection ended too early: with an error, inside an event, before the
/// first event.
const BROKEN_OFF: [&str; 3] = ["broken", "partial", "no event"];

/// True when a stream broke because its connection ended.
pub(crate) fn is_broken_off(why: &str) -> bool {
    BROKEN_OFF.contains(&why)
}

/// An event stream from one upstream.
#[derive(Debug)]
pub(crate) struct EventSource {
    pub upstream: UpstreamId,
    pub headers: HeaderMap,
    pub status: StatusCode,
    pub body: Incoming,
    pub connection: UpstreamConnection,
    /// Bytes of an incomplete event.
    partial: BytesMut,
    /// What they hold of the memory for answers.
    share: AnswerShare,
    /// Why the stream broke; it stays broken.
    pub fault: Option<&'static str>,
    check: EventCheck,
    pub guard: CallGuard,
}

/// Result of waiting for events.
pub(crate) enum NextEvents {
    /// One or more complete events.
    Events(Bytes),
    /// The upstream ended the stream properly.
    End,
    /// The stream broke or stalled; holds the reason.
    Broken(&'static str),
}

impl EventSource {
    /// True once the upstream has sent an event, and not only comments.
    pub(crate) const fn has_begun(&self) -> bool {
        self.check.has_begun()
    }

    /// Waits at most `wait_ms` for complete events. Bytes of an event that is never completed do not count as
    /// progress.
    pub(crate) async fn next(&mut self, wait_ms: u64) -> NextEvents {
        let next = timeout(Duration::from_millis(wait_ms), self.read_events()).await;
        next.unwrap_or(NextEvents::Broken(SILENT))
    }

    async fn read_events(&mut self) -> NextEvents {
        if let Some(fault) = self.fault {
            return NextEvents::Broken(fault);
        }
        let next = self.read_body().await;
        if let NextEvents::Broken(fault) = next {
            self.fault = Some(fault);
            // The upstream may still be at work.
            self.connection.abort();
        }
        next
    }

    async fn read_body(&mut self) -> NextEvents {
        loop {
            let frame = match self.body.frame().await {
                Some(Err(_)) => return NextEvents::Broken(BROKEN_OFF[0]),
                None if !self.partial.is_empty() => return NextEvents::Broken(BROKEN_OFF[1]),
                None if !self.check.may_end() => return NextEvents::Broken(BROKEN_OFF[2]),
                None => return NextEvents::End,
                Some(Ok(frame)) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            // The earlier bytes hold no event end, but may end with its first byte.
            let scanned = self.partial.len().saturating_sub(1);
            self.partial.extend_from_slice(&data);
            if self.partial.len() > MAX_EVENT_BYTES || !self.share.resize(self.partial.len()) {
                return NextEvents::Broken("too long");
            }
            if let Some(end) = self.partial.get(scanned..).and_then(last_event_end) {
                let events = self.partial.split_to(scanned + end).freeze();
                self.share.resize(self.partial.len());
                if !self.check.accepts(&events) {
                    return NextEvents::Broken("other events");
                }
                return NextEvents::Events(events);
            }
        }
    }
}

/// Offset after the last complete event; `None` when there is none.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2)
}

/// Sends the request, if `may_write` still allows it once the connection is ready, and checks the response
/// head.
pub(crate) async fn open_stream(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    upstream: &UpstreamId,
    guard: CallGuard,
    may_write: impl Fn() -> bool,
) -> Result<EventSource, SendOutcome> {
    let now = gateway.now();
    let (address, start) = send_target(gateway, upstream).ok_or(SendOutcome::NotSent)?;
    let last_event = progress.last_event.as_deref();
    let request = upstream_request(context, admitted, &progress.limit, upstream, last_event, now);
    let request = request.map_err(|_| SendOutcome::NotSent)?;
    let allowed = || may_send(gateway, context, upstream, now) && may_write();
    let sent = gateway.pool.send(address, request, allowed).await;
    let (response, connection) = sent.map_err(|fault| fault_outcome(&fault))?;
    let (parts, body) = response.into_parts();
    let is_reused = connection.is_reused;
    match check_and_record_head(gateway, context, &start, parts.status, &parts.headers, is_reused) {
        HeadCheck::NotRun(misplaced) => {
            if !misplaced {
                record_rejection(gateway, admitted, upstream, &parts.headers);
            }
            return_refused_connection(gateway, connection, body, &parts.headers, context).await;
            Err(SendOutcome::NotRun(misplaced))
        }
        HeadCheck::Mismatched => {
            connection.close();
            Err(SendOutcome::Lost(ErrorKind::UpstreamGarbled))
        }
        HeadCheck::Valid
            if last_event.is_some() && parts.status.is_success() && !may_hold_events(&parts.headers) =>
        {
            connection.close();
            Err(SendOutcome::Lost(ErrorKind::UpstreamGarbled))
        }
        HeadCheck::Valid => Ok(EventSource {
            upstream: upstream.clone(),
            check: EventCheck::new(&parts.headers, &body, progress.last_event.clone()),
            headers: parts.headers,
            status: parts.status,
            body,
            connection,
            partial: BytesMut::new(),
            share: gateway.answer_memory.share(),
            fault: None,
            guard,
        }),
    }
}
