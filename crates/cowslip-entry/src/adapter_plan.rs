//! Adapter placement: which engine loads which adapter.
//!
//! An adapter takes milliseconds to load, so it is loaded when the first request waits for it. It goes to the
//! engine that holds its model, has a free slot, and holds the fewest adapters. If that engine is full, the
//! least recently requested adapter is evicted.

use cowslip_units::{ClockTime, ModelId, ServiceId};
use smol_str::SmolStr;

use crate::{
    AdapterName, DemandTable, EngineAction, EngineOrder, EngineRule, ModelNeed, OrderAnswer, PlannedEngine,
};

/// Time in ms after which an adapter being loaded is treated as held.
const ADAPTER_LOAD_MS: u64 = 15;

/// Largest number of adapters being loaded by one engine.
const MAX_PENDING: usize = 4;

/// Largest number of adapters being loaded by all engines, so that each load runs at full speed.
const MAX_PENDING_TOTAL: usize = 16;

/// Backoff in ms after an adapter order that was not carried out.
const ADAPTER_RETRY_MS: u64 = 40;

/// Time in ms after its last request for which an adapter is not evicted.
const MIN_IDLE_MS: u64 = 300;

/// Orders for the adapters that requests wait for.
pub(crate) fn adapter_orders(
    engines: &mut [PlannedEngine],
    service: &ServiceId,
    rule: &EngineRule,
    demand: &DemandTable,
    now: ClockTime,
) -> Vec<EngineOrder> {
    let mut orders = Vec::new();
    for engine in engines.iter_mut() {
        settle_arrivals(engine, now);
    }
    for waiting in demand.waiting_adapters(now) {
        let Some(adapter) = waiting.need.adapter.clone() else { continue };
        let model = waiting.need.model;
        let pending: usize = engines.iter().map(|engine| engine.pending.len()).sum();
        if rule.model(&model).is_none() || pending >= MAX_PENDING_TOTAL {
            continue;
        }
        let holders =
            || engines.iter().filter(|engine| engine.entry.service == *service && engine.entry.holds(&model));
        // A holder without a free slot does not help the waiting requests.
        let free = |engine: &PlannedEngine| demand.calls_at(&engine.entry.id) < engine.entry.slots;
        if holders().any(|engine| holds_adapter(engine, &model, &adapter) && free(engine)) {
            continue;
        }
        let open = |engine: &&PlannedEngine| {
            can_take_adapter(engine, now) && !holds_adapter(engine, &model, &adapter) && free(engine)
        };
        let Some(chosen) = holders().filter(open).min_by_key(|engine| engine.adapter_count()) else {
            continue;
        };
        let id = chosen.entry.id.clone();
        if let Some(engine) = engines.iter_mut().find(|engine| engine.entry.id == id) {
            orders.extend(order_for(engine, rule, demand, &model, &adapter, now));
        }
    }
    orders
}

/// Adapters that an engine holds at `now`, sorted.
pub fn adapters_of(engine: &PlannedEngine, now: ClockTime) -> Vec<AdapterName> {
    let held =
        engine.entry.models.iter().flat_map(|held| held.adapters.iter().map(move |name| (&held.name, name)));
    let arrived = engine.pending.iter().filter(|(.., at)| now >= *at).map(|(model, name, _)| (model, name));
    let name = |(model, adapter): (&ModelId, &SmolStr)| AdapterName {
        model: model.clone(),
        adapter: adapter.clone(),
    };
    let mut names: Vec<AdapterName> = held.chain(arrived).map(name).collect();
    names.sort();
    names
}

/// True when an engine holds an adapter at `now`.
pub(crate) fn has_arrived(
    engine: &PlannedEngine,
    model: &ModelId,
    adapter: &SmolStr,
    now: ClockTime,
) -> bool {
    let held = engine.entry.models.iter().any(|held| held.name == *model && held.adapters.contains(adapter));
    held || engine.pending.iter().any(|(of, name, at)| of == model && name == adapter && now >= *at)
}

/// Moves adapters that should be loaded by now from pending to held.
fn settle_arrivals(engine: &mut PlannedEngine, now: ClockTime) {
    let (arrived, pending) = std::mem::take(&mut engine.pending).into_iter().partition(|(.., at)| now >= *at);
    engine.pending = pending;
    let arrived: Vec<(ModelId, SmolStr, ClockTime)> = arrived;
    for (model, name, _) in arrived {
        if let Some(held) = engine.entry.models.iter_mut().find(|held| held.name == model)
            && !held.adapters.contains(&name)
        {
            held.adapters.push(name);
        }
    }
}

