//! Response bodies.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::ConnectionAborted;

/// The body of a response, sent at once or in chunks.
#[derive(Debug)]
pub(crate) enum ReplyBody {
    /// A complete body; `None` is empty.
    Full(Option<Bytes>),
    /// A stream of chunks; an error closes the connection before the end of the body.
    Chunks(mpsc::Receiver<Result<Bytes, ConnectionAborted>>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = ConnectionAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionAborted>>> {
        match &mut *self {
            Self::Full(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Self::Chunks(chunks) => {
                chunks.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => {
                let length = body.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
