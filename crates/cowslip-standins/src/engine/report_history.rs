//! Load reports, published with a lag.

use std::collections::VecDeque;

use cowslip_platform::EngineReport;

/// Reports, each with the time from which it was valid.
#[derive(Clone, Debug)]
pub(crate) struct ReportHistory {
    reports: VecDeque<(u64, EngineReport)>,
    lag_ms: u64,
}

impl ReportHistory {
    /// Creates an empty history that is published `lag_ms` late.
    pub(crate) fn new(lag_ms: u64) -> Self {
        Self { reports: VecDeque::new(), lag_ms }
    }

    /// Records the report that is valid from `now_ms`.
    pub(crate) fn push(&mut self, now_ms: u64, report: EngineReport) {
        if self.reports.back().is_some_and(|(at, _)| *at == now_ms) {
            self.reports.pop_back();
        }
        self.reports.push_back((now_ms, report));
        let published_ms = now_ms.saturating_sub(self.lag_ms);
        while self.reports.get(1).is_some_and(|(at, _)| *at <= published_ms) {
            self.reports.pop_front();
        }
    }

    /// Discards all reports after a restart.
    pub(crate) fn clear(&mut self) {
        self.reports.clear();
    }

    /// Returns the report published at `now_ms`, with its age. Until the lag has passed, this is the first
    /// report.
    pub(crate) fn published(&self, now_ms: u64) -> Option<EngineReport> {
        let published_ms = now_ms.saturating_sub(self.lag_ms);
        let latest = self.reports.iter().rev().find(|(at, _)| *at <= published_ms);
        let (at_ms, report) = latest.or(self.reports.front())?;
        let age_ms = now_ms.saturating_sub(published_ms.max(*at_ms));
        Some(EngineReport { age_ms, ..report.clone() })
    }
}
