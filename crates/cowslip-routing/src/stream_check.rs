//! Checks that a streamed answer is complete and belongs to its request.

use std::fmt;

use cowslip_units::{InvariantName, RequestId, assert_invariant};

use crate::{AnswerHead, TokenUsage};

/// Data of the event that ends a stream.
const END_MARKER: &str = "[DONE]";

/// Kind of a valid event in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamStep {
    /// The next chunk, to be sent to the caller.
    Chunk,
    /// A chunk that the caller already has, repeated after a resume.
    Repeated,
    /// The end marker after the complete answer.
    End,
}

/// Reason why an answer must not reach the caller as a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// Does not have the expected format.
    Malformed,
    /// The id of another request, or none.
    WrongId,
    /// A chunk is missing.
    Gap {
        /// Offset of the missing chunk.
        expected: u64,
        /// Offset of the received chunk.
        got: u64,
    },
    /// The end marker arrived before a chunk with a finish reason.
    EarlyEnd,
    /// An event arrived after the end marker or after the chunk with the finish reason.
    AfterEnd,
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => formatter.write_str("the answer is malformed"),
            Self::WrongId => formatter.write_str("the answer does not carry the id of this request"),
            Self::Gap { expected, got } => {
                write!(formatter, "chunk {expected} is missing before chunk {got}")
            }
            Self::EarlyEnd => formatter.write_str("the end marker came before the last chunk"),
            Self::AfterEnd => formatter.write_str("the stream goes on after its end"),
        }
    }
}

/// Check of one stream, which continues across resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamCheck {
    request: RequestId,
    next_offset: u64,
    /// Number of chunks sent to the caller.
    passed: u64,
    finished: bool,
    ended: bool,
    usage: Option<TokenUsage>,
}

impl StreamCheck {
    /// A check of the stream that answers `request`.
    pub const fn new(request: RequestId) -> Self {
        Self { request, next_offset: 0, passed: 0, finished: false, ended: false, usage: None }
    }

    /// Checks the data of the next event.
    pub fn check(&mut self, data: &str) -> Result<StreamStep, AnswerFault> {
        if self.ended {
            return Err(AnswerFault::AfterEnd);
        }
        if data == END_MARKER {
            return self.end();
        }
        let head = AnswerHead::from_json(data).ok_or(AnswerFault::Malformed)?;
        if head.id.as_deref() != Some(self.request.as_str()) {
            return Err(AnswerFault::WrongId);
        }
        let offset = head.offset.filter(|_| head.has_choices).ok_or(AnswerFault::Malformed)?;
        if offset < self.next_offset {
            return Ok(StreamStep::Repeated);
        }
        if offset > self.next_offset {
            return Err(AnswerFault::Gap { expected: self.next_offset, got: offset });
        }
        if self.finished {
            return Err(AnswerFault::AfterEnd);
        }
        self.next_offset += 1;
        self.finished = head.finished;
        if head.usage.is_some() {
            self.usage = head.usage;
        }
        Ok(StreamStep::Chunk)
    }

    /// Records that a chunk or the end marker was sent to the caller; asserts that all output so far is this
    /// request's answer.
    pub fn forwarded(&mut self, step: StreamStep) {
        if step == StreamStep::Chunk {
            self.passed += 1;
        }
        let is_complete = step != StreamStep::End || (self.finished && self.ended);
        let is_valid = step != StreamStep::Repeated && is_complete && self.passed == self.next_offset;
        assert_invariant(is_valid, InvariantName::OwnAnswer, || {
            format!("request {}: forwarded {step:?} as number {}: {self:?}", self.request, self.passed)
        });
    }

    /// Offset from which to resume.
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// True after the end marker.
    pub const fn is_ended(&self) -> bool {
        self.ended
    }

    /// Token counts; `None` before the chunk that contains them.
    pub const fn usage(&self) -> Option<TokenUsage> {
        self.usage
    }

    fn end(&mut self) -> Result<StreamStep, AnswerFault> {
        if !self.finished {
            return Err(AnswerFault::EarlyEnd);
        }
        self.ended = true;
        Ok(StreamStep::End)
    }
}

/// Checks a complete answer that is not streamed: its header and its body must carry the request's id.
pub fn check_complete_answer(
    request: &RequestId,
    header_id: Option<&str>,
    body: &[u8],
) -> Result<AnswerHead, AnswerFault> {
    if header_id != Some(request.as_str()) {
        return Err(AnswerFault::WrongId);
    }
    let text = std::str::from_utf8(body).map_err(|_| AnswerFault::Malformed)?;
    let head = AnswerHead::from_json(text).ok_or(AnswerFault::Malformed)?;
    if head.id.as_deref() != Some(request.as_str()) {
        return Err(AnswerFault::WrongId);
    }
    if !head.has_choices || !head.finished {
        return Err(AnswerFault::Malformed);
    }
    Ok(head)
}
