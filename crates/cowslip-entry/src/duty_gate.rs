//! When a leader may send singleton calls.
//!
//! Load this answers: leaders that are killed, frozen, cut off or stopped one after another. The API checks no tokens,
//! so the gap between the calls of two VMs is kept here, as it is for orders to engines. Calls of both duties together
//! are paced, since an API in trouble gets repeats.

use cowslip_units::ClockTime;
use serde::{Deserialize, Serialize};

use crate::DutySubject;

/// Shortest time in ms between two calls.
const CALL_INTERVAL_MS: u64 = 500;

/// Age of the last call of a subject.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyAge {
    /// The subject.
    pub subject: DutySubject,
    /// Time in ms since a call was last under way.
    pub age_ms: u64,
}

/// What a leader hands over of its singleton calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyHandover {
    /// Its last calls, and those of leaders before it that still count.
    pub calls: Vec<DutyAge>,
    /// Time in ms for which all other subjects are closed too.
    pub closed_ms: u64,
}

impl DutyHandover {
    /// The same handover `millis` later.
    #[must_use]
    pub fn aged(&self, millis: u64) -> Self {
        let mut aged = self.clone();
        aged.calls.iter_mut().for_each(|call| call.age_ms += millis);
        aged.closed_ms = aged.closed_ms.saturating_sub(millis);
        aged
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct LastCall {
    subject: DutySubject,
    /// Begin of the call, or its end when it has ended.
    at: ClockTime,
    is_open: bool,
}

/// Permission of a leader to send singleton calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyGate {
    /// Time from which a subject may be called that has none of its own.
    from: ClockTime,
    /// Times from which single subjects may be called, sorted.
    subjects_from: Vec<(DutySubject, ClockTime)>,
    calls: Vec<LastCall>,
    interval_ms: u64,
    next_at: ClockTime,
}

impl DutyGate {
    /// A gate that opens at `from`. `calls_per_s` is the API's own limit.
    pub fn new(from: ClockTime, calls_per_s: Option<f64>) -> Self {
        let own_ms = calls_per_s.map_or(0, |per_s| (1_000.0 / per_s).ceil() as u64);
        Self { from, interval_ms: own_ms.max(CALL_INTERVAL_MS), ..Self::default() }
    }

    /// Applies what the predecessor handed over at `at`: subjects that it did not call lately may be called at once.
    pub fn apply_handover(&mut self, handover: &DutyHandover, gap_ms: u64, at: ClockTime) {
        let from = |call: &DutyAge| (call.subject.clone(), at.plus_ms(gap_ms.saturating_sub(call.age_ms)));
        self.subjects_from = handover.calls.iter().map(from).collect();
        self.subjects_from.sort();
        self.from = at.plus_ms(handover.closed_ms);
    }

    /// Time from which a subject may be called.
    pub fn opens_at(&self, subject: &DutySubject) -> ClockTime {
        let found = self.subjects_from.binary_search_by(|(known, _)| known.cmp(subject));
        found.map_or(self.from, |at| self.subjects_from[at].1)
    }

    /// True when a call of the subject may begin now.
    pub fn may_begin(&self, subject: &DutySubject, now: ClockTime) -> bool {
        let is_open = self.calls.iter().any(|call| call.subject == *subject && call.is_open);
        !is_open && now >= self.opens_at(subject) && now >= self.next_at
    }

    /// Records a call that begins, if it may.
    pub fn begin(&mut self, subject: &DutySubject, now: ClockTime) -> bool {
        if !self.may_begin(subject, now) {
            return false;
        }
        self.next_at = now.plus_ms(self.interval_ms);
        self.set_call(subject, now, true);
        true
    }

    /// Records that the call of a subject has ended: its answer came, or its connection was reset.
    pub fn end(&mut self, subject: &DutySubject, now: ClockTime) {
        self.set_call(subject, now, false);
    }

    fn set_call(&mut self, subject: &DutySubject, at: ClockTime, is_open: bool) {
        match self.calls.iter_mut().find(|call| call.subject == *subject) {
            Some(call) => (call.at, call.is_open) = (at, is_open),
            None => self.calls.push(LastCall { subject: subject.clone(), at, is_open }),
        }
    }

    /// Calls of the last `gap_ms`, for the successor, and the gaps that this leader itself still keeps.
    pub fn handover(&self, gap_ms: u64, now: ClockTime) -> DutyHandover {
        let age_ms = |call: &LastCall| if call.is_open { 0 } else { now.since_ms(call.at) };
        let age = |call: &LastCall| DutyAge { subject: call.subject.clone(), age_ms: age_ms(call) };
        let mut calls: Vec<DutyAge> =
            self.calls.iter().map(age).filter(|call| call.age_ms < gap_ms).collect();
        for (subject, from) in &self.subjects_from {
            let is_called = calls.iter().any(|call| call.subject == *subject);
            if *from > now && !is_called {
                let age_ms = gap_ms.saturating_sub(from.since_ms(now));
                calls.push(DutyAge { subject: subject.clone(), age_ms });
            }
        }
        DutyHandover { calls, closed_ms: self.from.since_ms(now) }
    }
}
