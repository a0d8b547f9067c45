//! Commits a change to the change log.

use cowslip_fleet::{ChangeFault, CommitProtocol, CommitStep, HEAD_KEY};
use cowslip_platform::{EngineOrders, PlatformError};
use cowslip_units::{ClockTime, ViewVersion};

use crate::{ControllerCore, PlatformServices};

/// Longest time in ms for which a commit is retried.
const COMMIT_TIMEOUT_MS: u64 = 3_000;
/// Pause in ms after a failed call, before the next attempt.
const RETRY_MS: u64 = 50;

/// Outcome of a commit.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CommitOutcome {
    /// The change is in the log at this version.
    Done(ViewVersion),
    /// The change has no effect; the state was already in force as of this version.
    Unchanged(ViewVersion),
    /// Another sheet, applied at this version, has replaced the one that the change was based on.
    Lost(ViewVersion),
    /// This process is no longer the leader.
    Fenced,
    /// The change is not permitted, and a retry would fail as well.
    Refused(ChangeFault),
    /// The store did not answer in time.
    Unavailable {
        /// Whether a write was sent without an answer, so that the change may have been made.
        in_doubt: bool,
    },
}

/// Which controllers may commit a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommitRight {
    /// Any controller, on behalf of an operator.
    Anyone,
    /// Only the leader.
    Leader,
}

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Commits a change and applies it to the view. Writes in doubt are read back.
    pub(crate) async fn commit_change(
        &self,
        mut protocol: CommitProtocol,
        right: CommitRight,
    ) -> CommitOutcome {
        let end: ClockTime = self.now().plus_ms(COMMIT_TIMEOUT_MS);
        let mut in_doubt = false;
        while self.now() < end {
            let step = {
                let state = self.lock();
                protocol.next(&state.view)
            };
            let failed: Result<(), PlatformError> = match step {
                CommitStep::ReadApplied(key) => self
                    .store_result(self.platform.read(&key).await)
                    .map(|row| protocol.applied_answered(row.as_ref())),
                CommitStep::ReadHead => self
                    .store_result(self.platform.read(HEAD_KEY).await)
                    .map(|row| protocol.head_answered(row.as_ref())),
                CommitStep::CatchUp(version) => self.catch_up(version).await,
                CommitStep::Commit(transaction) => {
                    let transaction = match right {
                        CommitRight::Anyone => Some(transaction),
                        CommitRight::Leader => {
                            let now = self.now();
                            self.lock().lease.fence(transaction, now)
                        }
                    };
                    let Some(transaction) = transaction else {
                        return CommitOutcome::Fenced;
                    };
                    let result = self.store_result(self.platform.commit(&transaction).await);
                    protocol.commit_answered(&result);
                    in_doubt |= result.as_ref().is_err_and(PlatformError::in_doubt);
                    result.map(|_| ())
                }
                CommitStep::Done(version) => {
                    // The change is in force even if this process cannot read it back yet.
                    let _ = self.catch_up(version).await;
                    return CommitOutcome::Done(version);
                }
                CommitStep::Unchanged(version) => return CommitOutcome::Unchanged(version),
                CommitStep::Conflict(version) => return CommitOutcome::Lost(version),
                CommitStep::Fenced => return CommitOutcome::Fenced,
                CommitStep::Refused(fault) => return CommitOutcome::Refused(fault),
            };
            if failed.is_err() {
                self.clock.sleep_ms(RETRY_MS).await;
            }
        }
        CommitOutcome::Unavailable { in_doubt }
    }
}
