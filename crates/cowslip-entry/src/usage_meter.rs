//! Counts at one gateway: requests that began to run, by window and team.
//!
//! Load this answers: each request of a team is one step here, so a window is found by binary search and a count takes
//! no memory once its team is known. Reports and answers may be lost, and the leader may change at any time.

use cowslip_units::{ClockTime, DayTime, IncarnationId, TeamId, WindowId};

use crate::{UsageAnswer, UsageReport, WallClock, WindowCounts};

/// Number of windows that are kept. With windows of 5 s they reach back further than a takeover takes.
const MAX_WINDOWS: usize = 8;

/// Time in ms after which a send without an outcome counts as having run. It is shorter than the time for which the
/// leader waits for open sends before it closes a window.
const OPEN_SEND_MS: u64 = 4_000;

/// A send whose outcome is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendTicket(u64);

#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenSend {
    ticket: SendTicket,
    team: TeamId,
    /// Tells the sends of one attempt from those of others.
    attempt: u64,
    day: DayTime,
    /// True once the attempt was counted because it has been open for long.
    is_counted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct MeteredWindow {
    counts: WindowCounts,
    /// Revision of the last change.
    revision: u64,
}

/// What the leader has acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Acknowledgement {
    term: u64,
    revision: u64,
}

/// Usage counts of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageMeter {
    incarnation: IncarnationId,
    window_ms: u64,
    clock: WallClock,
    /// Sorted by window.
    windows: Vec<MeteredWindow>,
    revision: u64,
    acknowledged: Acknowledgement,
    /// Sends whose outcome is open.
    open_sends: Vec<OpenSend>,
    next_ticket: u64,
    /// Last window that is closed, and last one that is sent, according to the leader.
    progress: (Option<WindowId>, Option<WindowId>),
}

impl UsageMeter {
    /// A meter without counts.
    pub const fn new(incarnation: IncarnationId, window_ms: u64, clock: WallClock) -> Self {
        Self {
            incarnation,
            window_ms,
            clock,
            windows: Vec::new(),
            revision: 0,
            acknowledged: Acknowledgement { term: 0, revision: 0 },
            open_sends: Vec::new(),
            next_ticket: 0,
            progress: (None, None),
        }
    }

    /// True time of day; the VM's own one, `own`, before the first answer of a leader.
    pub fn day(&self, own: DayTime, now: ClockTime) -> DayTime {
        self.clock.day(now).unwrap_or(own)
    }

    /// True time of day; `None` before the first answer of a leader.
    pub fn true_day(&self, now: ClockTime) -> Option<DayTime> {
        self.clock.day(now)
    }

    /// Last closed and last sent window, as the leader's answers tell.
    pub const fn progress(&self) -> (Option<WindowId>, Option<WindowId>) {
        self.progress
    }

    /// Counts a request that began to run at `day`. One in a window that is no longer kept is left out.
    pub fn record_run(&mut self, team: &TeamId, day: DayTime) {
        let window = WindowId::at(day, self.window_ms);
        let found = self.windows.binary_search_by_key(&window, |known| known.counts.window);
        let at = match found {
            Ok(at) => at,
            Err(0) if self.windows.len() >= MAX_WINDOWS => return,
            Err(at) => {
                let counts = WindowCounts { window, counts: Vec::new() };
                self.windows.insert(at, MeteredWindow { counts, revision: 0 });
                let extra = self.windows.len().saturating_sub(MAX_WINDOWS);
                self.windows.drain(..extra);
                at - extra
            }
        };
        self.revision += 1;
        let metered = &mut self.windows[at];
        metered.revision = self.revision;
        add_count(&mut metered.counts.counts, team, 1);
    }

    /// Begins a send of a team's attempt, which counts at `day` if it turns out to have run.
    pub fn begin_send(&mut self, team: &TeamId, attempt: u64, day: DayTime) -> SendTicket {
        self.next_ticket += 1;
        let ticket = SendTicket(self.next_ticket);
        let is_counted = self.open_sends.iter().any(|send| send.attempt == attempt && send.is_counted);
        self.open_sends.push(OpenSend { ticket, team: team.clone(), attempt, day, is_counted });
        ticket
    }

    /// Ends a send, which counts if it `ran`. Returns whether its attempt has been counted by it or before.
    pub fn end_send(&mut self, ticket: SendTicket, ran: bool) -> bool {
        let Some(at) = self.open_sends.iter().position(|send| send.ticket == ticket) else { return false };
        let send = self.open_sends.swap_remove(at);
        if ran && !send.is_counted {
            self.record_run(&send.team, send.day);
        }
        ran || send.is_counted
    }

    /// Counts the sends that have been open for long.
    fn count_open(&mut self, day: DayTime) {
        let is_old = |send: &OpenSend| !send.is_counted && day.since_ms(send.day) >= OPEN_SEND_MS;
        while let Some(send) = self.open_sends.iter().find(|send| is_old(send)).cloned() {
            for other in self.open_sends.iter_mut().filter(|other| other.attempt == send.attempt) {
                other.is_counted = true;
            }
            self.record_run(&send.team, send.day);
        }
    }

    /// The report to send now. `own` is the VM's own time of day.
    pub fn report(&mut self, own: DayTime, now: ClockTime) -> UsageReport {
        self.count_open(self.day(own, now));
        let open = self.open_sends.iter().filter(|send| !send.is_counted);
        let first_open = open.map(|send| send.day).min();
        let settled = self.clock.day(now).map(|day| first_open.map_or(day, |first| first.min(day)));
        let unknown = |metered: &&MeteredWindow| metered.revision > self.acknowledged.revision;
        UsageReport {
            incarnation: self.incarnation.clone(),
            clock: own,
            settled,
            term: self.acknowledged.term,
            revision: self.revision,
            windows: self.windows.iter().filter(unknown).map(|metered| metered.counts.clone()).collect(),
        }
    }

    /// Records the answer of the leader of `term` to a report of `sent_at`. A new leader gets all counts again.
    pub fn record_answer(&mut self, answer: &UsageAnswer, term: u64, sent_at: ClockTime, now: ClockTime) {
        if let Some(day) = answer.day {
            self.clock.record_answer(day, sent_at, now);
        }
        self.progress = (answer.closed, answer.sent);
        let revision = if term == self.acknowledged.term { answer.revision } else { 0 };
        self.acknowledged = Acknowledgement { term, revision };
    }
}

/// Adds to the count of a team in a list sorted by team.
pub(crate) fn add_count(counts: &mut Vec<(TeamId, u64)>, team: &TeamId, amount: u64) {
    match counts.binary_search_by(|(known, _)| known.cmp(team)) {
        Ok(at) => counts[at].1 += amount,
        Err(at) => counts.insert(at, (team.clone(), amount)),
    }
}
