//! The leader's part of usage reports: it sums the counts of all gateways, closes windows, and sends their reports.
//!
//! Load this answers: reports of up to 350 gateways a second or less apart, a leader that is killed, frozen or cut off
//! at any step, a store or an API that is away or slow when a report is due, and VMs that end in mid-window. A window
//! is closed by a row that must be absent; after that only the counts of the row are sent, by whichever leader.

use cowslip_units::{ClockTime, DayTime, FencingToken, IncarnationId, StoreEra, TeamId, WindowId};
use smol_str::SmolStr;

use crate::usage_meter::add_count;
use crate::{
    DutyAnswer, OpenSource, OpenUsage, UsageCheckpoint, UsageReport, UsageRow, UsageTerms, WindowCounts,
    report_interval_ms,
};

/// Share of the time until a report is due, in percent, after which a window is closed without the gateways that have
/// not reported. The rest is for the row, the call and its repeats.
const CLOSE_PERCENT: u64 = 70;

/// Time in ms that two reports to a new leader may take beyond their intervals.
const REPORT_DELAY_MS: u64 = 300;

/// Windows before its begin that a new leader still closes: as many as gateways keep.
const MAX_OLD_WINDOWS: u64 = 8;

/// Rows that are kept.
pub const MAX_USAGE_ROWS: usize = 20;

/// Pause in ms after a failed store call.
const STORE_RETRY_MS: u64 = 300;

/// Shortest time in ms between two checkpoints of the open windows.
const CHECKPOINT_MS: u64 = 500;

/// Largest size of a checkpoint's row in bytes.
const MAX_ROW_BYTES: usize = 48_000;

/// Pause in ms before the first repeat of a call; it doubles with each further one.
const CALL_RETRY_MS: u64 = 500;

/// Doublings after which the pause between repeats stays the same.
const MAX_DOUBLINGS: u32 = 3;

/// What the ledger must know of its surroundings for a step.
#[derive(Clone, Copy, Debug)]
pub struct LedgerView<'a> {
    /// Names of all members, also of those that ended shortly before.
    pub members: &'a [SmolStr],
    /// True time of day; `None` when unknown.
    pub day: Option<DayTime>,
    /// Era of the store.
    pub era: StoreEra,
    /// Time of day at which this process saw that era first.
    pub era_since: DayTime,
    /// True when a call may be sent.
    pub may_call: bool,
}

/// Next step of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerStep {
    /// Read all rows and pass them to [`UsageLedger::rows_read`].
    ReadRows,
    /// Write the row under the condition that it is absent, remove the others, and pass the result to
    /// [`UsageLedger::row_written`].
    WriteRow(UsageRow, Vec<WindowId>),
    /// Send the report of the window and pass the answer to [`UsageLedger::call_answered`].
    Send(WindowCounts),
    /// Replace the row of this version and pass the result to [`UsageLedger::row_marked`].
    MarkRow(UsageRow, u64),
    /// Write the counts of open windows and pass the result to [`UsageLedger::checkpoint_written`].
    Checkpoint(UsageCheckpoint),
}

/// Rows that earlier leaders wrote.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredUsage {
    /// Closed windows with the versions of their rows.
    pub closed: Vec<(UsageRow, u64)>,
    /// Counts of windows that were open, in the order of the rows' numbers.
    pub open: Vec<OpenUsage>,
}

/// Result of writing a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowOutcome {
    /// The row was written and has this version.
    Written(u64),
    /// There was a row already: its content and version.
    Present(UsageRow, u64),
    /// There was a row already that cannot be read.
    Unreadable,
    /// The store gave no answer, or refused.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Reporter {
    name: SmolStr,
    settled: DayTime,
}

/// Counts of a window by process.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenWindow {
    window: WindowId,
    /// Sorted by process.
    sources: Vec<(IncarnationId, Vec<(TeamId, u64)>)>,
}

impl OpenWindow {
    /// Takes the larger count of each team. Returns whether a count has changed.
    fn merge(&mut self, incarnation: &IncarnationId, counts: &[(TeamId, u64)]) -> bool {
        let mut changed = false;
        let at = match self.sources.binary_search_by(|(known, _)| known.cmp(incarnation)) {
            Ok(at) => at,
            Err(at) => {
                self.sources.insert(at, (incarnation.clone(), Vec::new()));
                at
            }
        };
        let known = &mut self.sources[at].1;
        for (team, count) in counts {
            match known.binary_search_by(|(name, _)| name.cmp(team)) {
                Ok(at) if known[at].1 >= *count => {}
                Ok(at) => {
                    known[at].1 = *count;
                    changed = true;
                }
                Err(at) => {
                    known.insert(at, (team.clone(), *count));
                    changed = true;
                }
            }
        }
        changed
    }

