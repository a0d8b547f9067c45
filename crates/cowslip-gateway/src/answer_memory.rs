//! The memory that answers of upstreams share while they are buffered, and reading an answer within it.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use cowslip_entry::AnswerBudget;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

/// Why an answer was not read to its end.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum ReadFault {
    /// It is larger than an answer may be.
    #[error("the answer has more than {0} bytes")]
    TooLarge(usize),
    /// It is large, and other answers use the memory.
    #[error("{0} bytes of the answer are read, and there is no memory for more")]
    NoMemory(usize),
    /// The connection broke.
    #[error("{0}")]
    Broken(String),
}

/// Memory for the answers that a process buffers.
#[derive(Clone, Debug)]
pub(crate) struct AnswerMemory {
    budget: Arc<Mutex<AnswerBudget>>,
}

impl AnswerMemory {
    /// Memory of that many bytes, unused.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { budget: Arc::new(Mutex::new(AnswerBudget::new(max_bytes))) }
    }

    /// The share of an answer of which nothing is read yet.
    pub(crate) fn share(&self) -> AnswerShare {
        AnswerShare { memory: self.clone(), bytes: 0 }
    }

    /// Reads a body of at most `max_bytes`. Its bytes count until the last copy of them is dropped, which is when they
    /// are written to the caller.
    ///
    /// # Errors
    /// [`ReadFault`] when the body is too large, or its connection breaks.
    pub(crate) async fn read(&self, mut body: Incoming, max_bytes: usize) -> Result<Bytes, ReadFault> {
        let (mut bytes, mut share) = (BytesMut::new(), self.share());
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| ReadFault::Broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            let length = bytes.len() + data.len();
            if length > max_bytes {
                return Err(ReadFault::TooLarge(max_bytes));
            }
            if !share.resize(length) {
                return Err(ReadFault::NoMemory(bytes.len()));
            }
            bytes.extend_from_slice(&data);
        }
        Ok(if bytes.is_empty() {
            Bytes::new()
        } else {
            Bytes::from_owner(CountedAnswer { bytes, _share: share })
        })
    }
}

/// A whole answer with its share of the memory.
#[derive(Debug)]
struct CountedAnswer {
    bytes: BytesMut,
    _share: AnswerShare,
}

impl AsRef<[u8]> for CountedAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// What one answer holds of the memory, until dropped.
#[derive(Debug)]
pub(crate) struct AnswerShare {
    memory: AnswerMemory,
    bytes: usize,
}

impl AnswerShare {
    /// Changes the size of the answer; returns false when there is no memory for that.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let mut budget = self.memory.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let is_allowed = budget.resize(self.bytes, bytes);
        if is_allowed {
            self.bytes = bytes;
        }
        is_allowed
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}
