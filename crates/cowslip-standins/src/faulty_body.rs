//! Response bodies damaged by a fault.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::ConnectionAborted;
use crate::engine::{EngineFault, EngineFaultMode};
use crate::reply_body::ReplyBody;

/// Delay in ms after the first half of a body, so that it is flushed before the connection is closed.
const HALF_BODY_DELAY_MS: u64 = 10;

/// Applies `fault` to `body`. Faults that change the content (ids, text) are applied by the caller.
pub(crate) fn faulty_body(body: Bytes, fault: &EngineFault) -> ReplyBody {
    let half = body.len() / 2;
    match fault.mode {
        EngineFaultMode::Garbage => {
            let damaged: Vec<u8> =
                body.iter().enumerate().map(|(at, byte)| if at == half { 0xff } else { *byte }).collect();
            ReplyBody::Full(Some(Bytes::from(damaged)))
        }
        EngineFaultMode::Truncate => ReplyBody::Full(Some(body.slice(..half))),
        EngineFaultMode::Cut => split_body(body, None),
        EngineFaultMode::Stall => split_body(body, Some(fault.ms)),
        _ => ReplyBody::Full(Some(body)),
    }
}

/// Sends the first half of `body`, then the second half after `pause_ms`. With `None` the connection is
/// closed after the first half; with 0 it stays open and nothing more is sent.
fn split_body(body: Bytes, pause_ms: Option<u64>) -> ReplyBody {
    let (chunks, receiver) = mpsc::channel(2);
    tokio::spawn(async move {
        let half = body.len() / 2;
        // Sending fails only after the connection has closed, when the rest of the body is not needed.
        let _ = chunks.send(Ok(body.slice(..half))).await;
        match pause_ms {
            None => {
                tokio::time::sleep(Duration::from_millis(HALF_BODY_DELAY_MS)).await;
                let _ = chunks.send(Err(ConnectionAborted)).await;
            }
            Some(0) => chunks.closed().await,
            Some(millis) => {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                let _ = chunks.send(Ok(body.slice(half..))).await;
            }
        }
    });
    ReplyBody::Chunks(receiver)
}