    fn total(&self) -> Vec<(TeamId, u64)> {
        let mut total = Vec::new();
        for (team, count) in self.sources.iter().flat_map(|(_, counts)| counts) {
            add_count(&mut total, team, *count);
        }
        total
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ClosedWindow {
    row: UsageRow,
    /// Version of the row.
    version: u64,
    /// True when the row says what is known of the call.
    marked: bool,
    /// Calls that failed.
    failures: u32,
    /// Time of the next call.
    call_at: ClockTime,
}

/// Usage windows of a leader.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageLedger {
    terms: UsageTerms,
    fence: FencingToken,
    reporters: Vec<Reporter>,
    /// Sorted by window.
    open: Vec<OpenWindow>,
    /// Sorted by window.
    closed: Vec<ClosedWindow>,
    /// Time of the first step, and the time of day.
    begun: Option<(ClockTime, DayTime)>,
    has_rows: bool,
    /// First window that is not closed; `None` until a window is known to be closed.
    next: Option<WindowId>,
    /// Time of the next store call.
    store_at: ClockTime,
    /// Revision of the open counts.
    revision: u64,
    checkpoint: LastCheckpoint,
}

/// The checkpoint that was written last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LastCheckpoint {
    revision: u64,
    /// Number of rows that may be in the store.
    rows: usize,
    /// Time of the next one.
    next_at: ClockTime,
}

impl UsageLedger {
    /// The ledger of a leader that has neither rows nor reports.
    pub const fn new(terms: UsageTerms, fence: FencingToken) -> Self {
        Self {
            terms,
            fence,
            reporters: Vec::new(),
            open: Vec::new(),
            closed: Vec::new(),
            begun: None,
            has_rows: false,
            next: None,
            store_at: ClockTime::ZERO,
            revision: 0,
            checkpoint: LastCheckpoint { revision: 0, rows: 0, next_at: ClockTime::ZERO },
        }
    }

    /// Merges a report. Counts of closed windows are left out.
    pub fn record_report(&mut self, gateway: &SmolStr, report: &UsageReport) {
        for counts in &report.windows {
            self.merge(counts.window, &report.incarnation, &counts.counts);
        }
        // Without that, the report may leave out what only an earlier leader has got.
        let is_complete = report.term == self.fence.get();
        if let Some(settled) = report.settled.filter(|_| is_complete) {
            let reporter = Reporter { name: gateway.clone(), settled };
            match self.reporters.binary_search_by(|known| known.name.cmp(gateway)) {
                Ok(at) => self.reporters[at] = reporter,
                Err(at) => self.reporters.insert(at, reporter),
            }
        }
    }

    fn merge(&mut self, window: WindowId, incarnation: &IncarnationId, counts: &[(TeamId, u64)]) {
        let is_open = self.next.is_none_or(|next| window >= next);
        if is_open && self.open_window(window).merge(incarnation, counts) {
            self.revision += 1;
        }
    }

    fn open_window(&mut self, window: WindowId) -> &mut OpenWindow {
        let at = match self.open.binary_search_by_key(&window, |known| known.window) {
            Ok(at) => at,
            Err(at) => {
                self.open.insert(at, OpenWindow { window, sources: Vec::new() });
                at
            }
        };
        &mut self.open[at]
    }

    /// Last window that is closed.
    pub fn last_closed(&self) -> Option<WindowId> {
        self.closed.last().map(|closed| closed.row.window)
    }

    /// Last window whose report was accepted.
    pub fn last_sent(&self) -> Option<WindowId> {
        self.closed.iter().rev().find(|closed| closed.row.sent).map(|closed| closed.row.window)
    }

    /// Number of closed windows whose report was not accepted yet.
    pub fn unsent(&self) -> usize {
        self.closed.iter().filter(|closed| !closed.row.sent).count()
    }

    /// Members without a report past the end of a window.
    pub fn missing_members(&self, window: WindowId, members: &[SmolStr]) -> usize {
        let end = window.end(self.terms.window_ms);
        let has_reported = |name: &&SmolStr| {
            let found = self.reporters.binary_search_by(|known| known.name.cmp(name));
            found.is_ok_and(|at| self.reporters[at].settled >= end)
        };
        members.len() - members.iter().filter(has_reported).count()
    }

