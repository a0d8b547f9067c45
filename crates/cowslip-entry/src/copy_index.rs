//! Which engines have a copy of a model's weights in their host memory or on their disk.
//!
//! Load this answers: requests wait for hundreds of models at hundreds of engines, and a plan that looked at each engine for
//! each model took longer the more of them waited.

use cowslip_units::{ModelId, UpstreamId};

/// Engines with a copy, by model.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct CopyIndex {
    /// Sorted by model; the engines of a model are sorted too.
    models: Vec<(ModelId, Vec<UpstreamId>)>,
}

impl CopyIndex {
    /// Engines that have a copy of a model, sorted.
    pub(crate) fn engines(&self, model: &ModelId) -> &[UpstreamId] {
        let found = self.models.binary_search_by(|(known, _)| known.cmp(model)).ok();
        found.and_then(|at| self.models.get(at)).map_or(&[], |(_, engines)| engines.as_slice())
    }

    /// Replaces the models that an engine has copies of. Both lists are sorted.
    pub(crate) fn replace(&mut self, engine: &UpstreamId, before: &[ModelId], after: &[ModelId]) {
        for model in before.iter().filter(|model| after.binary_search(model).is_err()) {
            self.remove(engine, model);
        }
        for model in after.iter().filter(|model| before.binary_search(model).is_err()) {
            self.insert(engine, model);
        }
    }

    fn insert(&mut self, engine: &UpstreamId, model: &ModelId) {
        match self.models.binary_search_by(|(known, _)| known.cmp(model)) {
            Ok(at) => {
                let engines = &mut self.models[at].1;
                if let Err(place) = engines.binary_search(engine) {
                    engines.insert(place, engine.clone());
                }
            }
            Err(at) => self.models.insert(at, (model.clone(), vec![engine.clone()])),
        }
    }

    fn remove(&mut self, engine: &UpstreamId, model: &ModelId) {
        let Ok(at) = self.models.binary_search_by(|(known, _)| known.cmp(model)) else { return };
        let engines = &mut self.models[at].1;
        engines.retain(|known| known != engine);
        if engines.is_empty() {
            self.models.remove(at);
        }
    }
}
