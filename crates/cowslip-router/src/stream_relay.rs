//! Relays a validated stream to its caller.

use std::sync::Arc;

use bytes::Bytes;
use cowslip_routing::{CallOutcome, StreamStep};
use cowslip_runtime::TraceSpan;
use cowslip_units::{ErrorKind, KeyDigest};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Duration;

use crate::{
    CallFault, CallFlight, ErrorResponse, ModelCall, RouterCore, StreamEvent, StreamSource, TokenReservation,
    UpstreamCancel,
};

/// Time after which a caller that accepts no more events counts as disconnected.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Reason for the end of a relay.
enum RelayEnd {
    Complete,
    CallerLeft,
    Failed(CallFault),
}

/// Sends events to the caller up to the end marker. If the caller disconnects, the stream is cancelled at the
/// upstream. If the stream fails permanently or this router cancels it, an error event is sent and no end
/// marker.
pub(crate) async fn relay_stream(
    core: Arc<RouterCore>,
    call: ModelCall,
    mut source: StreamSource,
    first: StreamEvent,
    parts: mpsc::Sender<Bytes>,
    (flight, mut cancel_signal): (CallFlight, oneshot::Receiver<ErrorKind>),
    (cancel, mut tokens, span): (UpstreamCancel, Option<TokenReservation>, TraceSpan),
) {
    let first_byte_ms = core.now().since_ms(flight.sent_at);
    core.metrics.time_ms("first_token", first_byte_ms);
    let end = relay(&core, call.params.key.as_ref(), &mut source, first, &parts, &mut cancel_signal).await;
    if let Some(tokens) = &mut tokens {
        tokens.set_used(source.used_tokens(call.prompt_tokens));
    }
    drop(span);
    match end {
        RelayEnd::Complete => {
            cancel.disarm();
            let service_ms = core.now().since_ms(flight.sent_at);
            flight.end(CallOutcome::Answered { first_byte_ms, service_ms });
        }
        RelayEnd::CallerLeft => {
            core.metrics.count("callers_left", 1);
            drop(cancel);
            flight.end(CallOutcome::Undecided);
        }
        RelayEnd::Failed(fault) => {
            let rejection = call.with_ran(ErrorResponse::new(fault.kind, &fault.message));
            core.metrics.count("streams_broken", 1);
            drop(cancel);
            flight.end(if fault.is_final { CallOutcome::Undecided } else { CallOutcome::Failed });
            let event = format!("event: error\ndata: {}\n\n", rejection.to_json());
            // The event is lost if the caller has disconnected.
            let _ = parts.send_timeout(Bytes::from(event), CALLER_STALL_TIMEOUT).await;
        }
    }
}

async fn relay(
    core: &RouterCore,
    key: Option<&KeyDigest>,
    source: &mut StreamSource,
    first: StreamEvent,
    parts: &mpsc::Sender<Bytes>,
    cancel_signal: &mut oneshot::Receiver<ErrorKind>,
) -> RelayEnd {
    let mut event = first;
    loop {
        // After a suspension, no event may be sent before the other tasks have updated the view.
        if let Some(kind) = key.and_then(|key| termination_reason(core, key)) {
            return RelayEnd::Failed(CallFault::cancelled(kind));
        }
        let part = Bytes::from(format!("data: {}\n\n", event.data.replace('\n', "\ndata: ")));
        tokio::select! {
            sent = parts.send_timeout(part, CALLER_STALL_TIMEOUT) => if sent.is_err() {
                return RelayEnd::CallerLeft;
            },
            Ok(kind) = &mut *cancel_signal => return RelayEnd::Failed(CallFault::cancelled(kind)),
        }
        source.forwarded(event.step);
        if event.step == StreamStep::End {
            return RelayEnd::Complete;
        }
        event = tokio::select! {
            next = source.next() => match next {
                Ok(event) => event,
                Err(fault) => return RelayEnd::Failed(fault),
            },
            () = parts.closed() => return RelayEnd::CallerLeft,
            Ok(kind) = &mut *cancel_signal => return RelayEnd::Failed(CallFault::cancelled(kind)),
        };
    }
}

/// Returns the reason why a stream with this key must be cancelled now, if there is one.
fn termination_reason(core: &RouterCore, key: &KeyDigest) -> Option<ErrorKind> {
    let now = core.now();
    let state = core.state();
    if state.confirmation.is_past_stream_end(now) {
        return Some(ErrorKind::ViewStale);
    }
    state.team_of(key).err()
}
