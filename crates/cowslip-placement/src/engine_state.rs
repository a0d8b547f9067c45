//! State of one engine, as known to the planner.

use cowslip_units::{ClockTime, DomainId, MemorySize, ModelId, UpstreamId};

use crate::{ListAbsence, UpstreamReport, WeightTier};

/// An upstream receives no new load after this time in ms without a report. Reports are read every 250 ms, so
/// four in a row were lost by then.
pub(crate) const REPORT_STALE_AFTER_MS: u64 = 1_000;

/// State of the model engine on one upstream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineState {
    pub(crate) upstream: UpstreamId,
    pub(crate) domain: DomainId,
    /// Memory declared in the sheet.
    pub(crate) declared: MemorySize,
    /// Whether the engine rejects orders with an old fencing token.
    pub(crate) checks_fencing: bool,
    /// Concurrent requests after the slow start.
    pub(crate) slots: u32,
    /// Duration of the slow start in ms.
    pub(crate) ramp_ms: u64,
    /// False if the sheet in force does not declare the upstream.
    pub(crate) is_declared: bool,
    /// Taken out of service by an operator, on its own or with its failure domain.
    pub(crate) out: bool,
    /// On the platform's VM list, and not leaving.
    pub(crate) live: bool,
    /// Absence from the VM list; `None` while it is listed.
    pub(crate) absence: Option<ListAbsence>,
    /// When the last answered report, current or not, was requested.
    pub(crate) last_contact_at: ClockTime,
    /// When the last current report arrived.
    pub(crate) reported_at: Option<ClockTime>,
    /// The last current report.
    pub(crate) report: UpstreamReport,
    /// When the slow start began; `None` if there was none.
    pub(crate) ramp_started_at: Option<ClockTime>,
}

impl EngineState {
    /// An engine without declaration and report.
    pub(crate) fn new(upstream: UpstreamId) -> Self {
        Self {
            upstream,
            domain: DomainId::default(),
            declared: MemorySize::ZERO,
            checks_fencing: false,
            slots: 0,
            ramp_ms: 0,
            is_declared: false,
            out: false,
            live: false,
            absence: None,
            last_contact_at: ClockTime::ZERO,
            reported_at: None,
            report: UpstreamReport::default(),
            ramp_started_at: None,
        }
    }

    /// Memory that may be reserved: as declared, or less if the engine reports less.
    pub(crate) fn memory(&self) -> MemorySize {
        match self.reported_at {
            Some(_) if self.report.memory != MemorySize::ZERO => self.declared.min(self.report.memory),
            _ => self.declared,
        }
    }

    /// Whether the upstream may receive new work.
    pub(crate) const fn is_in_service(&self) -> bool {
        self.is_declared && self.live && !self.out
    }

    /// Whether the upstream may receive a new load now: it must be in service and its last report recent.
    pub(crate) fn can_load(&self, now: ClockTime) -> bool {
        let current = self.reported_at.is_some_and(|at| now.since_ms(at) <= REPORT_STALE_AFTER_MS);
        self.is_in_service() && current
    }

    /// Storage tier of the model's checkpoint.
    pub(crate) fn tier(&self, model: &ModelId) -> WeightTier {
        let checkpoints = &self.report.checkpoints;
        match checkpoints.binary_search_by(|(name, _)| name.cmp(model)) {
            Ok(at) => checkpoints.get(at).map_or(WeightTier::Remote, |(_, tier)| *tier),
            Err(_) => WeightTier::Remote,
        }
    }

    /// Time in ms since the slow start began; `None` after its end.
    pub(crate) fn ramp_age_ms(&self, now: ClockTime) -> Option<u64> {
        let age = now.since_ms(self.ramp_started_at?);
        (age < self.ramp_ms).then_some(age)
    }
}
