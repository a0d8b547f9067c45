//! Effect of an engine's answer to an order about a model on the plan.

use cowslip_units::ClockTime;

use crate::planned_engine::{EngineTask, MAX_CONFLICTS, TaskStage};
use crate::{EngineAction, EngineOrder, HeldModel, OrderAnswer, PlannedEngine};

/// First and longest backoff in ms before an order is sent again after a conflict.
const CONFLICT_BACKOFF_MS: (u64, u64) = (25, 300);

/// Time in ms between an unload and the load that replaces it: an unload takes an engine some tens of ms, and
/// an earlier order is rejected.
const UNLOAD_PAUSE_MS: u64 = 50;

/// Time in ms before an order in doubt is sent again.
pub(crate) const IN_DOUBT_RETRY_MS: u64 = 250;

/// Time in ms until the running change is complete.
pub(crate) fn task_left_ms(task: &EngineTask, now: ClockTime) -> f64 {
    match task.stage {
        TaskStage::Loading(until) => until.since_ms(now) as f64,
        TaskStage::Send(_) | TaskStage::Sent(_) => task.load_ms as f64,
    }
}

/// Applies the outcome of an order about a model.
pub(crate) fn model_answered(
    engine: &mut PlannedEngine,
    order: &EngineOrder,
    answer: OrderAnswer,
    now: ClockTime,
) {
    let sent = matches!(&engine.task, Some(EngineTask { stage: TaskStage::Sent(action), .. }) if *action == order.action);
    if !sent {
        return;
    }
    if matches!(answer, OrderAnswer::Started | OrderAnswer::InDoubt) {
        engine.invalidate_memory();
    }
    let Some(task) = engine.task.as_mut() else { return };
    match answer {
        OrderAnswer::Started | OrderAnswer::Holds => {
            if answer == OrderAnswer::Started {
                engine.orders = order.expected_orders + 1;
            }
            task.conflicts = 0;
            match &order.action {
                EngineAction::Unload(model) => {
                    engine.entry.models.retain(|held| held.name != *model);
                    engine.pending.retain(|(of, ..)| of != model);
                    task.stage = TaskStage::Send(now.plus_ms(UNLOAD_PAUSE_MS));
                }
                _ if answer == OrderAnswer::Holds => {
                    // An order in doubt was carried out: the model takes up memory, whatever the previous
                    // state was.
                    let name = task.model.clone();
                    engine.task = None;
                    if !engine.entry.holds(&name) {
                        engine.entry.models.push(HeldModel { name, adapters: Vec::new() });
                    }
                    engine.query_at = Some(now);
                }
                _ => {
                    task.stage = TaskStage::Loading(now.plus_ms(task.load_ms));
                }
            }
        }
        OrderAnswer::Conflict => {
            task.conflicts += 1;
            let pause_ms = (CONFLICT_BACKOFF_MS.0 << task.conflicts.min(5)).min(CONFLICT_BACKOFF_MS.1);
            task.stage = TaskStage::Send(now.plus_ms(pause_ms));
            if task.conflicts % 3 == 0 {
                engine.query_at = Some(now);
            }
            if task.conflicts > 4 * MAX_CONFLICTS {
                engine.task = None;
            }
        }
        OrderAnswer::NotSent => task.stage = TaskStage::Send(now.plus_ms(IN_DOUBT_RETRY_MS)),
        OrderAnswer::InDoubt => {
            // The same order is sent with the same expected count, so at most one of the two takes effect.
            task.stage = TaskStage::Send(now.plus_ms(IN_DOUBT_RETRY_MS));
            engine.query_at = Some(now);
        }
        OrderAnswer::Refused => {
            engine.task = None;
            engine.query_at = Some(now);
        }
    }
}
