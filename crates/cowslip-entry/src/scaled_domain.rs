//! Number of servers of a service in one failure domain: what was ordered, and what is in effect.

use cowslip_units::{ClockTime, DomainId};

use crate::{DomainServers, RecordedNumber, ScalingAnswer, ScalingOrder, ScalingReason, ScalingRule};

/// First and longest time in ms until a call without a good answer is repeated.
const RETRY_MS: (u64, u64) = (500, 4_000);

/// Time in ms after which a call whose outcome was not recorded counts as in doubt.
const LOST_CALL_MS: u64 = 10_000;

/// Time in ms beyond two boot times from which a failure domain that has fewer servers than ordered counts as short.
const SHORT_MARGIN_MS: u64 = 3_000;

/// A number of servers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ScaledDomain {
    pub(crate) domain: DomainId,
    /// Servers that take new work.
    pub(crate) serving: u32,
    is_evacuated: bool,
    /// Largest number of servers seen before a number was ordered.
    highest: u32,
    /// Time at which that number was first seen.
    risen_at: ClockTime,
    /// Number as last ordered.
    desired: Option<u32>,
    /// True once that number was accepted.
    is_answered: bool,
    /// Time of the call under way.
    sent_at: Option<ClockTime>,
    /// True when the number was sent without a good answer.
    is_repeat: bool,
    retry_at: ClockTime,
    retry_ms: u64,
    changed_at: ClockTime,
    /// Since when it has had fewer servers than ordered.
    short_since: Option<ClockTime>,
    /// Since when it has had more.
    over_since: Option<ClockTime>,
    /// Order of the last decision.
    order: Option<ScalingOrder>,
}

impl ScaledDomain {
    pub(crate) fn new(domain: DomainId) -> Self {
        Self {
            domain,
            serving: 0,
            is_evacuated: false,
            highest: 0,
            risen_at: ClockTime::ZERO,
            desired: None,
            is_answered: true,
            sent_at: None,
            is_repeat: false,
            retry_at: ClockTime::ZERO,
            retry_ms: 0,
            changed_at: ClockTime::ZERO,
            short_since: None,
            over_since: None,
            order: None,
        }
    }

    /// Sets the number that an earlier leader ordered.
    #[must_use]
    pub(crate) fn with_number(mut self, number: &RecordedNumber) -> Self {
        self.desired = Some(number.desired);
        self.is_answered = number.answered;
        self.is_repeat = !number.answered;
        self.order = Some(ScalingOrder {
            service: number.service.clone(),
            domain: number.domain.clone(),
            desired: number.desired,
            previous: None,
            reason: ScalingReason::Restored,
            basis: crate::ScalingBasis::default(),
            is_repeat: false,
            revision: 0,
        });
        self
    }

    /// Applies the servers seen; `None` when there are none.
    pub(crate) fn observe(&mut self, servers: Option<&DomainServers>, now: ClockTime) {
        self.serving = servers.map_or(0, |servers| servers.serving);
        self.is_evacuated = servers.is_some_and(|servers| servers.evacuated);
        if self.serving > self.highest {
            self.highest = self.serving;
            self.risen_at = now;
        }
        let (is_short, is_over) =
            self.desired.map_or((false, false), |desired| (self.serving < desired, self.serving > desired));
        self.short_since = is_short.then(|| self.short_since.unwrap_or(now));
        self.over_since = is_over.then(|| self.over_since.unwrap_or(now));
    }

    /// Number as ordered, or else as seen once it no longer rises; `None` before.
    pub(crate) fn number(&self, rule: ScalingRule, now: ClockTime) -> Option<u32> {
        let is_settled = self.highest > 0 && now.since_ms(self.risen_at) >= rule.boot_ms;
        self.desired.or_else(|| is_settled.then_some(self.highest))
    }

    /// Number as last ordered.
    pub(crate) const fn desired(&self) -> Option<u32> {
        self.desired
    }

