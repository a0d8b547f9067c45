//! Reports: accepted once durable, run by an owner, taken over when the owner is no longer a member.

use cowslip_platform::{PlatformError, RowValue, TableTransaction, TransactionOutcome};
use cowslip_units::{
    AttemptId, IncarnationId, InvariantName, ReportId, TeamId, UpstreamId, assert_invariant,
};
use smol_str::SmolStr;

use crate::{FleetView, ReportRow, ReportState, report_key, sorted_vec};

/// Time in ms until a failed call is retried.
const REPORT_RETRY_MS: u64 = 250;

/// Next step for a report.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportStep {
    /// Commit this and call [`ReportTable::commit_answered`].
    Commit(TableTransaction),
    /// Read the row with this key and call [`ReportTable::read_answered`].
    Read(SmolStr),
    /// Call [`ReportTable::poll`] after this time in ms.
    Wait(u64),
    /// The report is durable: respond with 202 and run it.
    Accepted,
    /// The report was taken over: run it.
    Run,
    /// The result is in the row.
    Stored,
    /// Another router owns the report, or it has ended: stop running it and drop the result.
    Superseded,
    /// Nothing is left to do.
    Ended,
}

#[derive(Clone, Debug, PartialEq)]
enum WorkState {
    /// Writes the row if it is absent.
    Accepting,
    /// Writes this router as owner over the row with this version.
    TakingOver { replaced_version: u64 },
    /// Runs on this router.
    Owned,
    /// Writes the result, or removes the owner from the row.
    Storing { row: ReportRow },
}

#[derive(Clone, Debug, PartialEq)]
struct ReportWork {
    report: ReportId,
    row: ReportRow,
    /// Version of the row when it last was known to contain this attempt.
    row_version: Option<u64>,
    state: WorkState,
    /// A write is in doubt: read the row before the next one.
    read_first: bool,
    /// The sender no longer waits for the acceptance; the report is cancelled once its row exists.
    cancel_unaccepted: bool,
}

/// The reports of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportTable {
    own: IncarnationId,
    reports: Vec<ReportWork>,
}

impl ReportTable {
    /// A table without reports.
    pub fn new(own: IncarnationId) -> Self {
        Self { own, reports: Vec::new() }
    }

    /// Accepts a report whose body is in the object store. `row` must have this router as owner and a new
    /// attempt id.
    pub fn accept(&mut self, report: ReportId, row: ReportRow) -> ReportStep {
        self.add(report, row, WorkState::Accepting)
    }

    /// Takes over a report found by a scan if it has no owner or its owner is not a member; otherwise `None`.
    pub fn take_over(
        &mut self,
        report: ReportId,
        value: &RowValue,
        attempt: AttemptId,
        view: &FleetView,
    ) -> Option<ReportStep> {
        let mut row: ReportRow = serde_json::from_str(&value.value).ok()?;
        let owned =
            row.owner.as_ref().is_some_and(|owner| *owner == self.own || view.member(owner).is_some());
        let known = sorted_vec::find(&self.reports, &report, |work| &work.report).is_some();
        if row.state != ReportState::Accepted || owned || known {
            return None;
        }
        row.owner = Some(self.own.clone());
        row.attempt = attempt;
        Some(self.add(report, row, WorkState::TakingOver { replaced_version: value.version }))
    }

    fn add(&mut self, report: ReportId, row: ReportRow, state: WorkState) -> ReportStep {
        let work = ReportWork {
            report: report.clone(),
            row,
            row_version: None,
            state,
            read_first: false,
            cancel_unaccepted: false,
        };
        sorted_vec::put(&mut self.reports, work, |work| &work.report);
        self.poll(&report)
    }

    fn work(&mut self, report: &ReportId) -> Option<&mut ReportWork> {
        sorted_vec::find_mut(&mut self.reports, report, |work| &work.report)
    }

    fn remove(&mut self, report: &ReportId, step: ReportStep) -> ReportStep {
        self.reports.retain(|work| work.report != *report);
        step
    }

    /// The next step of a report.
    pub fn poll(&mut self, report: &ReportId) -> ReportStep {
        let Some(work) = self.work(report) else {
            return ReportStep::Ended;
        };
        let key = report_key(report);
        if work.read_first {
            return ReportStep::Read(key);
        }
        let (version, row) = match &work.state {
            WorkState::Owned => return ReportStep::Run,
            WorkState::Accepting => (None, &work.row),
            WorkState::TakingOver { replaced_version } => (Some(*replaced_version), &work.row),
            WorkState::Storing { row } => (work.row_version, row),
        };
        let Ok(value) = serde_json::to_string(row) else {
            return self.remove(report, ReportStep::Ended);
        };
        let transaction = match version {
            Some(version) => TableTransaction::new().with_version(&key, version),
            None => TableTransaction::new().with_absent(&key),
        };
        ReportStep::Commit(transaction.with_put(&key, value))
    }

