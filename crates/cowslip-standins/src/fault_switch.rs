//! The fault that is currently injected into an engine or a plain service.

use crate::call_counter::CallCounter;
use crate::engine::{EngineFault, EngineFaultMode};

/// Decides which requests and orders the current fault applies to.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultSwitch {
    fault: EngineFault,
    counter: CallCounter,
}

impl FaultSwitch {
    /// Replaces the fault and resets the counter. `Evict` and `Die` act once, at this moment, and are not
    /// kept.
    pub(crate) fn set(&mut self, fault: EngineFault) {
        let lasting = !matches!(fault.mode, EngineFaultMode::Evict | EngineFaultMode::Die);
        self.fault = if lasting { fault } else { EngineFault::default() };
        self.counter = CallCounter::default();
    }

    /// Returns the fault to apply to the next request for `model`.
    pub(crate) fn next_fault(&mut self, model: &str) -> EngineFault {
        let affected = self.fault.model.as_ref().is_none_or(|name| name == model);
        if self.fault.mode != EngineFaultMode::None
            && affected
            && self.counter.count_and_select(self.fault.every)
        {
            self.fault.clone()
        } else {
            EngineFault::default()
        }
    }

    /// Returns the fault to apply to the next order. Only `Cut` and `LateAnswer` apply to orders.
    pub(crate) fn next_order_fault(&mut self, name: &str) -> EngineFault {
        match self.fault.mode {
            EngineFaultMode::Cut | EngineFaultMode::LateAnswer => self.next_fault(name),
            _ => EngineFault::default(),
        }
    }
}
