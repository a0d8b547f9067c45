//! Commit of a change at the head of the change log.

use cowslip_messages::{ChangeRecord, FleetChange, KeyState};
use cowslip_platform::{PlatformError, RowValue, TableTransaction, TransactionOutcome};
use cowslip_units::{ChangeId, ViewVersion};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::member_change::is_single_step;
use crate::{FleetView, HEAD_KEY, applied_key, change_key};

/// Value of the rows `head` (last version) and `applied/<change id>` (version of the change).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRow {
    /// Version in the change log.
    pub version: ViewVersion,
}

/// Reason why a change can never be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeFault {
    /// The key was withdrawn, which is permanent.
    KeyWithdrawn,
    /// The key belongs to another team.
    KeyOfOtherTeam,
    /// The key was never given.
    KeyUnknown,
    /// The member list is empty, or differs from the present one by more than one member.
    MembersStep,
    /// The row `head` or `applied/<change id>` cannot be parsed.
    RowUnreadable,
}

/// Next step for a change.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitStep {
    /// Read this row and call [`CommitProtocol::applied_answered`].
    ReadApplied(SmolStr),
    /// Read the row [`HEAD_KEY`] and call [`CommitProtocol::head_answered`].
    ReadHead,
    /// Update the view to this version, then call [`CommitProtocol::next`] again.
    CatchUp(ViewVersion),
    /// Commit this and call [`CommitProtocol::commit_answered`].
    Commit(TableTransaction),
    /// The change took effect at this version.
    Done(ViewVersion),
    /// The same state is already in force at this version; nothing was written.
    Unchanged(ViewVersion),
    /// The sheet in force, applied at this version, is not the one that the change was based on.
    Conflict(ViewVersion),
    /// A condition added by the caller did not hold: this process is no longer the leader.
    Fenced,
    /// The change can never be committed.
    Refused(ChangeFault),
}

#[derive(Clone, Debug, PartialEq)]
struct ObservedHead {
    row_version: Option<u64>,
    version: ViewVersion,
}

#[derive(Clone, Debug, PartialEq)]
enum CommitState {
    /// A write may have taken effect.
    InDoubt,
    /// The head must be read.
    NeedHead,
    /// The head was read. `not_applied` is true when the change was found unapplied after that read.
    AtHead { head: ObservedHead, not_applied: bool },
    /// The change has ended.
    Ended(CommitStep),
}

/// One change to be committed to the log. A step that failed without an answer is simply repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct CommitProtocol {
    change_id: ChangeId,
    author: SmolStr,
    change: FleetChange,
    base: Option<ViewVersion>,
    state: CommitState,
}

impl CommitProtocol {
    /// A change that replaces whatever is in force.
    pub fn new(change_id: ChangeId, author: SmolStr, change: FleetChange) -> Self {
        Self { change_id, author, change, base: None, state: CommitState::NeedHead }
    }

    /// For a sheet based on the sheet applied at `base`; ends in a conflict if another one is in force.
    #[must_use]
    pub fn with_base(mut self, base: Option<ViewVersion>) -> Self {
        self.base = base;
        self
    }

    /// The change as the log record at `version`.
    pub fn record(&self, version: ViewVersion) -> ChangeRecord {
        ChangeRecord {
            version,
            change_id: self.change_id.clone(),
            author: self.author.clone(),
            change: self.change.clone(),
        }
    }

    /// The next step, given the caller's view.
    pub fn next(&mut self, view: &FleetView) -> CommitStep {
        match &self.state {
            CommitState::Ended(step) => step.clone(),
            CommitState::InDoubt => CommitStep::ReadApplied(applied_key(&self.change_id)),
            CommitState::NeedHead => CommitStep::ReadHead,
            CommitState::AtHead { head, .. } if head.version < view.version() => {
                self.state = CommitState::NeedHead;
                CommitStep::ReadHead
            }
            CommitState::AtHead { head, .. } if head.version > view.version() => {
                CommitStep::CatchUp(head.version)
            }
            CommitState::AtHead { head, not_applied } => match self.final_step(view) {
                None => self.transaction(head),
                // The author may have sent this change before: its own effect must not count as another
                // author's.
                Some(_) if !not_applied => CommitStep::ReadApplied(applied_key(&self.change_id)),
                Some(step) => self.end(step),
            },
        }
    }

    fn end(&mut self, step: CommitStep) -> CommitStep {
        self.state = CommitState::Ended(step.clone());
        step
    }

