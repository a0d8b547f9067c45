//! What the planner knows about one upstream.

use cowslip_units::{ClockTime, DomainId, MemorySize, ModelId, UpstreamId};

use crate::{ListAbsence, UpstreamReport, WeightTier};

/// An upstream without a report for longer gets no new load, in ms. Reports are read each 250 ms, so this is
/// four lost in a row.
pub(crate) const REPORT_STALE_AFTER_MS: u64 = 1_000;

/// One model engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineState {
    /// The upstream.
    pub(crate) upstream: UpstreamId,
    /// Its failure domain.
    pub(crate) domain: DomainId,
    /// Memory as declared.
    pub(crate) declared: MemorySize,
    /// Whether its engine refuses old fencing numbers.
    pub(crate) checks_fencing: bool,
    /// Requests it bears when warmed up.
    pub(crate) slots: u32,
    /// Time in ms from fresh to warmed up.
    pub(crate) ramp_ms: u64,
    /// False when the sheet in force no longer declares it.
    pub(crate) is_declared: bool,
    /// Taken out by an operator, by itself or through its failure domain.
    pub(crate) out: bool,
    /// Listed by the platform and not leaving.
    pub(crate) live: bool,
    /// Its absence from the VM list, if it is absent.
    pub(crate) absence: Option<ListAbsence>,
    /// When the last report that it answered, current or not, was asked for.
    pub(crate) last_contact_at: ClockTime,
    /// When its last current report arrived.
    pub(crate) reported_at: Option<ClockTime>,
    /// That report.
    pub(crate) report: UpstreamReport,
    /// Start of its present ramp.
    pub(crate) ramp_started_at: Option<ClockTime>,
}

impl EngineState {
    /// A slot about which nothing is known.
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

    /// Whether it may get new work at all.
    pub(crate) const fn is_in_service(&self) -> bool {
        self.is_declared && self.live && !self.out
    }

    /// Whether it may get a new load now.
    pub(crate) fn can_load(&self, now: ClockTime) -> bool {
        let current = self.reported_at.is_some_and(|at| now.since_ms(at) <= REPORT_STALE_AFTER_MS);
        self.is_in_service() && current
    }

    /// Where the checkpoint of `model` is.
    pub(crate) fn tier(&self, model: &ModelId) -> WeightTier {
        let checkpoints = &self.report.checkpoints;
        match checkpoints.binary_search_by(|(name, _)| name.cmp(model)) {
            Ok(at) => checkpoints.get(at).map_or(WeightTier::Remote, |(_, tier)| *tier),
            Err(_) => WeightTier::Remote,
        }
    }

    /// Age in ms of its present ramp; `None` when it bears its full load.
    pub(crate) fn ramp_age_ms(&self, now: ClockTime) -> Option<u64> {
        let age = now.since_ms(self.ramp_started_at?);
        (age < self.ramp_ms).then_some(age)
    }
}
