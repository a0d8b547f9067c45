//! The calls of a gateway that are in flight.

use cowslip_entry::{ModelNeed, RunningLine};
use cowslip_units::{ModelId, UpstreamId};
use smol_str::SmolStr;

/// Calls in flight, by upstream, model and adapter.
#[derive(Debug, Default)]
pub(crate) struct RunningCalls {
    lines: Vec<RunningLine>,
}

impl RunningCalls {
    /// A line for each upstream, model and adapter with calls.
    pub(crate) fn lines(&self) -> &[RunningLine] {
        &self.lines
    }

    /// Counts a call that starts.
    pub(crate) fn begin(&mut self, upstream: &UpstreamId, need: Option<&ModelNeed>) {
        let model = need.map(|need| need.model.clone());
        let adapter = need.and_then(|need| need.adapter.clone());
        match self.line_mut(upstream, model.as_ref(), adapter.as_ref()) {
            Some(line) => line.count += 1,
            None => self.lines.push(RunningLine { upstream: upstream.clone(), model, adapter, count: 1 }),
        }
    }

    /// Counts a call that has ended.
    pub(crate) fn end(&mut self, upstream: &UpstreamId, need: Option<&ModelNeed>) {
        let model = need.map(|need| &need.model);
        let adapter = need.and_then(|need| need.adapter.as_ref());
        if let Some(line) = self.line_mut(upstream, model, adapter) {
            line.count = line.count.saturating_sub(1);
        }
        self.lines.retain(|line| line.count > 0);
    }

    fn line_mut(
        &mut self,
        upstream: &UpstreamId,
        model: Option<&ModelId>,
        adapter: Option<&SmolStr>,
    ) -> Option<&mut RunningLine> {
        self.lines.iter_mut().find(|line| {
            line.upstream == *upstream && line.model.as_ref() == model && line.adapter.as_ref() == adapter
        })
    }
}
