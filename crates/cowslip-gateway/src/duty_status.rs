//! The status page: who leads, who performs the duties, and what was decided last.

use cowslip_entry::DutySubject;
use cowslip_units::ClockTime;
use serde_json::{Value, json};

use crate::gateway::Gateway;
use crate::gateway_state::GatewayState;

/// A decision about a subject of singleton calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DutyDecision {
    /// What was decided.
    pub text: String,
    /// Why, with the inputs.
    pub reason: String,
}

impl DutyDecision {
    /// A decision with its reason.
    pub(crate) const fn new(text: String, reason: String) -> Self {
        Self { text, reason }
    }
}

/// The last decision about a subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LastDecision {
    pub subject: DutySubject,
    pub decision: DutyDecision,
    pub at: ClockTime,
}

/// Records a decision for the status page.
pub(crate) fn record_decision(gateway: &Gateway, subject: DutySubject, decision: DutyDecision) {
    let last = LastDecision { subject, decision, at: gateway.now() };
    let decisions = &mut gateway.lock().decisions;
    match decisions.binary_search_by(|known| known.subject.cmp(&last.subject)) {
        Ok(at) => decisions[at] = last,
        Err(at) => decisions.insert(at, last),
    }
}

/// The page as JSON; `None` where no duty is performed.
pub(crate) fn status_page(gateway: &Gateway) -> Option<String> {
    let cloud = gateway.settings.cloud.as_ref().filter(|cloud| cloud.usage.is_some() || cloud.scales)?;
    let now = gateway.now();
    let day = gateway.day();
    let state = gateway.lock();
    let leads = state.lead.is_some();
    let leader = if leads { Some(gateway.settings.peers) } else { state.leader };
    let page = json!({
        "gateway": gateway.settings.name,
        "leads": leads,
        "leader": leader.map(|leader| leader.to_string()),
        "fence": state.lead.as_ref().map_or(state.term, |lead| lead.fence.get()),
        "leader_contact_age_ms": state.last_leader_contact.map(|at| now.since_ms(at)),
        "holder": holder(gateway, &state),
        "duties": {"usage": cloud.usage.is_some(), "scaling": cloud.scales},
        "day_ms": day.get(),
        "usage": usage(&state, now),
        "decisions": state.decisions.iter().map(|last| decision(last, now)).collect::<Vec<_>>(),
    });
    drop(state);
    Some(format!("{page:#}\n"))
}

/// The gateway that performs the duties: its name if it is this one, otherwise its address.
fn holder(gateway: &Gateway, state: &GatewayState) -> Option<String> {
    if state.lead.is_some() {
        return Some(gateway.settings.name.to_string());
    }
    state.leader.map(|leader| leader.to_string())
}

fn usage(state: &GatewayState, now: ClockTime) -> Value {
    let Some(meter) = &state.usage else { return Value::Null };
    let ledger = state.lead.as_ref().and_then(|lead| lead.usage.as_ref());
    let (closed, sent) =
        ledger.map_or_else(|| meter.progress(), |ledger| (ledger.last_closed(), ledger.last_sent()));
    json!({
        "last_closed": closed.map(|window| window.get()),
        "last_sent": sent.map(|window| window.get()),
        "unsent": ledger.map(|ledger| ledger.unsent()),
        "has_true_time": meter.true_day(now).is_some(),
    })
}

fn decision(last: &LastDecision, now: ClockTime) -> Value {
    json!({
        "subject": last.subject.to_string(),
        "decision": last.decision.text,
        "reason": last.decision.reason,
        "age_ms": now.since_ms(last.at),
    })
}