    /// Handles the result of [`ReportStep::Commit`].
    pub fn commit_answered(
        &mut self,
        report: &ReportId,
        result: &Result<TransactionOutcome, PlatformError>,
    ) -> ReportStep {
        let Some(work) = self.work(report) else {
            return ReportStep::Ended;
        };
        match result {
            Err(error) => {
                work.read_first |= error.in_doubt();
                ReportStep::Wait(REPORT_RETRY_MS)
            }
            Ok(outcome) if outcome.committed => {
                let version = outcome.versions.first().copied();
                self.written(report, version)
            }
            Ok(outcome) => {
                let row = outcome.rows.first().cloned();
                self.examine(report, row.as_ref())
            }
        }
    }

    /// Handles the result of [`ReportStep::Read`].
    pub fn read_answered(
        &mut self,
        report: &ReportId,
        result: &Result<Option<RowValue>, PlatformError>,
    ) -> ReportStep {
        match result {
            Ok(row) => self.examine(report, row.as_ref()),
            Err(_) => ReportStep::Wait(REPORT_RETRY_MS),
        }
    }

    /// Updates the state after the last write has taken effect.
    fn written(&mut self, report: &ReportId, version: Option<u64>) -> ReportStep {
        let Some(work) = self.work(report) else {
            return ReportStep::Ended;
        };
        work.row_version = version;
        match std::mem::replace(&mut work.state, WorkState::Owned) {
            WorkState::Accepting if work.cancel_unaccepted => {
                self.store(report, |row| row.state = ReportState::Cancelled)
            }
            WorkState::Accepting => ReportStep::Accepted,
            WorkState::TakingOver { .. } | WorkState::Owned => ReportStep::Run,
            WorkState::Storing { .. } => self.remove(report, ReportStep::Stored),
        }
    }

    /// Chooses the next step by the row as the store has it.
    fn examine(&mut self, report: &ReportId, value: Option<&RowValue>) -> ReportStep {
        let Some(work) = self.work(report) else {
            return ReportStep::Ended;
        };
        work.read_first = false;
        let Some(value) = value else {
            if matches!(work.state, WorkState::Accepting) {
                return self.poll(report);
            }
            assert_invariant(false, InvariantName::AcceptedKept, || {
                format!("row of accepted report {report} does not exist")
            });
            return self.remove(report, ReportStep::Superseded);
        };
        let Ok(row) = serde_json::from_str::<ReportRow>(&value.value) else {
            return self.remove(report, ReportStep::Superseded);
        };
        let intended = match &work.state {
            WorkState::Storing { row } => row,
            WorkState::Accepting | WorkState::TakingOver { .. } | WorkState::Owned => &work.row,
        };
        if row == *intended {
            return self.written(report, Some(value.version));
        }
        match &work.state {
            // The row is still as it was before the write.
            WorkState::Storing { .. } if row == work.row => {
                work.row_version = Some(value.version);
                self.poll(report)
            }
            // The row to be taken over is unchanged; the write may be retried.
            WorkState::TakingOver { replaced_version } if *replaced_version == value.version => {
                self.poll(report)
            }
            _ => self.remove(report, ReportStep::Superseded),
        }
    }

    /// Ends the report: its result is an object, or it failed permanently.
    pub fn complete(&mut self, report: &ReportId, state: ReportState) -> ReportStep {
        self.store(report, |row| row.state = state)
    }

    /// Releases ownership for a planned stop, so that another router takes the report over, with the
    /// upstreams that have ended under it.
    pub fn abandon(&mut self, report: &ReportId, ended_upstreams: &[UpstreamId]) -> ReportStep {
        self.store(report, |row| {
            row.owner = None;
            row.ended_upstreams = ended_upstreams.to_vec();
        })
    }

    /// Marks a report whose sender disconnected or was rejected before the acceptance: it is cancelled if its
    /// row comes to exist. Call [`poll`](Self::poll) and follow the steps in the background.
    pub fn cancel_unaccepted(&mut self, report: &ReportId) {
        if let Some(work) = self.work(report) {
            work.cancel_unaccepted = true;
        }
    }

    fn store(&mut self, report: &ReportId, change: impl FnOnce(&mut ReportRow)) -> ReportStep {
        let Some(work) = self.work(report) else {
            return ReportStep::Ended;
        };
        if work.state == WorkState::Owned {
            let mut row = work.row.clone();
            change(&mut row);
            work.state = WorkState::Storing { row };
        }
        self.poll(report)
    }

    /// The transaction by which a team cancels its report; `None` if the row is another team's or the report
    /// has ended. The owner finds the cancellation when it stores the result.
    pub fn cancel(report: &ReportId, value: &RowValue, team: &TeamId) -> Option<TableTransaction> {
        let mut row: ReportRow = serde_json::from_str(&value.value).ok()?;
        if row.team != *team || row.state != ReportState::Accepted {
            return None;
        }
        row.state = ReportState::Cancelled;
        let key = report_key(report);
        let written = serde_json::to_string(&row).ok()?;
        Some(TableTransaction::new().with_version(&key, value.version).with_put(&key, written))
    }

    /// Ids of the reports that this router runs or is writing, ascending.
    pub fn reports(&self) -> impl Iterator<Item = &ReportId> {
        self.reports.iter().map(|work| &work.report)
    }
}
