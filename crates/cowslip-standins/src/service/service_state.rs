//! State of the plain service: counters, request records and the current fault.

use crate::engine::{EngineFault, EngineFaultMode};
use crate::fault_switch::FaultSwitch;
use crate::record_log::RecordLog;
use crate::service::ServiceJournal;
use crate::{RequestOutcome, RequestRecord};

/// Mutable state of a plain service.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    faults: FaultSwitch,
    records: RecordLog,
    sequence: u64,
    running: u64,
    peak_running: u64,
    effects: u64,
    down_until_ms: u64,
    /// Number of restarts; requests that arrived before the latest restart fail.
    starts: u64,
    /// Request id of the latest call; `cross` faults answer with it.
    previous: String,
}

/// An admitted call.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCall {
    pub(crate) record: u64,
    pub(crate) start: u64,
    pub(crate) fault: EngineFault,
    /// Request id of the call before this one.
    pub(crate) previous: String,
}

impl ServiceState {
    /// True while a `die` fault keeps the service down and connections are closed without a response.
    pub(crate) fn is_down(&self, now_ms: u64) -> bool {
        now_ms < self.down_until_ms
    }

    /// Sets a fault; `Die` takes effect at once.
    pub(crate) fn set_fault(&mut self, now_ms: u64, fault: EngineFault) {
        if fault.mode == EngineFaultMode::Die {
            self.down_until_ms = now_ms + fault.ms;
            self.starts += 1;
        }
        self.faults.set(fault);
    }

    /// Admits a call and records it; `None` when a fault rejects it.
    pub(crate) fn begin(&mut self, record: RequestRecord) -> Option<ServiceCall> {
        let fault = self.faults.next_fault("");
        if fault.mode == EngineFaultMode::Refuse {
            self.records.push(RequestRecord { outcome: RequestOutcome::Refused, ..record });
            return None;
        }
        self.running += 1;
        self.peak_running = self.peak_running.max(self.running);
        let previous = std::mem::replace(&mut self.previous, record.request_id.clone());
        let record = self.records.push(record);
        Some(ServiceCall { record, start: self.starts, fault, previous })
    }

    /// Completes a call and returns its sequence number; `None` when the service restarted since it was
    /// admitted.
    pub(crate) fn take_effect(&mut self, call: &ServiceCall, is_effect: bool) -> Option<u64> {
        self.running = self.running.saturating_sub(1);
        if call.start != self.starts {
            self.records.finish(call.record, RequestOutcome::Failed, 0);
            return None;
        }
        self.sequence += 1;
        if is_effect {
            self.effects += 1;
            self.records.mark_effect(call.record);
        }
        self.records.finish(call.record, RequestOutcome::Ran, 0);
        Some(self.sequence)
    }

    /// True if the service restarted since the call was admitted.
    pub(crate) fn has_died_since(&self, call: &ServiceCall) -> bool {
        call.start != self.starts
    }

    pub(crate) fn journal(&self) -> ServiceJournal {
        ServiceJournal {
            requests: self.records.all(),
            peak_running: self.peak_running,
            effects: self.effects,
        }
    }
}
