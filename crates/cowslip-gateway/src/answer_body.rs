//! Response bodies sent to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

/// Aborts a response: the connection is closed without the last chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the answer was cut off")]
pub(crate) struct CutOff;

/// A buffered or streamed body.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// All bytes; `None` when empty or already sent.
    Whole(Option<Bytes>),
    /// Chunks of a stream.
    Pieces(Receiver<Result<Bytes, CutOff>>),
}

impl AnswerBody {
    /// A buffered body.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => {
                let piece = std::task::ready!(pieces.poll_recv(context));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
