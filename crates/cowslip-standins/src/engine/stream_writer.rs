//! Writes the events of a streamed response.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};

use crate::ConnectionAborted;
use crate::engine::completion_text::CompletionText;
use crate::engine::reader_guard::ReaderGuard;
use crate::engine::run_progress::RunProgress;
use crate::engine::{EngineFault, EngineFaultMode};

/// Chunks of a body that are buffered for a connection.
pub(crate) const CHUNK_BUFFER: usize = 8;

/// Delay in ms before a connection is aborted. When a body fails, the HTTP library drops the chunks that it
/// has not written yet, so without a delay the amount of data received by the client would be random.
pub(crate) const FLUSH_MS: u64 = 10;

/// An event that is not JSON.
const GARBAGE_EVENT: &[u8] = b"data: {\"id\":\"\xff\xfe{{ garbage\n\n";

/// Writes the events for one reader.
#[derive(Debug)]
pub(crate) struct StreamWriter {
    /// The connection's body.
    pub(crate) chunks: mpsc::Sender<Result<Bytes, ConnectionAborted>>,
    /// Detaches the reader when the connection closes.
    #[expect(dead_code, reason = "only its drop has an effect")]
    pub(crate) guard: ReaderGuard,
    /// Content of the response.
    pub(crate) text: CompletionText,
    /// Content of the second half of the stream under a `cross` fault.
    pub(crate) other: CompletionText,
    /// Progress of the request.
    pub(crate) progress: watch::Receiver<RunProgress>,
    /// Number of tokens of the complete response.
    pub(crate) max_tokens: u32,
    /// The fault that applies to this reader; a reader that resumes has none.
    pub(crate) fault: EngineFault,
}

impl StreamWriter {
    /// Writes the events from offset `from` until the end of the response or of the connection.
    pub(crate) async fn write(mut self, from: u32) {
        let middle = self.max_tokens / 2;
        for offset in from..self.max_tokens {
            if !self.wait_token(offset).await {
                return;
            }
            if offset == middle && self.fault.mode != EngineFaultMode::None {
                match self.fault.mode {
                    EngineFaultMode::Garbage => {
                        if self.send(Bytes::from_static(GARBAGE_EVENT)).await {
                            continue;
                        }
                        return;
                    }
                    EngineFaultMode::Stall if self.fault.ms == 0 => return self.chunks.closed().await,
                    EngineFaultMode::Stall => {
                        tokio::time::sleep(Duration::from_millis(self.fault.ms)).await;
                    }
                    EngineFaultMode::Cut => return self.cut().await,
                    EngineFaultMode::Gap => continue,
                    EngineFaultMode::Truncate => return,
                    _ => {}
                }
            }
            let crossed = self.fault.mode == EngineFaultMode::Cross && offset >= middle;
            let text = if crossed { &self.other } else { &self.text };
            let event = Bytes::from(format!("data: {}\n\n", text.chunk(offset)));
            if !self.send(event).await {
                return;
            }
        }
        self.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
    }

    /// Waits for the token at `offset`; false when the connection has closed or the request failed.
    async fn wait_token(&mut self, offset: u32) -> bool {
        let reached = tokio::select! {
            progress = self.progress.wait_for(|progress| progress.tokens > offset || progress.end.is_some()) => {
                progress.is_ok_and(|progress| progress.tokens > offset)
            }
            () = self.chunks.closed() => return false,
        };
        if !reached {
            self.cut().await;
        }
        reached
    }

    async fn cut(&self) {
        tokio::time::sleep(Duration::from_millis(FLUSH_MS)).await;
        // Fails when the client has already closed the connection.
        let _ = self.chunks.send(Err(ConnectionAborted)).await;
    }

    async fn send(&self, piece: Bytes) -> bool {
        self.chunks.send(Ok(piece)).await.is_ok()
    }
}
