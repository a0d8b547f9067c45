//! The leader's usage task: carries out the steps of [`UsageLedger`](cowslip_entry::UsageLedger).

use std::sync::Arc;

use cowslip_entry::{
    DutyAnswer, DutyCall, DutySubject, LedgerStep, LedgerView, RowOutcome, UsageRow, UsageTerms, WindowCounts,
};
use cowslip_units::{ClockTime, DayTime, FencingToken, StoreEra, WindowId};
use slog::{info, warn};

use crate::duty_calls::DutyPermit;
use crate::duty_rows::{mark_closed, read_usage, write_checkpoint, write_closed};
use crate::duty_status::{DutyDecision, record_decision};
use crate::gateway::Gateway;
use crate::gateway_metrics::OutcomeLabels;
use crate::gateway_state::GatewayState;
use crate::plan_task::order_deadline;

/// Interval in ms between two looks at the ledger.
const STEP_MS: u64 = 100;

/// Steps that may follow each other without a pause.
const MAX_STEPS: usize = 10;

/// The store's era, and since when this process knows it.
#[derive(Clone, Copy, Debug)]
struct KnownEra {
    era: StoreEra,
    since: DayTime,
}

impl KnownEra {
    fn observe(self, era: StoreEra, day: DayTime) -> Self {
        if era == self.era { self } else { Self { era, since: day } }
    }
}

/// What a leader's ledger is asked with, apart from what the lock guards.
#[derive(Clone, Copy, Debug)]
struct StepContext {
    era: KnownEra,
    may_order: bool,
    now: ClockTime,
}

/// Closes windows and sends usage reports while this gateway leads, where usage is to be reported.
pub(crate) async fn usage_loop(gateway: Arc<Gateway>) {
    let Some(terms) = gateway.settings.cloud.as_ref().and_then(|cloud| cloud.usage) else { return };
    let mut era = KnownEra { era: gateway.store.era(), since: gateway.day() };
    loop {
        gateway.clock.sleep_ms(STEP_MS).await;
        era = era.observe(gateway.store.era(), gateway.day());
        for _ in 0..MAX_STEPS {
            let Some((step, fence)) = next_step(&gateway, era) else { break };
            execute(&gateway, step, fence, era, terms).await;
        }
    }
}

fn next_step(gateway: &Gateway, era: KnownEra) -> Option<(LedgerStep, FencingToken)> {
    let fence = gateway.lock().lead.as_ref().map(|lead| lead.fence)?;
    let may_order = order_deadline(gateway, fence).is_some();
    let context = StepContext { era, may_order, now: gateway.now() };
    let mut state = gateway.lock();
    let step = with_ledger(&mut state, fence, context, |ledger, view| ledger.step(view, context.now))??;
    Some((step, fence))
}