fn holds_adapter(engine: &PlannedEngine, model: &ModelId, adapter: &SmolStr) -> bool {
    let held = engine.entry.models.iter().any(|held| held.name == *model && held.adapters.contains(adapter));
    let pending = engine.pending.iter().any(|(of, name, _)| of == model && name == adapter);
    let ordered = matches!(&engine.adapter_sent, Some(EngineAction::LoadAdapter(of, name)) if of == model && name == adapter);
    held || pending || ordered
}

fn can_take_adapter(engine: &PlannedEngine, now: ClockTime) -> bool {
    engine.is_status_known
        && !engine.closed
        && engine.task.is_none()
        && engine.query_at.is_none()
        && engine.adapter_sent.is_none()
        && now >= engine.next_adapter_at.max(engine.orders_from)
        && engine.pending.len() < MAX_PENDING
}

fn order_for(
    engine: &mut PlannedEngine,
    rule: &EngineRule,
    demand: &DemandTable,
    model: &ModelId,
    adapter: &SmolStr,
    now: ClockTime,
) -> Option<EngineOrder> {
    let adapter_mb = rule.model(model).map_or(0.0, |rule| rule.adapter_mb);
    // A running load takes its memory before the engine lists the model.
    let loading =
        engine.task.as_ref().and_then(|task| rule.model(&task.model)).map_or(0.0, |rule| rule.size_mb);
    let full = engine.adapter_count() >= rule.max_adapters
        || engine.used_mb(rule) + loading + adapter_mb > rule.memory_mb;
    let action = if full {
        let (of, name) = oldest_idle(engine, demand, now)?;
        EngineAction::UnloadAdapter(of, name)
    } else {
        EngineAction::LoadAdapter(model.clone(), adapter.clone())
    };
    engine.adapter_sent = Some(action.clone());
    Some(EngineOrder {
        upstream: engine.entry.id.clone(),
        address: engine.entry.address,
        action,
        expected_orders: engine.orders,
    })
}

/// The least recently requested adapter, among those that no call uses; `None` when none is idle for long
/// enough.
fn oldest_idle(engine: &PlannedEngine, demand: &DemandTable, now: ClockTime) -> Option<(ModelId, SmolStr)> {
    let held =
        engine.entry.models.iter().flat_map(|held| held.adapters.iter().map(move |name| (&held.name, name)));
    let idle = held.filter(|(model, name)| demand.running_at(&engine.entry.id, model, Some(name)) == 0);
    let asked = |model: &ModelId, name: &SmolStr| {
        demand.adapter_asked_at(&ModelNeed { model: model.clone(), adapter: Some(name.clone()) })
    };
    let oldest = idle.min_by_key(|(model, name)| asked(model, name))?;
    (now.since_ms(asked(oldest.0, oldest.1)) >= MIN_IDLE_MS).then(|| (oldest.0.clone(), oldest.1.clone()))
}

/// Applies the outcome of an order about an adapter.
pub(crate) fn adapter_answered(
    engine: &mut PlannedEngine,
    order: &EngineOrder,
    answer: OrderAnswer,
    now: ClockTime,
) {
    if engine.adapter_sent.as_ref() != Some(&order.action) {
        return;
    }
    engine.adapter_sent = None;
    match answer {
        OrderAnswer::Started | OrderAnswer::Holds => {
            if answer == OrderAnswer::Started || matches!(order.action, EngineAction::UnloadAdapter(..)) {
                engine.orders = order.expected_orders + 1;
            }
            match &order.action {
                EngineAction::LoadAdapter(model, name) => {
                    engine.pending.push((model.clone(), name.clone(), now.plus_ms(ADAPTER_LOAD_MS)));
                }
                EngineAction::UnloadAdapter(model, name) => {
                    if let Some(held) = engine.entry.models.iter_mut().find(|held| held.name == *model) {
                        held.adapters.retain(|known| known != name);
                    }
                }
                EngineAction::Load(_) | EngineAction::Unload(_) => {}
            }
        }
        OrderAnswer::NotSent => engine.next_adapter_at = now.plus_ms(ADAPTER_RETRY_MS),
        OrderAnswer::Conflict | OrderAnswer::InDoubt | OrderAnswer::Refused => {
            engine.next_adapter_at = now.plus_ms(ADAPTER_RETRY_MS);
            engine.query_at = Some(now.plus_ms(ADAPTER_RETRY_MS));
        }
    }
}
