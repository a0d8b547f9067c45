//! The memory that bodies of requests share, and reading a body within it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cowslip_entry::{BodyBudget, BodyGrant, BodyTicket};
use cowslip_runtime::ProcessClock;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::timeout;

/// First size in bytes of the memory for a body.
const FIRST_BYTES: usize = 1_024;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum BodyFault {
    /// It is larger than a body may be.
    #[error("too large")]
    TooLarge,
    /// Its connection broke.
    #[error("incomplete")]
    Incomplete,
    /// Other bodies use the memory.
    #[error("no memory")]
    NoMemory,
    /// It came too slowly while memory or connections were short.
    #[error("abandoned")]
    Abandoned,
}

#[derive(Debug)]
struct BodyTable {
    budget: BodyBudget,
    /// Wakes the readers of bodies, sorted by ticket.
    readers: Vec<(BodyTicket, Arc<Notify>)>,
}

impl BodyTable {
    fn notify(&self, abandoned: &[BodyTicket]) {
        for ticket in abandoned {
            let found = self.readers.binary_search_by_key(ticket, |(known, _)| *known);
            if let Some((_, reader)) = found.ok().and_then(|at| self.readers.get(at)) {
                reader.notify_one();
            }
        }
    }
}

/// Memory for the bodies of requests.
#[derive(Clone, Debug)]
pub(crate) struct RequestMemory {
    table: Arc<Mutex<BodyTable>>,
    clock: ProcessClock,
}

impl RequestMemory {
    /// Memory of that many bytes, unused.
    pub(crate) fn new(max_bytes: usize, clock: ProcessClock) -> Self {
        let table = BodyTable { budget: BodyBudget::new(max_bytes), readers: Vec::new() };
        Self { table: Arc::new(Mutex::new(table)), clock }
    }

    fn table(&self) -> MutexGuard<'_, BodyTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes in use.
    pub(crate) fn used_bytes(&self) -> usize {
        self.table().budget.used_bytes()
    }

    /// Abandons the slowest of the slow bodies; returns false when there is none.
    pub(crate) fn abandon_slowest(&self) -> bool {
        let mut table = self.table();
        let slowest = table.budget.abandon_slowest(self.clock.now());
        table.notify(slowest.as_slice());
        slowest.is_some()
    }

    /// Reads a body of at most `max_bytes`. Its bytes count until the last copy of them is dropped.
    ///
    /// # Errors
    /// [`BodyFault`] when the body is not read to its end.
    pub(crate) async fn read(&self, body: &mut Incoming, max_bytes: usize) -> Result<Bytes, BodyFault> {
        let declared = body.size_hint().exact().map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if declared.is_some_and(|bytes| bytes > max_bytes) {
            return Err(BodyFault::TooLarge);
        }
        let share = BodyShare::new(self);
        let mut bytes: Vec<u8> = Vec::new();
        while let Some(frame) = share.next_frame(body).await {
            let data = frame?;
            let length = bytes.len() + data.len();
            if length > max_bytes {
                return Err(BodyFault::TooLarge);
            }
            if length > bytes.capacity() {
                let capacity = next_capacity(bytes.capacity(), length, declared.unwrap_or(max_bytes));
                share.resize(capacity)?;
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        share.complete();
        Ok(if bytes.is_empty() {
            Bytes::new()
        } else {
            Bytes::from_owner(CountedBody { bytes, _share: share })
        })
    }
}

/// Size of the memory for a body that has grown to `length`: twice the last one, but not above what may still come.
fn next_capacity(capacity: usize, length: usize, most: usize) -> usize {
    (capacity * 2).max(FIRST_BYTES).min(most).max(length)
}

/// Reads the rest of a body without keeping it, so that its caller sees the answer: a connection that is closed with
/// unread bytes is reset. Ends after `max_bytes` or `max_ms` at the latest.
pub(crate) async fn discard_body(body: &mut Incoming, max_bytes: usize, max_ms: u64) {
    let reading = async {
        let mut left = max_bytes;
        while let Some(Ok(frame)) = body.frame().await {
            let Some(rest) = left.checked_sub(frame.data_ref().map_or(0, Bytes::len)) else { return };
            left = rest;
        }
    };
    // The answer is sent in any case.
    let _ = timeout(Duration::from_millis(max_ms), reading).await;
}

/// What one body holds of the memory, until dropped.
#[derive(Debug)]
struct BodyShare {
    memory: RequestMemory,
    ticket: BodyTicket,
    abandoned: Arc<Notify>,
}

impl BodyShare {
    fn new(memory: &RequestMemory) -> Self {
        let abandoned = Arc::new(Notify::new());
        let mut table = memory.table();
        let ticket = table.budget.begin(memory.clock.now());
        table.readers.push((ticket, Arc::clone(&abandoned)));
        drop(table);
        Self { memory: memory.clone(), ticket, abandoned }
    }

    /// Waits for the next bytes of the body; `None` at its end.
    async fn next_frame(&self, body: &mut Incoming) -> Option<Result<Bytes, BodyFault>> {
        let frame = tokio::select! {
            biased;
            () = self.abandoned.notified() => return Some(Err(BodyFault::Abandoned)),
            frame = body.frame() => frame?,
        };
        let Ok(frame) = frame else { return Some(Err(BodyFault::Incomplete)) };
        self.memory.table().budget.record_progress(self.ticket, self.memory.clock.now());
        Some(Ok(frame.into_data().unwrap_or_default()))
    }

    fn resize(&self, bytes: usize) -> Result<(), BodyFault> {
        let mut table = self.memory.table();
        let BodyGrant { is_granted, abandoned } =
            table.budget.resize(self.ticket, bytes, self.memory.clock.now());
        table.notify(&abandoned);
        if is_granted { Ok(()) } else { Err(BodyFault::NoMemory) }
    }

    fn complete(&self) {
        self.memory.table().budget.complete(self.ticket);
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        let mut table = self.memory.table();
        table.budget.end(self.ticket);
        if let Ok(at) = table.readers.binary_search_by_key(&self.ticket, |(known, _)| *known) {
            table.readers.remove(at);
        }
    }
}

/// A whole body with its share of the memory.
#[derive(Debug)]
struct CountedBody {
    bytes: Vec<u8>,
    _share: BodyShare,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
