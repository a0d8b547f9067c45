//! Executes orders.

use cowslip_platform::{CheckpointTier, OrderReply};
use cowslip_units::{MemorySize, ModelId};
use http::{Method, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use tokio::sync::watch;

use crate::ConnectionAborted;
use crate::engine::engine_order::{EngineOrder, OrderAction};
use crate::engine::engine_shared::EngineShared;
use crate::engine::engine_state::EngineState;
use crate::engine::replica_entry::ReplicaEntry;
use crate::engine::{EngineFaultMode, OrderRecord};

/// Load time from the host's memory, in percent of the nominal load time.
const MEMORY_LOAD_PERCENT: u64 = 10;

/// Load time from disk, in percent of the nominal load time.
const DISK_LOAD_PERCENT: u64 = 40;

type ReplyWatch = watch::Receiver<Option<OrderReply>>;

/// A load in progress; its memory is reserved.
#[derive(Debug)]
struct LoadTransfer {
    name: ModelId,
    is_adapter: bool,
    load_ms: u64,
    tier: CheckpointTier,
    reply: watch::Sender<Option<OrderReply>>,
}

/// Executes an order, or waits for an earlier order with the same id, and returns the reply.
pub(crate) async fn run_order(
    shared: &EngineShared,
    order: EngineOrder,
) -> Result<OrderReply, ConnectionAborted> {
    let (fault, mut reply) = {
        let mut state = shared.state.lock();
        let now_ms = shared.now_ms();
        if state.is_down(now_ms) {
            return Err(ConnectionAborted);
        }
        let fault = state.faults.next_order_fault(&order.name());
        let (reply, transfer) = state.begin_order(now_ms, &order);
        if let Some(transfer) = transfer {
            // Runs in its own task: the load continues when the connection of the order closes.
            let task = tokio::spawn(run_transfer(shared.clone(), transfer));
            state.order_tasks.retain(|task| !task.is_finished());
            state.order_tasks.push(task.abort_handle());
        }
        (fault, reply)
    };
    // The sender is dropped without a reply when the engine restarts.
    let reply = reply.wait_for(Option::is_some).await.map_err(|_| ConnectionAborted)?.clone();
    match fault.mode {
        EngineFaultMode::Cut => return Err(ConnectionAborted),
        EngineFaultMode::LateAnswer => shared.clock.sleep_ms(fault.ms).await,
        _ => {}
    }
    reply.ok_or(ConnectionAborted)
}

async fn run_transfer(shared: EngineShared, transfer: LoadTransfer) {
    let result = match transfer.tier {
        CheckpointTier::Memory => {
            shared.clock.sleep_ms(transfer.load_ms * MEMORY_LOAD_PERCENT / 100).await;
            Ok(())
        }
        CheckpointTier::Disk => {
            shared.clock.sleep_ms(transfer.load_ms * DISK_LOAD_PERCENT / 100).await;
            Ok(())
        }
        CheckpointTier::Remote => fetch_weights(&shared, &transfer).await,
    };
    let now_ms = shared.now_ms();
    let reply = shared.state.lock().end_load(now_ms, &transfer.name, result);
    transfer.reply.send_replace(Some(reply));
}

async fn fetch_weights(shared: &EngineShared, transfer: &LoadTransfer) -> Result<(), String> {
    let Some(platform) = &shared.platform else {
        shared.clock.sleep_ms(transfer.load_ms).await;
        return Ok(());
    };
    let name = utf8_percent_encode(transfer.name.as_str(), NON_ALPHANUMERIC);
    let kind = if transfer.is_adapter { "adapter/" } else { "" };
    let path = format!("/weights/{kind}{name}?ms={}", transfer.load_ms);
    match platform.call(Method::POST, &path, bytes::Bytes::new()).await {
        Ok((StatusCode::OK, _)) => Ok(()),
        Ok((status, _)) => Err(format!("the weight store answered {status}")),
        Err(error) => Err(format!("the weight store failed: {error}")),
    }
}

impl EngineState {
    /// Records an order and either answers it or reserves memory and returns the load to run.
    fn begin_order(&mut self, now_ms: u64, order: &EngineOrder) -> (ReplyWatch, Option<LoadTransfer>) {
        let earlier = self.orders.get(&order.id).cloned();
        self.journal.orders.push(OrderRecord {
            order: order.id.to_string(),
            kind: order.kind().to_owned(),
            name: order.name(),
            fence: order.fence.get(),
            started_ms: now_ms,
            repeated: earlier.is_some(),
        });
        // A repeated order gets its original reply, even if its fencing token is outdated by now.
        if let Some(reply) = earlier {
            return (reply, None);
        }
        let (reply, transfer) = self.accept_order(now_ms, order);
        self.orders.insert(order.id.clone(), reply.clone());
        (reply, transfer)
    }

    fn accept_order(&mut self, now_ms: u64, order: &EngineOrder) -> (ReplyWatch, Option<LoadTransfer>) {
        if self.settings.checks_fencing && order.fence < self.highest_fence {
            return (answered(OrderReply::OldFence { highest: self.highest_fence }), None);
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        match &order.task {
            OrderAction::Load { name, base, memory, load_ms } => {
                self.begin_load(now_ms, name, base.as_ref(), *memory, *load_ms)
            }
            OrderAction::Unload { name } => (answered(self.unload(now_ms, name)), None),
            OrderAction::Role { role } => {
                self.role = *role;
                self.sequence += 1;
                self.record_state(now_ms);
                (answered(OrderReply::Done { sequence: self.sequence }), None)
            }
        }
    }

    fn begin_load(
        &mut self,
        now_ms: u64,
        name: &ModelId,
        base: Option<&ModelId>,
        memory: MemorySize,
        load_ms: u64,
    ) -> (ReplyWatch, Option<LoadTransfer>) {
        if let Some(entry) = self.replicas.get(name) {
            let done = || answered(OrderReply::Done { sequence: self.sequence });
            return (entry.loading.clone().unwrap_or_else(done), None);
        }
        if let Some(base) = base.filter(|base| !self.is_loaded(base.as_str())) {
            return (refused(format!("model {base} is not loaded")), None);
        }
        let used = self.memory_used();
        if used.plus(memory) > self.settings.memory {
            let total = self.settings.memory;
            return (refused(format!("{name} takes {memory}, and {used} of {total} are in use")), None);
        }
        let (sender, reply) = watch::channel(None);
        let entry = ReplicaEntry { memory, base: base.cloned(), loading: Some(reply.clone()) };
        self.replicas.insert(name.clone(), entry);
        self.record_state(now_ms);
        let tier = self.checkpoints.tier(name);
        let is_adapter = base.is_some();
        (reply, Some(LoadTransfer { name: name.clone(), is_adapter, load_ms, tier, reply: sender }))
    }

    /// Completes a load and returns the reply to its order.
    fn end_load(&mut self, now_ms: u64, name: &ModelId, result: Result<(), String>) -> OrderReply {
        // Loading the first model into an empty engine starts the warm-up.
        let was_empty = !self.replicas.values().any(|entry| entry.loading.is_none());
        let reply = match (result, self.replicas.get_mut(name)) {
            (Ok(()), Some(entry)) => {
                entry.loading = None;
                self.checkpoints.record_load(name);
                self.sequence += 1;
                if was_empty {
                    self.warmup_started_ms = now_ms;
                }
                OrderReply::Done { sequence: self.sequence }
            }
            (Ok(()), None) => OrderReply::Refused { reason: "its model was removed meanwhile".to_owned() },
            (Err(reason), _) => {
                self.replicas.remove(name);
                OrderReply::Refused { reason }
            }
        };
        self.record_state(now_ms);
        reply
    }

    fn unload(&mut self, now_ms: u64, name: &ModelId) -> OrderReply {
        match self.replicas.get(name) {
            Some(entry) if entry.loading.is_some() => {
                return OrderReply::Refused { reason: format!("{name} is being loaded") };
            }
            Some(_) => {
                self.checkpoints.record_unload(name);
                self.remove_replica(now_ms, name);
            }
            None => {}
        }
        OrderReply::Done { sequence: self.sequence }
    }
}

/// A reply that is available immediately.
fn answered(reply: OrderReply) -> ReplyWatch {
    watch::channel(Some(reply)).1
}

fn refused(reason: String) -> ReplyWatch {
    answered(OrderReply::Refused { reason })
}
