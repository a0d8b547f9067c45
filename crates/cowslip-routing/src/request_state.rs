//! Dispatch state of a request.

use cowslip_units::{InvariantName, RequestId, RunState, assert_invariant};

/// Progress of the latest dispatch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendStage {
    /// No upstream that might run the request has a byte of it.
    #[default]
    NothingSent,
    /// At least one byte was sent to an upstream.
    Sent,
    /// The upstream began to answer.
    FirstByte,
    /// The upstream's complete answer was received.
    Answered,
}

/// Tracks one request through its dispatches and whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestState {
    request: RequestId,
    idempotent: bool,
    stage: SendStage,
    /// Number of dispatches that may have run the request.
    may_have_run: u32,
    to_caller: bool,
}

impl RequestState {
    /// A request that was not sent yet.
    pub const fn new(request: RequestId, idempotent: bool) -> Self {
        Self { request, idempotent, stage: SendStage::NothingSent, may_have_run: 0, to_caller: false }
    }

    /// Id of the request.
    pub const fn request(&self) -> &RequestId {
        &self.request
    }

    /// Records that the first byte is about to be sent; asserts that a request that is not idempotent is not
    /// sent again after it may have run.
    pub fn sending(&mut self) {
        assert_invariant(self.idempotent || self.may_have_run == 0, InvariantName::RunsOnce, || {
            format!("request {} sent again after it may have run", self.request)
        });
        self.may_have_run += 1;
        self.stage = SendStage::Sent;
    }

    /// Records that the latest dispatch did not run: no connection was made, or the upstream reported so.
    pub fn not_run(&mut self) {
        self.may_have_run = self.may_have_run.saturating_sub(1);
        self.stage = SendStage::NothingSent;
    }

    /// Records that the upstream began to answer.
    pub fn first_byte(&mut self) {
        self.stage = self.stage.max(SendStage::FirstByte);
    }

    /// Records that the upstream's complete answer was received.
    pub fn answered(&mut self) {
        self.stage = SendStage::Answered;
    }

    /// Records that a byte of an answer was sent to the caller.
    pub fn to_caller(&mut self) {
        self.to_caller = true;
    }

    /// True when another dispatch is allowed.
    pub const fn can_retry(&self) -> bool {
        !self.to_caller && (self.idempotent || self.may_have_run == 0)
    }

    /// Whether the request ran, as far as this can be determined.
    pub const fn run_state(&self) -> RunState {
        match self.stage {
            _ if self.may_have_run == 0 => RunState::NotRun,
            SendStage::Answered => RunState::Ran,
            _ => RunState::Unknown,
        }
    }

    /// Checks a rejection that reports the run state `ran`: asserts that "not run" is true.
    pub fn refused(&self, ran: RunState) {
        assert_invariant(
            ran != RunState::NotRun || self.may_have_run == 0,
            InvariantName::NotRunTrue,
            || format!("request {} rejected as not run in stage {:?}", self.request, self.stage),
        );
    }
}
