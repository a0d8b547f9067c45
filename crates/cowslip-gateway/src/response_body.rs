//! Response bodies sent to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

/// Aborts a response: the connection is closed without the last chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("response aborted")]
pub(crate) struct ResponseAborted;

/// A buffered or streamed body.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// All bytes, `None` when empty or already sent.
    Buffered(Option<Bytes>),
    /// Chunks of a stream.
    Streamed(Receiver<Result<Bytes, ResponseAborted>>),
}

impl ResponseBody {
    /// A buffered body.
    pub(crate) fn buffered(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(chunks) => {
                let chunk = std::task::ready!(chunks.poll_recv(context));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
