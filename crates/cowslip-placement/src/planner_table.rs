//! The planner's output for routers and operators: placement table and status.

use cowslip_messages::{
    AdapterPlacement, ModelStatus, PlacementTable, ReplicaPlacement, ReplicaState, UpstreamState,
    UpstreamStatus,
};
use cowslip_units::ClockTime;

use crate::{LedgerRow, PlacementPlanner, PlacementPolicy, RowKey, RowKind};

impl<P: PlacementPolicy> PlacementPlanner<P> {
    /// The current placement table.
    pub fn table(&self, now: ClockTime) -> PlacementTable {
        let mut table = PlacementTable { version: self.version, ..PlacementTable::default() };
        for row in self.ledger.rows() {
            // A row that is being deleted no longer counts as loaded; one that was never committed is not yet
            // decided.
            let Some(state) = self.ledger.state(&row.key).filter(|_| self.ledger.is_written(&row.key)) else {
                continue;
            };
            match row.key.kind {
                RowKind::Replica => table.replicas.push(ReplicaPlacement {
                    model: row.key.name.clone(),
                    upstream: row.key.upstream.clone(),
                    state: self.shown_state(row, state),
                    ready_in_ms: self.ready_in_ms(row, state, now),
                }),
                RowKind::Adapter => table.adapters.push(AdapterPlacement {
                    adapter: row.key.name.clone(),
                    upstream: row.key.upstream.clone(),
                    state: self.shown_adapter_state(row, state),
                }),
            }
        }
        table
            .replicas
            .sort_by(|one, other| (&one.model, &one.upstream).cmp(&(&other.model, &other.upstream)));
        table
            .adapters
            .sort_by(|one, other| (&one.adapter, &one.upstream).cmp(&(&other.adapter, &other.upstream)));
        table.upstreams = self
            .engines
            .all()
            .iter()
            .map(|engine| UpstreamState {
                upstream: engine.upstream.clone(),
                live: engine.live,
                ramp_age_ms: engine.ramp_age_ms(now),
                queued: engine.report.running.saturating_add(engine.report.queued),
                report_age_ms: engine
                    .reported_at
                    .map(|at| now.since_ms(at).saturating_add(engine.report.age_ms)),
            })
            .collect();
        table.refused.clone_from(&self.refused);
        table
    }

    /// Upstreams for a status reply.
    pub fn upstream_status(&self) -> Vec<UpstreamStatus> {
        let status = |engine: &crate::engine_state::EngineState| {
            let (memory, reserved) = self.ledger.memory(&engine.upstream);
            UpstreamStatus {
                upstream: engine.upstream.clone(),
                out: engine.out,
                live: engine.live,
                memory_mib: memory.mebibytes(),
                reserved_mib: reserved.mebibytes(),
            }
        };
        self.engines.all().iter().map(status).collect()
    }

    /// Replicas and adapters for a status reply.
    pub fn model_status(&self) -> Vec<ModelStatus> {
        let status = |row: &LedgerRow| ModelStatus {
            model: row.key.name.clone(),
            upstream: row.key.upstream.clone(),
            state: row.state,
        };
        let mut rows: Vec<ModelStatus> = self.ledger.rows().map(status).collect();
        rows.sort_by(|one, other| (&one.model, &one.upstream).cmp(&(&other.model, &other.upstream)));
        rows
    }

    /// A replica whose order is in doubt takes requests once a report lists it as loaded.
    fn shown_state(&self, row: &LedgerRow, state: ReplicaState) -> ReplicaState {
        match state {
            ReplicaState::Ordered if self.ledger.is_reported_loaded(&row.key) => ReplicaState::Loaded,
            other => other,
        }
    }

    /// An adapter drains together with its model.
    fn shown_adapter_state(&self, row: &LedgerRow, state: ReplicaState) -> ReplicaState {
        let base = self.ledger.state(&RowKey::replica(row.key.upstream.clone(), row.base.clone()));
        match (state, base) {
            (ReplicaState::Loaded, Some(ReplicaState::Draining | ReplicaState::Unloading)) => {
                ReplicaState::Draining
            }
            (ReplicaState::Loaded, None) => ReplicaState::Unloading,
            _ => self.shown_state(row, state),
        }
    }

    fn ready_in_ms(&self, row: &LedgerRow, state: ReplicaState, now: ClockTime) -> u64 {
        match state {
            ReplicaState::Ordered => self.queue.remaining_ms(&row.key, now).unwrap_or(row.load_ms),
            _ => 0,
        }
    }
}
