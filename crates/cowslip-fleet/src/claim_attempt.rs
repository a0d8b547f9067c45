//! One attempt to run a request that must not run twice.

use cowslip_messages::AttemptStatus;
use cowslip_platform::TableTransaction;
use cowslip_units::{AttemptId, ClockTime, IncarnationId};
use smol_str::SmolStr;

use crate::{ClaimKey, ClaimRow, ClaimState, StoredAnswer};

/// Another attempt that holds the claim, as read from its row.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OtherClaim {
    pub(crate) row_version: u64,
    pub(crate) owner: IncarnationId,
    pub(crate) attempt: AttemptId,
}

/// Progress of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AttemptState {
    /// Writes the row if it is absent, or over the row of an abandoned attempt.
    Claiming { replaced_version: Option<u64> },
    /// A write is in doubt, or the row must be read again.
    Reading,
    /// Another attempt holds the claim. `unknown_at` is the version of the row whose owner had no record of
    /// it.
    Following { other: OtherClaim, unknown_at: Option<u64> },
    /// The row contains this attempt; nothing was sent.
    Held,
    /// The request was or may have been sent.
    Dispatched,
    /// The result is being written to the row; `read_first` while an earlier write of it is in doubt.
    Storing { result: ClaimState, read_first: bool },
    /// Ended before anything was sent, permanently. The row is deleted if it contains this attempt now or
    /// later; with `read_first` it is read before.
    Abandoned { since: ClockTime, next_at: ClockTime, reads: u32, read_first: bool },
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClaimAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) key: ClaimKey,
    pub(crate) request_digest: SmolStr,
    pub(crate) state: AttemptState,
    /// Version of the row when it last was known to contain this attempt.
    pub(crate) row_version: Option<u64>,
    /// A write of the claim may still take effect, even after the row was read without this attempt.
    pub(crate) in_doubt: bool,
    /// The caller has its answer; the remaining work is done in the background.
    pub(crate) answered: bool,
    pub(crate) retry_at: ClockTime,
}

impl ClaimAttempt {
    pub(crate) fn new(attempt: AttemptId, key: ClaimKey, request_digest: SmolStr) -> Self {
        Self {
            attempt,
            key,
            request_digest,
            state: AttemptState::Claiming { replaced_version: None },
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

    /// The write of `row` on condition that the stored row has `version`, or is absent.
    pub(crate) fn write(&self, version: Option<u64>, row: &ClaimRow) -> Option<TableTransaction> {
        let value = serde_json::to_string(row).ok()?;
        let transaction = match version {
            Some(version) => TableTransaction::new().with_version(self.key.as_str(), version),
            None => TableTransaction::new().with_absent(self.key.as_str()),
        };
        Some(transaction.with_put(self.key.as_str(), value))
    }

    /// The status to report to other routers.
    pub(crate) fn attempt_status(&self) -> AttemptStatus {
        match &self.state {
            AttemptState::Abandoned { .. } => AttemptStatus::GivenUp,
            AttemptState::Storing { result: ClaimState::Unknown, .. } => AttemptStatus::OutcomeUnknown,
            _ => AttemptStatus::Running,
        }
    }

    /// The answer that is to be stored.
    pub(crate) fn answer(&self) -> Option<&StoredAnswer> {
        match &self.state {
            AttemptState::Storing { result: ClaimState::Done(answer), .. } => Some(answer),
            _ => None,
        }
    }
}
