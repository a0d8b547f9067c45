//! The faults currently injected into the platform.

use std::collections::BTreeMap;

use crate::call_counter::CallCounter;
use crate::platform::fault_action::FaultAction;
use crate::platform::{PlatformFault, PlatformFaultMode, PlatformService};

/// Current faults, at most one per platform service.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultSet {
    faults: BTreeMap<PlatformService, (PlatformFault, CallCounter)>,
}

impl FaultSet {
    /// Sets the fault of its service and resets the call counter.
    pub(crate) fn set(&mut self, fault: PlatformFault) {
        self.faults.insert(fault.service, (fault, CallCounter::default()));
    }

    /// Counts a call to `service` and returns how to handle it.
    pub(crate) fn next_action(&mut self, service: PlatformService, is_write: bool) -> FaultAction {
        let Some((fault, counter)) = self.faults.get_mut(&service) else {
            return FaultAction::None;
        };
        let (affected, action) = match fault.mode {
            PlatformFaultMode::None => (false, FaultAction::None),
            PlatformFaultMode::Down => (true, FaultAction::Down),
            PlatformFaultMode::Slow => (true, FaultAction::Slow(fault.ms)),
            PlatformFaultMode::LoseAnswers => (is_write, FaultAction::LoseAnswer),
            PlatformFaultMode::Stale => (!is_write, FaultAction::Stale(fault.ms)),
            PlatformFaultMode::Duplicate => (is_write, FaultAction::Duplicate(fault.ms)),
            PlatformFaultMode::DropConnection => (true, FaultAction::DropConnection),
        };
        if affected && counter.count_and_select(fault.every) { action } else { FaultAction::None }
    }
}