/// Applies `action` to the ledger of the leader with that fencing token; `None` when it does not lead any more.
fn with_ledger<T>(
    state: &mut GatewayState,
    fence: FencingToken,
    context: StepContext,
    action: impl FnOnce(&mut cowslip_entry::UsageLedger, &LedgerView<'_>) -> T,
) -> Option<T> {
    let day = state.usage.as_ref().and_then(|meter| meter.true_day(context.now));
    let lead = state.lead.as_mut().filter(|lead| lead.fence == fence)?;
    let members = lead.grants.members();
    let gate = lead.duties.as_ref();
    let is_open = gate.is_some_and(|gate| gate.may_begin(&DutySubject::Usage, context.now));
    let view = LedgerView {
        members: &members,
        day,
        era: context.era.era,
        era_since: context.era.since,
        may_call: context.may_order && is_open,
    };
    Some(action(lead.usage.as_mut()?, &view))
}

async fn execute(
    gateway: &Arc<Gateway>,
    step: LedgerStep,
    fence: FencingToken,
    era: KnownEra,
    terms: UsageTerms,
) {
    match step {
        LedgerStep::ReadRows => {
            let rows = read_usage(gateway).await;
            // The rows may be the first ones of a later era.
            let era = era.observe(gateway.store.era(), gateway.day());
            let found = rows.as_ref().map(|rows| (rows.closed.len(), rows.open.len()));
            let context = StepContext { era, may_order: false, now: gateway.now() };
            let mut state = gateway.lock();
            with_ledger(&mut state, fence, context, |ledger, view| ledger.rows_read(rows, view, context.now));
            drop(state);
            if let Some((closed, open)) = found {
                info!(gateway.logger, "usage_rows_read"; "closed" => closed, "open" => open, "fence" => fence.get(),
                    "era" => era.era.get());
            }
        }
        LedgerStep::WriteRow(row, removed) => close(gateway, row, &removed, fence, terms).await,
        LedgerStep::Send(counts) => {
            if let Some(permit) = DutyPermit::take(gateway, fence, DutySubject::Usage) {
                tokio::spawn(send(Arc::clone(gateway), permit, counts, fence, terms));
            }
        }
        LedgerStep::MarkRow(row, version) => {
            let marked = mark_closed(gateway, &row, version).await;
            update_ledger(gateway, fence, |ledger, now| ledger.row_marked(row.window, marked, now));
        }
        LedgerStep::Checkpoint(checkpoint) => {
            let is_written = write_checkpoint(gateway, &checkpoint).await;
            update_ledger(gateway, fence, |ledger, now| {
                ledger.checkpoint_written(&checkpoint, is_written, now);
            });
        }
    }
}

fn update_ledger<T>(
    gateway: &Gateway,
    fence: FencingToken,
    action: impl FnOnce(&mut cowslip_entry::UsageLedger, ClockTime) -> T,
) -> Option<T> {
    let now = gateway.now();
    let mut state = gateway.lock();
    let lead = state.lead.as_mut().filter(|lead| lead.fence == fence)?;
    lead.usage.as_mut().map(|ledger| action(ledger, now))
}

async fn close(
    gateway: &Gateway,
    row: UsageRow,
    removed: &[WindowId],
    fence: FencingToken,
    terms: UsageTerms,
) {
    let (members, missing) = {
        let state = gateway.lock();
        let lead = state.lead.as_ref();
        let members = lead.map(|lead| lead.grants.members()).unwrap_or_default();
        let ledger = lead.and_then(|lead| lead.usage.as_ref());
        (members.len(), ledger.map_or(0, |ledger| ledger.missing_members(row.window, &members)))
    };
    let outcome = write_closed(gateway, &row, removed).await;
    let result = match &outcome {
        RowOutcome::Written(_) => "written",
        RowOutcome::Present(..) => "present",
        RowOutcome::Unreadable => "unreadable",
        RowOutcome::Failed => "failed",
    };
    let since_end_ms = since_end_ms(gateway, row.window, terms);
    if outcome == RowOutcome::Failed {
        warn!(gateway.logger, "usage_not_closed"; "window" => row.window.get(), "since_end_ms" => since_end_ms,
            "fence" => fence.get());
    } else {
        let requests: u64 = row.counts.iter().map(|(_, count)| count).sum();
        info!(gateway.logger, "usage_closed"; "window" => row.window.get(), "row" => result,
            "teams" => row.counts.len(), "requests" => requests, "members" => members, "missing" => missing,
            "since_end_ms" => since_end_ms, "fence" => fence.get(), "era" => row.era.get());
        count_window(gateway, "closed");
        let reason = format!("{missing} of {members} gateways missing, row {result}");
        record_decision(
            gateway,
            DutySubject::Usage,
            DutyDecision::new(format!("closed {}", row.window), reason),
        );
    }
    update_ledger(gateway, fence, |ledger, now| ledger.row_written(row, outcome, now));
}

async fn send(
    gateway: Arc<Gateway>,
    permit: DutyPermit,
    counts: WindowCounts,
    fence: FencingToken,
    terms: UsageTerms,
) {
    let window = counts.window;
    let answer = permit.send(&DutyCall::Usage { window, counts: counts.counts }).await;
    let retry_ms = update_ledger(&gateway, fence, |ledger, now| ledger.call_answered(window, answer, now));
    let since_end_ms = since_end_ms(&gateway, window, terms);
    let is_sent = answer == DutyAnswer::Accepted;
    if is_sent {
        count_window(&gateway, "sent");
    }
    if since_end_ms > terms.late_ms {
        warn!(gateway.logger, "usage_late"; "window" => window.get(), "sent" => is_sent,
            "since_end_ms" => since_end_ms, "due_ms" => terms.late_ms, "retry_ms" => retry_ms.flatten());
        count_window(&gateway, "late");
    }
    let reason = format!("{} after {since_end_ms} ms", answer.as_str());
    let text = format!("{} {window}", if is_sent { "sent" } else { "not sent" });
    record_decision(&gateway, DutySubject::Usage, DutyDecision::new(text, reason));
}

fn since_end_ms(gateway: &Gateway, window: WindowId, terms: UsageTerms) -> u64 {
    gateway.day().since_ms(window.end(terms.window_ms))
}

fn count_window(gateway: &Gateway, outcome: &'static str) {
    gateway.metrics.usage_windows.get_or_create(&OutcomeLabels { kind: "usage", outcome }).inc();
}
