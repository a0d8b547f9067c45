//! Counts requests of teams for usage reports, each attempt once.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use cowslip_entry::{SendTicket, text_hash};
use cowslip_units::{DayTime, TeamId};

use crate::gateway::Gateway;
use crate::request_context::{AdmittedRequest, RequestContext};

impl Gateway {
    /// The VM's own time of day.
    pub(crate) fn own_day(&self) -> DayTime {
        DayTime::new(self.clock.unix_time_ms())
    }

    /// True time of day, as far as it is known.
    pub(crate) fn day(&self) -> DayTime {
        let (own, now) = (self.own_day(), self.now());
        self.lock().usage.as_ref().map_or(own, |meter| meter.day(own, now))
    }
}

/// Counts an attempt whose stream has begun.
pub(crate) fn count_stream(gateway: &Gateway, context: &RequestContext, admitted: &AdmittedRequest) {
    let Some(team) = &admitted.team else { return };
    let (own, now) = (gateway.own_day(), gateway.now());
    let mut state = gateway.lock();
    let Some(meter) = state.usage.as_mut() else { return };
    if !context.is_counted.swap(true, Ordering::Relaxed) {
        let day = meter.day(own, now);
        meter.record_run(&team.name, day);
    }
}

/// A send of a plain call. Once it was allowed, it counts as having run unless it is known not to have.
#[derive(Debug)]
pub(crate) struct SendCount {
    gateway: Arc<Gateway>,
    /// Team of the request; `None` when nothing is to be counted.
    team: Option<TeamId>,
    attempt: u64,
    is_counted: Arc<AtomicBool>,
    ticket: Mutex<Option<SendTicket>>,
    ran: bool,
}

impl SendCount {
    /// A send that has not been allowed yet.
    pub(crate) fn new(gateway: &Arc<Gateway>, context: &RequestContext, admitted: &AdmittedRequest) -> Self {
        let is_metered = gateway.settings.cloud.as_ref().is_some_and(|cloud| cloud.usage.is_some());
        let team = admitted.team.as_ref().filter(|_| is_metered).map(|team| team.name.clone());
        Self {
            gateway: Arc::clone(gateway),
            team,
            attempt: text_hash(&context.caller.attempt),
            is_counted: Arc::clone(&context.is_counted),
            ticket: Mutex::new(None),
            ran: true,
        }
    }

    /// Records that the request is handed to a connection now; a later one takes the place of one that failed.
    pub(crate) fn record_send(&self) {
        let Some(team) = &self.team else { return };
        let (own, now) = (self.gateway.own_day(), self.gateway.now());
        let mut state = self.gateway.lock();
        let Some(meter) = state.usage.as_mut() else { return };
        let mut ticket = self.ticket.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(failed) = ticket.take() {
            meter.end_send(failed, false);
        }
        let day = meter.day(own, now);
        *ticket = Some(meter.begin_send(team, self.attempt, day));
    }

    /// Ends a send that did not run.
    pub(crate) fn discard(mut self) {
        self.ran = false;
    }
}

impl Drop for SendCount {
    fn drop(&mut self) {
        let ticket = self.ticket.get_mut().unwrap_or_else(PoisonError::into_inner).take();
        let mut state = self.gateway.lock();
        if let (Some(ticket), Some(meter)) = (ticket, state.usage.as_mut()) {
            let ran = self.ran && !self.is_counted.load(Ordering::Relaxed);
            if meter.end_send(ticket, ran) {
                self.is_counted.store(true, Ordering::Relaxed);
            }
        }
    }
}