    /// The step that ends the change without a write; `None` when the change must be written.
    fn final_step(&self, view: &FleetView) -> Option<CommitStep> {
        let same = |holds: bool| holds.then_some(CommitStep::Unchanged(view.version()));
        let refused = |fault| Some(CommitStep::Refused(fault));
        match &self.change {
            FleetChange::SheetApplied { digest } => {
                let sheet = view.sheet_ref();
                if sheet.is_some_and(|sheet| sheet.digest == *digest) {
                    return same(true);
                }
                let in_force = sheet.map(|sheet| sheet.version);
                let is_outdated = self.base.is_some() && self.base != in_force;
                is_outdated.then_some(CommitStep::Conflict(in_force.unwrap_or_default()))
            }
            FleetChange::KeyGiven { digest, team } => match view.key(digest) {
                None => None,
                Some(key) if key.state == KeyState::Withdrawn => refused(ChangeFault::KeyWithdrawn),
                Some(key) if key.team != *team => refused(ChangeFault::KeyOfOtherTeam),
                Some(_) => same(true),
            },
            FleetChange::KeyWithdrawn { digest } => match view.key(digest) {
                None => refused(ChangeFault::KeyUnknown),
                Some(key) => same(key.state == KeyState::Withdrawn),
            },
            FleetChange::DomainSwitched { domain, out } => same(view.is_domain_out(domain) == *out),
            FleetChange::UpstreamSwitched { upstream, out } => same(view.is_upstream_out(upstream) == *out),
            FleetChange::MembersSet { members } if view.members() == members.as_slice() => same(true),
            FleetChange::MembersSet { members } if is_single_step(view.members(), members) => None,
            FleetChange::MembersSet { .. } => refused(ChangeFault::MembersStep),
        }
    }

    fn transaction(&self, head: &ObservedHead) -> CommitStep {
        let version = head.version.next();
        let row = serde_json::to_string(&VersionRow { version });
        let record = serde_json::to_string(&self.record(version));
        let (Ok(row), Ok(record)) = (row, record) else {
            return CommitStep::Refused(ChangeFault::RowUnreadable);
        };
        let applied = applied_key(&self.change_id);
        let transaction = match head.row_version {
            Some(row_version) => TableTransaction::new().with_version(HEAD_KEY, row_version),
            None => TableTransaction::new().with_absent(HEAD_KEY),
        };
        CommitStep::Commit(
            transaction
                .with_absent(&applied)
                .with_put(HEAD_KEY, row.clone())
                .with_put(&change_key(version), record)
                .with_put(&applied, row),
        )
    }

    /// Handles the result of [`CommitStep::ReadApplied`].
    pub fn applied_answered(&mut self, row: Option<&RowValue>) {
        match (row, &mut self.state) {
            (Some(row), _) => self.state = CommitState::Ended(applied_step(row)),
            // A write in doubt may still take effect. The next one has the same condition on `head`; if
            // `head` has moved, the write in doubt fails.
            (None, CommitState::InDoubt) => self.state = CommitState::NeedHead,
            (None, CommitState::AtHead { not_applied, .. }) => *not_applied = true,
            (None, CommitState::NeedHead | CommitState::Ended(_)) => {}
        }
    }

    /// Handles the result of [`CommitStep::ReadHead`].
    pub fn head_answered(&mut self, row: Option<&RowValue>) {
        if matches!(self.state, CommitState::Ended(_)) {
            return;
        }
        let head = match row {
            None => ObservedHead { row_version: None, version: ViewVersion::ZERO },
            Some(row) => match serde_json::from_str::<VersionRow>(&row.value) {
                Ok(head) => ObservedHead { row_version: Some(row.version), version: head.version },
                Err(_) => {
                    self.state = CommitState::Ended(CommitStep::Refused(ChangeFault::RowUnreadable));
                    return;
                }
            },
        };
        self.state = CommitState::AtHead { head, not_applied: false };
    }

    /// Handles the result of [`CommitStep::Commit`].
    pub fn commit_answered(&mut self, result: &Result<TransactionOutcome, PlatformError>) {
        let CommitState::AtHead { head, .. } = &self.state else { return };
        let outcome = match result {
            Ok(outcome) => outcome,
            Err(error) => {
                self.state = if error.in_doubt() { CommitState::InDoubt } else { CommitState::NeedHead };
                return;
            }
        };
        if outcome.committed {
            self.state = CommitState::Ended(CommitStep::Done(head.version.next()));
            return;
        }
        let applied = applied_key(&self.change_id);
        if let Some(row) = outcome.rows.iter().find(|row| row.key == applied) {
            self.state = CommitState::Ended(applied_step(row));
            return;
        }
        let present = outcome.rows.iter().find(|row| row.key == HEAD_KEY);
        if present.map(|row| row.version) == head.row_version {
            self.state = CommitState::Ended(CommitStep::Fenced);
        } else {
            self.head_answered(present);
        }
    }
}

fn applied_step(row: &RowValue) -> CommitStep {
    match serde_json::from_str::<VersionRow>(&row.value) {
        Ok(applied) => CommitStep::Done(applied.version),
        Err(_) => CommitStep::Refused(ChangeFault::RowUnreadable),
    }
}