    /// The step to carry out now; `None` when there is nothing to do.
    pub fn step(&mut self, view: &LedgerView<'_>, now: ClockTime) -> Option<LedgerStep> {
        let day = view.day?;
        self.begun = self.begun.or(Some((now, day)));
        let may_store = now >= self.store_at;
        if !self.has_rows {
            return may_store.then_some(LedgerStep::ReadRows);
        }
        if let Some(window) = self.due_window(view, day, now).filter(|_| may_store) {
            let counts = self.open.iter().find(|open| open.window == window).map(OpenWindow::total);
            let row = UsageRow {
                window,
                counts: counts.unwrap_or_default(),
                sent: false,
                fence: self.fence,
                era: view.era,
            };
            return Some(LedgerStep::WriteRow(row, self.old_rows()));
        }
        if let Some(closed) = self.due_call(now).filter(|_| view.may_call) {
            let UsageRow { window, counts, .. } = closed.row.clone();
            return Some(LedgerStep::Send(WindowCounts { window, counts }));
        }
        if !may_store {
            return None;
        }
        if self.revision != self.checkpoint.revision && now >= self.checkpoint.next_at {
            return Some(LedgerStep::Checkpoint(self.open_counts()));
        }
        let unmarked = self.closed.iter().find(|closed| closed.row.sent && !closed.marked);
        unmarked.map(|closed| LedgerStep::MarkRow(closed.row.clone(), closed.version))
    }

    /// The counts of all open windows, in rows of a limited size.
    fn open_counts(&self) -> UsageCheckpoint {
        let mut rows: Vec<OpenUsage> = Vec::new();
        let mut row_bytes = usize::MAX;
        for open in &self.open {
            for (incarnation, counts) in &open.sources {
                let window = open.window;
                let source = OpenSource { window, incarnation: incarnation.clone(), counts: counts.clone() };
                let bytes = source.bytes();
                if row_bytes.saturating_add(bytes) > MAX_ROW_BYTES {
                    rows.push(OpenUsage { fence: self.fence, sources: Vec::new() });
                    row_bytes = 0;
                }
                row_bytes += bytes;
                if let Some(row) = rows.last_mut() {
                    row.sources.push(source);
                }
            }
        }
        UsageCheckpoint { rows, present: self.checkpoint.rows, revision: self.revision }
    }

    /// Handles the result of [`LedgerStep::Checkpoint`]. A write without an answer may have taken effect.
    pub fn checkpoint_written(&mut self, written: &UsageCheckpoint, is_certain: bool, now: ClockTime) {
        self.checkpoint.next_at = now.plus_ms(CHECKPOINT_MS);
        self.checkpoint.rows = written.rows.len();
        if is_certain {
            self.checkpoint.revision = written.revision;
        } else {
            self.checkpoint.rows = written.rows.len().max(written.present);
        }
    }

    /// The first window that is not closed, if its time has come.
    fn due_window(&self, view: &LedgerView<'_>, day: DayTime, now: ClockTime) -> Option<WindowId> {
        let window = self.first_open()?;
        let end = window.end(self.terms.window_ms);
        // A new leader needs two reports of each gateway: only the second one is known to be complete.
        let introduced_ms = report_interval_ms(view.members.len()) * 2 + REPORT_DELAY_MS;
        let is_introduced = self.begun.is_some_and(|(begun, _)| now.since_ms(begun) >= introduced_ms);
        let is_forced = is_introduced && day >= end.plus_ms(self.terms.late_ms * CLOSE_PERCENT / 100);
        let is_due = day >= end && (is_forced || self.missing_members(window, view.members) == 0);
        is_due.then_some(window)
    }

    /// The first window that is not closed. A system without rows begins with the first window that has counts, or
    /// with that of the leader's begin.
    fn first_open(&self) -> Option<WindowId> {
        if self.next.is_some() {
            return self.next;
        }
        let begun = WindowId::at(self.begun?.1, self.terms.window_ms);
        let earliest = WindowId::new(begun.get().saturating_sub(MAX_OLD_WINDOWS));
        let counted = self.open.iter().map(|open| open.window).find(|window| *window >= earliest);
        Some(counted.map_or(begun, |counted| counted.min(begun)))
    }

