//! The decision log: recent placement decisions with their reasons, shown to operators.

use std::collections::VecDeque;

use cowslip_units::{ClockTime, ModelId};

use crate::DecisionLine;

/// Lines kept for each model.
const MAX_LINES: usize = 24;
/// Lines kept until the process has logged them; further ones are dropped so that a fault cannot exhaust the
/// memory.
const MAX_UNLOGGED: usize = 1_024;

/// The latest decisions of each model, sorted by model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecisionLog {
    models: Vec<(ModelId, VecDeque<DecisionLine>)>,
    unlogged: Vec<DecisionLine>,
}

impl DecisionLog {
    /// Appends a line, unless it repeats the model's last one.
    pub fn append(&mut self, model: &ModelId, text: String, now: ClockTime) {
        let at = match self.models.binary_search_by(|(known, _)| known.cmp(model)) {
            Ok(at) => at,
            Err(at) => {
                self.models.insert(at, (model.clone(), VecDeque::new()));
                at
            }
        };
        let lines = &mut self.models[at].1;
        if lines.back().is_some_and(|last| last.text == text) {
            return;
        }
        let line = DecisionLine { model: model.clone(), at: now, text };
        if self.unlogged.len() < MAX_UNLOGGED {
            self.unlogged.push(line.clone());
        }
        lines.push_back(line);
        if lines.len() > MAX_LINES {
            lines.pop_front();
        }
    }

    /// The lines of a model, oldest first.
    pub fn lines(&self, model: &ModelId) -> impl Iterator<Item = &DecisionLine> {
        let found = self.models.binary_search_by(|(known, _)| known.cmp(model)).ok();
        let lines = found.and_then(|at| self.models.get(at)).map(|(_, lines)| lines);
        lines.into_iter().flatten()
    }

    /// Takes the lines appended since the last call.
    pub fn take_unlogged(&mut self) -> Vec<DecisionLine> {
        std::mem::take(&mut self.unlogged)
    }
}
