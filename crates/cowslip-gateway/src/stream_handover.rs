//! Hands a silent stream over to another upstream.
//!
//! A silent upstream may still be at work, so it is kept until another one has sent the next event. The first
//! of the two that sends one goes on, and the other is dropped. Both may hold the request only briefly: when
//! neither sends an event in that time, the silent upstream is kept.

use std::future::Future;
use std::time::Duration;

use cowslip_units::ErrorKind;
use tokio::time::sleep;

use crate::event_check::last_event_id;
use crate::event_source::{EventSource, NextEvents, SILENT, is_broken_off};
use crate::resume_permit::ResumePermit;
use crate::send_outcome::SendOutcome;

/// Time in ms for which two upstreams may hold a request. The platform allows 400 ms, within which the close
/// of a connection must also reach the upstream.
const OVERLAP_MS: u64 = 300;

/// How an offer of a silent stream to another upstream ended.
pub(crate) enum HandoverOutcome {
    /// The silent upstream sent events, ended, or reached the deadline.
    WentOn(NextEvents),
    /// The other upstream goes on with these events.
    TakenOver(Box<EventSource>, NextEvents),
    /// The other upstream did not serve the request.
    Failed(SendOutcome),
    /// The other upstream sent no event in time.
    Unanswered,
}

/// Offers a silent stream to another upstream by awaiting `opening`, which sends the request once `permit` is
/// taken. When the silent upstream breaks meanwhile, the other one has until the deadline, `left_ms` from now.
pub(crate) async fn offer_stream(
    silent: &mut EventSource,
    opening: impl Future<Output = Result<EventSource, SendOutcome>>,
    permit: &ResumePermit,
    left_ms: u64,
) -> HandoverOutcome {
    let overlap = async {
        permit.taken().await;
        sleep(Duration::from_millis(OVERLAP_MS)).await;
    };
    let deadline = sleep(Duration::from_millis(left_ms));
    let (mut opening, mut overlap, mut deadline) =
        (std::pin::pin!(opening), std::pin::pin!(overlap), std::pin::pin!(deadline));
    let mut is_alive = true;
    let mut other = loop {
        tokio::select! {
            biased;
            next = silent.next(left_ms), if is_alive => match next {
                NextEvents::Broken(why) if why != SILENT => is_alive = false,
                next => return HandoverOutcome::WentOn(next),
            },
            opened = &mut opening => match opened {
                Ok(source) => break source,
                Err(outcome) => return HandoverOutcome::Failed(outcome),
            },
            () = &mut overlap, if is_alive => return HandoverOutcome::Unanswered,
            () = &mut deadline => return HandoverOutcome::Unanswered,
        }
    };
    loop {
        tokio::select! {
            biased;
            next = silent.next(left_ms), if is_alive => match next {
                NextEvents::Broken(why) if why != SILENT => is_alive = false,
                next => return HandoverOutcome::WentOn(next),
            },
            first = other.next(left_ms) => match first {
                // A comment does not show that the upstream works on the request.
                NextEvents::Events(events) if last_event_id(&events).is_none() => {}
                NextEvents::Events(_) => return HandoverOutcome::TakenOver(Box::new(other), first),
                NextEvents::Broken(why) if is_broken_off(why) => {
                    return HandoverOutcome::Failed(SendOutcome::Broken);
                }
                NextEvents::End | NextEvents::Broken(_) => {
                    return HandoverOutcome::Failed(SendOutcome::Lost(ErrorKind::UpstreamFailed));
                }
            },
            () = &mut overlap, if is_alive => return HandoverOutcome::Unanswered,
            () = &mut deadline => return HandoverOutcome::Unanswered,
        }
    }
}