    fn due_call(&self, now: ClockTime) -> Option<&ClosedWindow> {
        let due = self.closed.iter().filter(|closed| !closed.row.sent && now >= closed.call_at);
        due.min_by_key(|closed| closed.call_at)
    }

    /// Rows that are removed when another one is written.
    fn old_rows(&self) -> Vec<WindowId> {
        let extra = (self.closed.len() + 1).saturating_sub(MAX_USAGE_ROWS);
        self.closed.iter().take(extra).map(|closed| closed.row.window).collect()
    }

    /// Takes over the rows that earlier leaders wrote; `None` when the store did not answer.
    pub fn rows_read(&mut self, rows: Option<StoredUsage>, view: &LedgerView<'_>, now: ClockTime) {
        let Some(StoredUsage { closed: rows, open }) = rows else {
            self.store_at = now.plus_ms(STORE_RETRY_MS);
            return;
        };
        self.has_rows = true;
        let closed = |(row, version): (UsageRow, u64)| ClosedWindow {
            marked: row.sent,
            row,
            version,
            failures: 0,
            call_at: now,
        };
        self.closed = rows.into_iter().map(closed).collect();
        self.closed.sort_by_key(|closed| closed.row.window);
        self.next = self.first_after_rows(view);
        self.drop_closed();
        self.checkpoint.rows = open.len();
        for source in open.iter().flat_map(|row| &row.sources) {
            self.merge(source.window, &source.incarnation, &source.counts);
        }
    }

    /// First window that may be closed after the rows that were read.
    fn first_after_rows(&self, view: &LedgerView<'_>) -> Option<WindowId> {
        let window_ms = self.terms.window_ms;
        let newest = self.closed.last().map(|closed| &closed.row);
        let after = newest.map(|row| {
            let begun = self.begun.map_or(row.window, |(_, day)| WindowId::at(day, window_ms));
            row.window.next().max(WindowId::new(begun.get().saturating_sub(MAX_OLD_WINDOWS)))
        });
        // Rows of an earlier era may be missing although their reports were sent. Windows are closed in order, so
        // none is missing after a row of the present era.
        let is_certain = view.era == StoreEra::ZERO || newest.is_some_and(|row| row.era == view.era);
        if is_certain { after } else { after.max(Some(WindowId::at(view.era_since, window_ms))) }
    }

    /// Handles the result of [`LedgerStep::WriteRow`].
    pub fn row_written(&mut self, row: UsageRow, outcome: RowOutcome, now: ClockTime) {
        let window = row.window;
        let (row, version) = match outcome {
            RowOutcome::Written(version) => (row, version),
            RowOutcome::Present(present, version) => (present, version),
            RowOutcome::Unreadable => {
                self.next = Some(window.next());
                self.drop_closed();
                return;
            }
            RowOutcome::Failed => {
                self.store_at = now.plus_ms(STORE_RETRY_MS);
                return;
            }
        };
        let removed = self.old_rows().len();
        self.closed.drain(..removed);
        self.closed.push(ClosedWindow { marked: row.sent, row, version, failures: 0, call_at: now });
        self.next = Some(window.next());
        self.drop_closed();
    }

    fn drop_closed(&mut self) {
        if let Some(next) = self.next {
            self.open.retain(|open| open.window >= next);
            self.revision += 1;
        }
    }

    /// Handles the answer to [`LedgerStep::Send`]. Returns the time in ms until the call is repeated; `None` when it
    /// was accepted.
    pub fn call_answered(&mut self, window: WindowId, answer: DutyAnswer, now: ClockTime) -> Option<u64> {
        let closed = self.closed.iter_mut().find(|closed| closed.row.window == window)?;
        if answer == DutyAnswer::Accepted {
            closed.row.sent = true;
            return None;
        }
        let pause_ms = CALL_RETRY_MS << closed.failures.min(MAX_DOUBLINGS);
        closed.failures += 1;
        closed.call_at = now.plus_ms(pause_ms);
        Some(pause_ms)
    }

    /// Handles the result of [`LedgerStep::MarkRow`]: `Some(true)` when the row was written, `Some(false)` when
    /// another leader has changed or removed it, `None` when the store did not answer.
    pub fn row_marked(&mut self, window: WindowId, marked: Option<bool>, now: ClockTime) {
        if marked.is_none() {
            self.store_at = now.plus_ms(STORE_RETRY_MS);
            return;
        }
        if let Some(closed) = self.closed.iter_mut().find(|closed| closed.row.window == window) {
            closed.marked = true;
        }
    }
}
