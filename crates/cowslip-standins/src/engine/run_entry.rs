//! A request queued, running or recently ended in the engine.

use std::sync::Arc;

use tokio::sync::watch;

use crate::engine::EngineFault;
use crate::engine::completion_request::CompletionRequest;
use crate::engine::run_progress::RunProgress;

/// A request that is queued or running, or that ended recently enough to be resumed.
#[derive(Debug)]
pub(crate) struct RunEntry {
    /// Run number; distinguishes runs with the same request id.
    pub(crate) number: u64,
    /// Number of its record in the journal.
    pub(crate) record: u64,
    /// The request.
    pub(crate) request: Arc<CompletionRequest>,
    /// Tokens generated and the end, watched by the readers.
    pub(crate) progress: watch::Sender<RunProgress>,
    /// End of the prefill in ms, set when the request gets a slot; tokens are generated in the steps after
    /// it.
    pub(crate) prefill_end_ms: u64,
    /// Number of connections that read the response.
    pub(crate) readers: u32,
    /// Incremented whenever a reader is attached or detached, so that a delayed cancellation detects a
    /// resumed stream.
    pub(crate) reader_generation: u64,
    /// When the request ended or its last reader was detached, in ms.
    pub(crate) idle_since_ms: u64,
    /// The fault that applies to it.
    pub(crate) fault: EngineFault,
}

impl RunEntry {
    /// True while the request is queued or running.
    pub(crate) fn is_active(&self) -> bool {
        self.progress.borrow().end.is_none()
    }
}
