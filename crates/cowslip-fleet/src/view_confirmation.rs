//! Confirmed freshness of the view.

use cowslip_messages::ConfirmReply;
use cowslip_units::{ClockTime, IncarnationId, ViewVersion};

use crate::{FleetView, STREAM_END_MS, VIEW_WINDOW_MS, sorted_vec};

/// Limit on confirmations kept until the view has caught up; a newer one with a lower version replaces older
/// ones.
const MAX_WAITING: usize = 8;

/// Send time of a confirmation call and the view's version at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmTicket {
    /// When the call was sent.
    pub sent_at: ClockTime,
    /// Version of the view when the call was sent.
    pub version: ViewVersion,
}

/// Next step after the answer to a confirmation call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// The view includes every change that the answer includes.
    Current,
    /// The view must first be updated to this version; then the answer counts.
    Fetch(ViewVersion),
    /// The answer does not count: the store returned a version older than the view.
    Ignored,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct WaitingConfirm {
    at: ClockTime,
    version: ViewVersion,
}

#[derive(Clone, Debug, PartialEq)]
struct MemberAnswer {
    incarnation: IncarnationId,
    sent_at: ClockTime,
    version: ViewVersion,
}

/// A time on the process's own clock such that the view includes every change accepted before it.
///
/// It comes from the store (by an own read, or through a peer that has it from the store), or in degraded
/// mode from a majority of the members.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewConfirmation {
    own: IncarnationId,
    store_at: Option<ClockTime>,
    degraded_at: Option<ClockTime>,
    waiting: Vec<WaitingConfirm>,
    answers: Vec<MemberAnswer>,
}

impl ViewConfirmation {
    /// A confirmation that does not admit requests yet.
    pub fn new(own: IncarnationId) -> Self {
        Self { own, store_at: None, degraded_at: None, waiting: Vec::new(), answers: Vec::new() }
    }

    /// Records time and version before a read of `head` or a `view_confirm` call is sent.
    pub fn ticket(&self, view: &FleetView, now: ClockTime) -> ConfirmTicket {
        ConfirmTicket { sent_at: now, version: view.version() }
    }

    /// Handles a read of `head` that returned version `head`.
    pub fn store_answered(
        &mut self,
        ticket: ConfirmTicket,
        head: ViewVersion,
        view: &FleetView,
    ) -> ConfirmOutcome {
        // A change is pushed only after its commit, so a read that returns an older version than the view had
        // when the read was sent is stale.
        if head < ticket.version {
            return ConfirmOutcome::Ignored;
        }
        self.confirm(WaitingConfirm { at: ticket.sent_at, version: head }, view)
    }

    /// Handles a peer's answer to a `view_confirm` call.
    pub fn peer_answered(
        &mut self,
        ticket: ConfirmTicket,
        reply: &ConfirmReply,
        view: &FleetView,
        now: ClockTime,
    ) -> ConfirmOutcome {
        self.record_answer(ticket, reply);
        if let Some(age_ms) = reply.age_ms {
            let at = ticket.sent_at.minus_ms(age_ms);
            self.confirm(WaitingConfirm { at, version: reply.version }, view);
        }
        self.view_changed(view, now);
        if reply.version > view.version() {
            return ConfirmOutcome::Fetch(reply.version);
        }
        ConfirmOutcome::Current
    }

    /// Applies the answers that have become valid because the view has advanced or time has passed.
    pub fn view_changed(&mut self, view: &FleetView, now: ClockTime) {
        let reached = |waiting: &&WaitingConfirm| waiting.version <= view.version();
        self.store_at =
            self.store_at.max(self.waiting.iter().filter(reached).map(|waiting| waiting.at).max());
        self.waiting.retain(|waiting| waiting.version > view.version());
        self.answers.retain(|answer| now.since_ms(answer.sent_at) <= VIEW_WINDOW_MS);
        self.degraded_at = self.degraded_at.max(self.majority_at(view, now));
    }

    fn record_answer(&mut self, ticket: ConfirmTicket, reply: &ConfirmReply) {
        let known = sorted_vec::find(&self.answers, &reply.incarnation, |answer| &answer.incarnation);
        if known.is_some_and(|known| known.sent_at > ticket.sent_at) {
            return;
        }
        let answer = MemberAnswer {
            incarnation: reply.incarnation.clone(),
            sent_at: ticket.sent_at,
            version: reply.version,
        };
        sorted_vec::put(&mut self.answers, answer, |answer| &answer.incarnation);
    }

    fn confirm(&mut self, confirm: WaitingConfirm, view: &FleetView) -> ConfirmOutcome {
        if confirm.version <= view.version() {
            self.store_at = self.store_at.max(Some(confirm.at));
            return ConfirmOutcome::Current;
        }
        let dominates = |other: &WaitingConfirm| confirm.at >= other.at && confirm.version <= other.version;
        self.waiting.retain(|other| !dominates(other));
        self.waiting.push(confirm);
        if self.waiting.len() > MAX_WAITING {
            self.waiting.remove(0);
        }
        ConfirmOutcome::Fetch(confirm.version)
    }

    /// Send time of the oldest call in the newest majority of answers, in which this process counts as well.
    fn majority_at(&self, view: &FleetView, now: ClockTime) -> Option<ClockTime> {
        let members = view.members();
        let own = usize::from(view.member(&self.own).is_some());
        let needed = (members.len() / 2 + 1).saturating_sub(own);
        let mut sent: Vec<ClockTime> = Vec::new();
        for answer in &self.answers {
            if answer.version > view.version() {
                return None;
            }
            if answer.incarnation != self.own && view.member(&answer.incarnation).is_some() {
                sent.push(answer.sent_at);
            }
        }
        if needed == 0 {
            return Some(now);
        }
        sent.sort_by(|one, other| other.cmp(one));
        sent.get(needed - 1).copied()
    }

    fn confirmed_at(&self) -> Option<ClockTime> {
        self.store_at.max(self.degraded_at)
    }

    /// Staleness of the view in ms; `None` before the first confirmation.
    pub fn age_ms(&self, now: ClockTime) -> Option<u64> {
        self.confirmed_at().map(|at| now.since_ms(at))
    }

    /// True while requests may be admitted and shares may be used or lent.
    pub fn can_admit(&self, now: ClockTime) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms <= VIEW_WINDOW_MS)
    }

    /// True when running streams of keyed requests must be cancelled.
    pub fn is_past_stream_end(&self, now: ClockTime) -> bool {
        self.age_ms(now).is_none_or(|age_ms| age_ms > STREAM_END_MS)
    }

    /// True when requests are admitted by confirmation of a majority of members, without the store.
    pub fn is_degraded(&self, now: ClockTime) -> bool {
        self.can_admit(now) && self.store_age_ms(now).is_none()
    }

    /// Age in ms of the confirmation by the store, directly or through peers, within the view window.
    fn store_age_ms(&self, now: ClockTime) -> Option<u64> {
        self.store_at.map(|at| now.since_ms(at)).filter(|age_ms| *age_ms <= VIEW_WINDOW_MS)
    }

    /// The answer to a peer's `view_confirm` call. A degraded confirmation is not passed on: the peer would
    /// treat it as a confirmation by the store.
    pub fn reply(&self, view: &FleetView, now: ClockTime) -> ConfirmReply {
        ConfirmReply {
            incarnation: self.own.clone(),
            version: view.version(),
            // One more than the age, because both times are truncated to milliseconds.
            age_ms: self.store_age_ms(now).map(|age_ms| age_ms + 1),
        }
    }
}
