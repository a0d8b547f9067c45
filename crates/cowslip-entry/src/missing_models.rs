//! Models that are requested although no engine that gets orders has a copy of them, in the order of their first requests.
//!
//! Load this answers: servers leave with the only copies of dozens of models, and the weight store brings one a second. A
//! model keeps its place while its requests are rejected for the time that its load will take, so each gets its turn.

use cowslip_units::{ClockTime, ModelId, ServiceId};

/// Time in ms after the last request from which a model is no longer waited for.
const RETENTION_MS: u64 = 60_000;

/// A model without a copy.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MissingModel {
    pub(crate) service: ServiceId,
    pub(crate) model: ModelId,
    /// Time of the first request.
    pub(crate) since: ClockTime,
    /// Time of the last request.
    asked_at: ClockTime,
}

/// Models without a copy, the one that has waited longest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct MissingModels {
    models: Vec<MissingModel>,
}

impl MissingModels {
    /// Records a request at `asked_at`, the first of which has waited since `since`.
    pub(crate) fn record_request(
        &mut self,
        service: &ServiceId,
        model: &ModelId,
        since: ClockTime,
        asked_at: ClockTime,
    ) {
        match self.models.iter_mut().find(|missing| missing.model == *model && missing.service == *service) {
            Some(missing) => missing.asked_at = missing.asked_at.max(asked_at),
            None => {
                let at = self.models.partition_point(|missing| missing.since <= since);
                let missing =
                    MissingModel { service: service.clone(), model: model.clone(), since, asked_at };
                self.models.insert(at, missing);
            }
        }
    }

    /// Removes models of a service that are not requested any more, or for which `is_missing` is false.
    pub(crate) fn retain(
        &mut self,
        service: &ServiceId,
        is_missing: impl Fn(&ModelId) -> bool,
        now: ClockTime,
    ) {
        self.models.retain(|missing| {
            let is_requested = now.since_ms(missing.asked_at) < RETENTION_MS;
            missing.service != *service || (is_requested && is_missing(&missing.model))
        });
    }

    /// The models of a service, the one that has waited longest first.
    pub(crate) fn of_service(&self, service: &ServiceId) -> Vec<MissingModel> {
        self.models.iter().filter(|missing| missing.service == *service).cloned().collect()
    }

    /// Number of models.
    pub(crate) fn len(&self) -> usize {
        self.models.len()
    }
}
