//! What an engine's answer to an order about a model changes in the plan.

use cowslip_units::ClockTime;

use crate::planned_engine::{EngineTask, MAX_CONFLICTS, TaskStage, load_ms};
use crate::{EngineAction, EngineOrder, EngineRule, HeldModel, OrderAnswer, PlannedEngine, WeightTier};

/// First and longest pause in ms before an order is repeated after a conflict.
const CONFLICT_MS: (u64, u64) = (25, 300);

/// Pause in ms between an unload and the load that takes its place: an unload takes an engine some tens of ms, and an
/// order that comes earlier is refused.
const AFTER_UNLOAD_MS: u64 = 50;

/// Time in ms before an order in doubt is repeated.
pub(crate) const DOUBT_MS: u64 = 250;

/// Time in ms until a change under way is over.
pub(crate) fn task_left_ms(task: &EngineTask, rule: &EngineRule, now: ClockTime) -> f64 {
    let whole = rule.model(&task.model).map_or(0, |model| load_ms(model, task.tier));
    match task.stage {
        TaskStage::Loading(until) => until.since_ms(now) as f64,
        TaskStage::Send(_) | TaskStage::Sent(_) => whole as f64,
    }
}

/// Takes the answer to an order about a model. `store_ms` tells what a load from the weight store takes beside others, of
/// the time that it takes alone.
pub(crate) fn model_answered(
    engine: &mut PlannedEngine,
    order: &EngineOrder,
    answer: OrderAnswer,
    rule: &EngineRule,
    store_ms: impl Fn(u64) -> u64,
    now: ClockTime,
) {
    let sent = matches!(&engine.task, Some(EngineTask { stage: TaskStage::Sent(action), .. }) if *action == order.action);
    if !sent {
        return;
    }
    if matches!(answer, OrderAnswer::Started | OrderAnswer::InDoubt) {
        engine.changes_memory();
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
                    task.stage = TaskStage::Send(now.plus_ms(AFTER_UNLOAD_MS));
                }
                _ if answer == OrderAnswer::Holds => {
                    // An order in doubt was carried out: the model takes its place, whatever was known before.
                    let name = task.model.clone();
                    engine.task = None;
                    if !engine.entry.holds(&name) {
                        engine.entry.models.push(HeldModel { name, adapters: Vec::new() });
                    }
                    engine.ask_at = Some(now);
                }
                _ => {
                    let alone_ms = rule.model(&task.model).map_or(0, |model| load_ms(model, task.tier));
                    let time = if task.tier == WeightTier::Store { store_ms(alone_ms) } else { alone_ms };
                    task.stage = TaskStage::Loading(now.plus_ms(time));
                }
            }
        }
        OrderAnswer::Conflict => {
            task.conflicts += 1;
            let pause = (CONFLICT_MS.0 << task.conflicts.min(5)).min(CONFLICT_MS.1);
            task.stage = TaskStage::Send(now.plus_ms(pause));
            if task.conflicts % 3 == 0 {
                engine.ask_at = Some(now);
            }
            if task.conflicts > 4 * MAX_CONFLICTS {
                engine.task = None;
            }
        }
        OrderAnswer::NotSent => task.stage = TaskStage::Send(now.plus_ms(DOUBT_MS)),
        OrderAnswer::InDoubt => {
            // The same order under the same count again: one of the two takes effect at most.
            task.stage = TaskStage::Send(now.plus_ms(DOUBT_MS));
            engine.ask_at = Some(now);
        }
        OrderAnswer::Refused => {
            engine.task = None;
            engine.ask_at = Some(now);
        }
    }
}
