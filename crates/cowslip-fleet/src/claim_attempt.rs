//! One attempt to run a request that must not run twice.

use cowslip_messages::AttemptStatus;
use cowslip_platform::TableTransaction;
use cowslip_units::{AttemptId, ClockTime, IncarnationId};
use smol_str::SmolStr;

use crate::{ClaimKey, ClaimRow, ClaimState, StoredAnswer};

/// Another attempt that holds the claim, as its row was read.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OtherClaim {
    pub(crate) row_version: u64,
    pub(crate) owner: IncarnationId,
    pub(crate) attempt: AttemptId,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AttemptState {
    /// Writes the row if it is absent, or over the row of a given-up attempt.
    Claiming { over: Option<u64> },
    /// A write is in doubt, or the row must be read anew.
    Reading,
    /// Another attempt holds the claim. `unknown_at` is the version of the row whose owner did not know it.
    Following { other: OtherClaim, unknown_at: Option<u64> },
    /// The row has this attempt; nothing was sent.
    Held,
    /// The request was or may have been sent.
    Dispatched,
    /// The result is written to the row.
    Storing { result: ClaimState, read_first: bool },
    /// Ended before anything was sent, for good. The row is deleted if it has or may yet get this attempt.
    GivenUp { since: ClockTime, next_at: ClockTime, reads: u32, read: bool },
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClaimAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) key: ClaimKey,
    pub(crate) request_digest: SmolStr,
    pub(crate) state: AttemptState,
    /// Version of the row when it was last known to have this attempt.
    pub(crate) row_version: Option<u64>,
    /// A write of the claim was sent and not refused: the row may get this attempt even after it was read without.
    pub(crate) in_doubt: bool,
    /// The caller has its answer; what is left to do is done in the background.
    pub(crate) answered: bool,
    pub(crate) retry_at: ClockTime,
}

impl ClaimAttempt {
    pub(crate) fn new(attempt: AttemptId, key: ClaimKey, request_digest: SmolStr) -> Self {
        Self {
            attempt,
            key,
            request_digest,
            state: AttemptState::Claiming { over: None },
            row_version: None,
            in_doubt: false,
            answered: false,
            retry_at: ClockTime::ZERO,
        }
    }

    pub(crate) fn row(&self, owner: &IncarnationId, state: ClaimState) -> ClaimRow {
        ClaimRow {
            attempt: self.attempt.clone(),
            owner: owner.clone(),
            request_digest: self.request_digest.clone(),
            state,
        }
    }

    /// The write of `row` on the condition that the row has `version`, or is absent.
    pub(crate) fn write(&self, version: Option<u64>, row: &ClaimRow) -> Option<TableTransaction> {
        let value = serde_json::to_string(row).ok()?;
        let transaction = match version {
            Some(version) => TableTransaction::new().with_version(self.key.as_str(), version),
            None => TableTransaction::new().with_absent(self.key.as_str()),
        };
        Some(transaction.with_put(self.key.as_str(), value))
    }

    /// How the attempt stands for routers that ask.
    pub(crate) fn attempt_status(&self) -> AttemptStatus {
        match &self.state {
            AttemptState::GivenUp { .. } => AttemptStatus::GivenUp,
            AttemptState::Storing { result: ClaimState::Unknown, .. } => AttemptStatus::OutcomeUnknown,
            _ => AttemptStatus::Running,
        }
    }

    /// The answer that waits to be stored.
    pub(crate) fn answer(&self) -> Option<&StoredAnswer> {
        match &self.state {
            AttemptState::Storing { result: ClaimState::Done(answer), .. } => Some(answer),
            _ => None,
        }
    }
}
