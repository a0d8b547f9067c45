//! Progress of a request.

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// All tokens were generated.
    Finished,
    /// The caller cancelled it.
    Cancelled,
    /// The model was unloaded or the engine crashed while it was queued or running.
    Failed,
    /// The engine died by a `die` fault; the connection closes without a response.
    Died,
}

/// Tokens generated so far, and how the run ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunProgress {
    pub(crate) tokens: u32,
    pub(crate) end: Option<RunEnd>,
}