    /// True when it has lost all its servers, or operators have taken it out of use.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_evacuated || (self.serving == 0 && (self.highest > 0 || self.desired.is_some()))
    }

    /// True when it has had fewer servers than ordered for longer than they need.
    pub(crate) fn is_short(&self, rule: ScalingRule, now: ClockTime) -> bool {
        let limit_ms = rule.boot_ms.saturating_mul(2).saturating_add(SHORT_MARGIN_MS);
        self.short_since.is_some_and(|since| now.since_ms(since) >= limit_ms)
    }

    /// True when the number ordered was accepted and is in effect, and another one could be sent at once.
    pub(crate) fn is_in_effect(&self, now: ClockTime) -> bool {
        let is_accepted = self.is_answered && self.sent_at.is_none() && now >= self.retry_at;
        is_accepted && self.short_since.is_none() && self.over_since.is_none()
    }

    /// Number before a call that takes servers away and has no good answer.
    pub(crate) fn number_before_fall(&self) -> Option<u32> {
        let order = self.order.as_ref().filter(|order| order.reason == ScalingReason::Surplus)?;
        (!self.is_answered).then(|| order.previous.unwrap_or(self.highest))
    }

    /// Time in ms since the number last changed.
    pub(crate) fn unchanged_ms(&self, now: ClockTime) -> u64 {
        now.since_ms(self.changed_at)
    }

    /// Takes over a higher number that has been in effect for a whole hold time: the store lost a later order, or the
    /// API did not follow one. True when the number has changed.
    pub(crate) fn adopt(&mut self, hold_ms: u64, now: ClockTime) -> bool {
        let is_accepted = self.is_answered && self.sent_at.is_none();
        let is_due = is_accepted && self.over_since.is_some_and(|since| now.since_ms(since) >= hold_ms);
        if is_due {
            self.desired = Some(self.serving);
            self.over_since = None;
            self.changed_at = now;
        }
        is_due
    }

    /// Sets the number of a decision.
    pub(crate) fn set(&mut self, order: ScalingOrder, now: ClockTime) {
        self.desired = Some(order.desired);
        self.is_answered = false;
        self.is_repeat = false;
        self.changed_at = now;
        self.short_since = None;
        self.over_since = None;
        self.order = Some(order);
    }

    /// The order that must be sent now. It counts as under way from then on.
    pub(crate) fn take_order(&mut self, now: ClockTime) -> Option<ScalingOrder> {
        if self.sent_at.is_some_and(|sent| now.since_ms(sent) >= LOST_CALL_MS) {
            self.sent_at = None;
            self.is_repeat = true;
        }
        let is_due = !self.is_answered && self.sent_at.is_none() && now >= self.retry_at;
        let order = self.order.as_ref().filter(|_| is_due)?;
        self.sent_at = Some(now);
        Some(ScalingOrder { is_repeat: self.is_repeat, ..order.clone() })
    }

    /// Order of the last decision.
    pub(crate) const fn last_order(&self) -> Option<&ScalingOrder> {
        self.order.as_ref()
    }

    /// Applies the answer to a call. True when the number needs no further call from now on.
    pub(crate) fn record_answer(&mut self, desired: u32, answer: ScalingAnswer, now: ClockTime) -> bool {
        self.sent_at = None;
        if answer == ScalingAnswer::Done {
            self.retry_ms = 0;
            self.retry_at = now;
        } else {
            self.retry_ms = (self.retry_ms * 2).clamp(RETRY_MS.0, RETRY_MS.1);
            self.retry_at = now.plus_ms(self.retry_ms);
        }
        if self.desired != Some(desired) {
            return false;
        }
        self.is_answered = answer == ScalingAnswer::Done;
        self.is_repeat |= answer == ScalingAnswer::InDoubt;
        if answer == ScalingAnswer::Refused && !self.is_repeat {
            self.withdraw_fall();
        }
        self.is_answered
    }

    /// Returns to the number before, when servers were to be taken away: at the time of another call they may be needed.
    fn withdraw_fall(&mut self) {
        let Some(order) = self.order.as_ref().filter(|order| order.reason == ScalingReason::Surplus) else {
            return;
        };
        self.desired = Some(order.previous.unwrap_or(self.highest));
        self.is_answered = true;
    }

    /// The number for the store.
    pub(crate) fn recorded(&self, service: &cowslip_units::ServiceId) -> Option<RecordedNumber> {
        Some(RecordedNumber {
            service: service.clone(),
            domain: self.domain.clone(),
            desired: self.desired?,
            answered: self.is_answered,
        })
    }
}
