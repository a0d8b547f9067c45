//! Log lines and metrics of the leader's work: which loads that requests wait for have not begun and why, which loads use
//! the weight store, and the processor time of plans and of answers to reports.

use cowslip_entry::{
    DelayedLoad, GatewayReport, LoadCause, LoadDelay, LoadPlanner, PlanSummary, ServiceRule,
};
use cowslip_runtime::{process_time_us, thread_time_us};
use cowslip_units::ClockTime;
use slog::info;

use crate::gateway::Gateway;
use crate::gateway_metrics::{CauseLabels, OutcomeLabels, TierLabels};

/// Interval in ms between two log lines about the leader's work.
const LINE_INTERVAL_MS: u64 = 1_000;

/// Wait in ms from which a load that has not begun gets a log line.
const LOGGED_WAIT_MS: u64 = 1_000;

/// Loads that have not begun, the ones that are waited for longest, with a log line at each interval.
const LOGGED_LOADS: usize = 8;

/// Processor time of one kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct WorkTime {
    count: u64,
    micros: u64,
}

impl WorkTime {
    fn add(&mut self, micros: u64) {
        self.count += 1;
        self.micros += micros;
    }
}

/// What a report is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportKind {
    /// Complete, at the regular interval.
    Full,
    /// Brief, and requests wait for tokens.
    Tokens,
    /// Brief, and requests wait for models or adapters.
    Waiting,
    /// Brief without a request that waits.
    Idle,
}

impl ReportKind {
    /// Kind of a report.
    pub(crate) fn of(report: &GatewayReport) -> Self {
        if !report.brief {
            Self::Full
        } else if report.tokens.iter().any(|request| request.short > 0) {
            Self::Tokens
        } else if report.demand.iter().any(|line| line.waiting > 0) {
            Self::Waiting
        } else {
            Self::Idle
        }
    }

    /// Name in labels of metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Tokens => "tokens",
            Self::Waiting => "waiting",
            Self::Idle => "idle",
        }
    }
}

/// Reports answered since the last log line, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ReportCounts {
    full: u64,
    tokens: u64,
    waiting: u64,
    idle: u64,
}

/// The leader's work since the last log line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PlanRecord {
    plans: WorkTime,
    answers: WorkTime,
    reports: ReportCounts,
    process_us: u64,
    logged_at: ClockTime,
}

/// Measures the processor time of the calling thread.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkTimer(u64);

impl WorkTimer {
    /// Starts now.
    pub(crate) fn start() -> Self {
        Self(thread_time_us())
    }

    /// Processor time in µs since the start.
    fn micros(self) -> u64 {
        thread_time_us().saturating_sub(self.0)
    }
}

/// Counts an answer to a report.
pub(crate) fn record_answer(gateway: &Gateway, record: &mut PlanRecord, kind: ReportKind, timer: WorkTimer) {
    let micros = timer.micros();
    let labels = OutcomeLabels { kind: kind.as_str(), outcome: "answered" };
    gateway.metrics.report_answers.get_or_create(&labels).inc();
    match kind {
        ReportKind::Full => record.reports.full += 1,
        ReportKind::Tokens => record.reports.tokens += 1,
        ReportKind::Waiting => record.reports.waiting += 1,
        ReportKind::Idle => record.reports.idle += 1,
    }
    gateway.metrics.answer_s.observe(micros as f64 / 1e6);
    record.answers.add(micros);
}

/// Counts a plan, and writes log lines once a second.
pub(crate) fn record_plan(
    gateway: &Gateway,
    record: &mut PlanRecord,
    planner: &LoadPlanner,
    services: &[ServiceRule],
    timer: WorkTimer,
    now: ClockTime,
) {
    let summary = &planner.summary();
    let micros = timer.micros();
    gateway.metrics.plan_s.observe(micros as f64 / 1e6);
    record.plans.add(micros);
    for load in &summary.begun {
        let labels = TierLabels { tier: load.tier.as_str() };
        gateway.metrics.load_wait_s.get_or_create(&labels).observe(load.oldest_ms as f64 / 1_000.0);
    }
    if now.since_ms(record.logged_at) < LINE_INTERVAL_MS {
        return;
    }
    let rules = services.iter().filter_map(|service| service.engine.as_ref());
    let without_copy: usize = rules.map(|rule| planner.models_without_copy(rule)).sum();
    gateway.metrics.models_without_copy.set(i64::try_from(without_copy).unwrap_or(i64::MAX));
    record_gauges(gateway, summary);
    log_work(gateway, record, summary, without_copy);
    log_delayed(gateway, &summary.delayed);
    *record = PlanRecord { process_us: process_time_us(), logged_at: now, ..PlanRecord::default() };
}

fn record_gauges(gateway: &Gateway, summary: &PlanSummary) {
    let count = |loads: usize| i64::try_from(loads).unwrap_or(i64::MAX);
    for cause in LoadCause::ALL {
        let labels = CauseLabels { cause: cause.as_str() };
        gateway.metrics.store_loads.get_or_create(&labels).set(count(summary.store.of(cause)));
    }
    for delay in LoadDelay::ALL {
        let labels = CauseLabels { cause: delay.as_str() };
        gateway.metrics.delayed_loads.get_or_create(&labels).set(count(summary.delayed_by(delay)));
    }
}

fn log_work(gateway: &Gateway, record: &PlanRecord, summary: &PlanSummary, without_copy: usize) {
    let loads = |cause: LoadCause| summary.store.of(cause);
    info!(gateway.logger, "leader_work"; "plans" => record.plans.count, "plan_us" => record.plans.micros,
        "answers" => record.answers.count, "answer_us" => record.answers.micros,
        "full" => record.reports.full, "tokens" => record.reports.tokens,
        "waiting" => record.reports.waiting, "idle" => record.reports.idle,
        "process_us" => process_time_us().saturating_sub(record.process_us),
        "store_waiting" => loads(LoadCause::Waiting), "store_hot" => loads(LoadCause::Hot),
        "store_replica" => loads(LoadCause::Replica), "store_ahead" => loads(LoadCause::Ahead),
        "store_busy" => summary.delayed_by(LoadDelay::StoreBusy),
        "engine_busy" => summary.delayed_by(LoadDelay::EngineBusy),
        "no_engine" => summary.delayed_by(LoadDelay::NoEngine),
        "models_without_copy" => without_copy,
        "oldest_ms" => summary.delayed.iter().map(|load| load.oldest_ms).max());
}

fn log_delayed(gateway: &Gateway, delayed: &[DelayedLoad]) {
    let mut longest: Vec<&DelayedLoad> =
        delayed.iter().filter(|load| load.oldest_ms >= LOGGED_WAIT_MS).collect();
    longest.sort_by_key(|load| std::cmp::Reverse(load.oldest_ms));
    for load in longest.into_iter().take(LOGGED_LOADS) {
        info!(gateway.logger, "load_delayed"; "model" => %load.model, "oldest_ms" => load.oldest_ms,
            "delay" => %load.delay, "wait_ms" => load.wait_ms);
    }
}
