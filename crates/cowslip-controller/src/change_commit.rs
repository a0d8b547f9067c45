//! Commits one change to the log.

use cowslip_fleet::{ChangeFault, CommitProtocol, CommitStep, HEAD_KEY};
use cowslip_platform::{EngineOrders, PlatformError};
use cowslip_units::{ClockTime, ViewVersion};

use crate::{ControllerCore, PlatformServices};

/// Longest time in ms that a commit is tried.
const COMMIT_MS: u64 = 3_000;
/// Pause in ms after a failed call.
const RETRY_MS: u64 = 50;

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CommitOutcome {
    /// It is in the log at this version.
    Done(ViewVersion),
    /// The same state was in force as of this version.
    Unchanged(ViewVersion),
    /// Another sheet, applied at this version, replaced the one that it was based on.
    Conflict(ViewVersion),
    /// This process is not the leader any more.
    Fenced,
    /// It can never be made.
    Refused(ChangeFault),
    /// The store did not answer in time; `in_doubt` when it may have been made.
    Unavailable {
        /// Whether a write was sent without an answer.
        in_doubt: bool,
    },
}

/// Who may make a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommitRight {
    /// Any controller, for an operator.
    Anyone,
    /// The leader only.
    Leader,
}

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Commits a change and brings the view up to it. Writes in doubt are read back.
    pub(crate) async fn commit_change(&self, mut log: CommitProtocol, right: CommitRight) -> CommitOutcome {
        let end: ClockTime = self.now().plus_ms(COMMIT_MS);
        let mut in_doubt = false;
        while self.now() < end {
            let step = {
                let state = self.lock();
                log.next(&state.view)
            };
            let failed: Result<(), PlatformError> = match step {
                CommitStep::ReadApplied(key) => self
                    .store_result(self.platform.read(&key).await)
                    .map(|row| log.applied_answered(row.as_ref())),
                CommitStep::ReadHead => self
                    .store_result(self.platform.read(HEAD_KEY).await)
                    .map(|row| log.head_answered(row.as_ref())),
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
                    log.commit_answered(&result);
                    in_doubt |= result.as_ref().is_err_and(PlatformError::in_doubt);
                    result.map(|_| ())
                }
                CommitStep::Done(version) => {
                    // The change is in force whether or not this process sees it already.
                    let _ = self.catch_up(version).await;
                    return CommitOutcome::Done(version);
                }
                CommitStep::Unchanged(version) => return CommitOutcome::Unchanged(version),
                CommitStep::Conflict(version) => return CommitOutcome::Conflict(version),
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
