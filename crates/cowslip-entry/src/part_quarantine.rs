//! Decides whether a request may be sent, by the prompt parts that it shares with requests under which upstreams
//! ended.
//!
//! A part with enough crashes is quarantined. Before that, and when its quarantine time is over, requests with it are
//! sent one at a time and apart from each other: an answer that an upstream survives clears the part, another crash
//! confirms the suspicion.

use cowslip_units::{ClockTime, PartId, UpstreamId};

use crate::crash_log::CrashLog;
use crate::part_assessment::PartAssessment;
use crate::trial_table::TrialTable;
use crate::{FleetMembers, QuarantinedPart};

/// Time in ms after which a request that waits for another one's trial looks again, unless it is woken.
const TRIAL_POLL_MS: u64 = 100;

/// What a request may do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartGate {
    /// It may be sent.
    Open,
    /// It may be sent as the only one with these suspected parts.
    Trial(Vec<PartId>),
    /// It must wait this many ms, or until the crash log changes.
    Wait(u64),
    /// It must not be sent.
    Closed(QuarantinedPart),
}

/// Crashes, and trials of suspected parts, at one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartQuarantine {
    /// Known crashes.
    pub log: CrashLog,
    /// Trials under way.
    pub trials: TrialTable,
}

impl PartQuarantine {
    /// A quarantine without any crash.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a request with these sorted shared parts. `is_retry` is true when it waited at an upstream that
    /// crashed.
    pub fn gate(
        &self,
        parts: &[PartId],
        is_retry: bool,
        fleet: FleetMembers<'_>,
        now: ClockTime,
    ) -> PartGate {
        if parts.is_empty() || self.log.is_empty() {
            return PartGate::Open;
        }
        match self.log.assess(parts, fleet, now) {
            PartAssessment::Clear => PartGate::Open,
            PartAssessment::Quarantined(part) => PartGate::Closed(part),
            PartAssessment::Suspected(suspected) => {
                let from = if is_retry { suspected.retry_from } else { suspected.others_from };
                if now < from {
                    PartGate::Wait(from.since_ms(now))
                } else if self.trials.is_tried(&suspected.parts, now) {
                    PartGate::Wait(TRIAL_POLL_MS)
                } else {
                    PartGate::Trial(suspected.parts)
                }
            }
        }
    }

    /// The part that forbids to send a request with these shared parts; `None` when there is none.
    pub fn quarantined_part(
        &self,
        parts: &[PartId],
        fleet: FleetMembers<'_>,
        now: ClockTime,
    ) -> Option<QuarantinedPart> {
        if parts.is_empty() || self.log.is_empty() {
            return None;
        }
        match self.log.assess(parts, fleet, now) {
            PartAssessment::Quarantined(part) => Some(part),
            PartAssessment::Clear | PartAssessment::Suspected(_) => None,
        }
    }

    /// Begins a trial of suspected parts; returns its number.
    pub fn begin_trial(&mut self, parts: Vec<PartId>, upstream: &UpstreamId) -> u64 {
        self.trials.begin(parts, upstream.clone())
    }
}
