//! The main loop of the leader: takeover, planner steps, orders, and stepping down.

use std::sync::MutexGuard;
use std::time::Duration;

use cowslip_messages::{TableVersion, WatchRequest};
use cowslip_placement::{LedgerBatch, OrderIssuer, PlacementPlanner};
use cowslip_platform::{EngineOrders, TableTransaction};
use cowslip_rpc::ControllerApiClient;
use cowslip_units::{ClockTime, FencingToken};
use futures::future::join_all;
use tokio::time::timeout;

use crate::issuer_row::{ISSUER_PREFIX, IssuerRow, issuer_key};
use crate::leader_state::LeaderState;
use crate::ledger_store::BatchOutcome;
use crate::stored_ledger::StoredLedger;
use crate::vm_watch::{is_gone, listed_upstreams};
use crate::{ControllerCore, ControllerState, PlatformServices, PolicyChoice};

/// Longest time in ms between two steps of the planner.
const STEP_PERIOD_MS: u64 = 25;
/// Shortest time in ms between two steps, so that a burst of reports causes a single step.
const STEP_GAP_MS: u64 = 2;
/// Delay in ms before a failed batch is retried.
const BATCH_RETRY_MS: u64 = 100;
/// Period in ms in which the rows of other issuers are read, or, while the lease cannot be renewed, the other
/// controllers are polled for a newer leader. Also the delay before the write of the issuer row is retried.
const LEADER_CHECK_PERIOD_MS: u64 = 500;
/// Most issuer rows read at once.
const ISSUER_LIMIT: usize = 2_000;

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Runs until the process stops, and acts as the leader while this process holds the lease.
    pub(crate) async fn lead(self) {
        let mut leader_check_at = ClockTime::ZERO;
        loop {
            let now = self.now();
            let (stopping, held, epoch, is_own_lease) = {
                let state = self.lock();
                let held = state.leader.as_ref().map(|leader| (leader.epoch, leader.superseded));
                let is_own_lease = state.lease.holder().is_none_or(|holder| holder == state.own());
                (state.stopping, held, state.lease.epoch(now), is_own_lease)
            };
            match (held, epoch) {
                _ if stopping => {
                    self.step_down().await;
                    return;
                }
                (None, Some(epoch)) => self.take_over(epoch).await,
                (Some((held, false)), Some(epoch)) if held == epoch => self.step(epoch),
                // The lease has expired, and no other holder is known, as when the store is down. The table
                // is still served, but nothing is decided or ordered.
                (Some((_, false)), None) if is_own_lease => self.step_suspended(),
                (Some(_), _) => self.step_down().await,
                (None, None) => {}
            }
            if now >= leader_check_at {
                leader_check_at = now.plus_ms(LEADER_CHECK_PERIOD_MS);
                self.check_other_leaders().await;
            }
            let _ = timeout(Duration::from_millis(STEP_PERIOD_MS), self.planner_wake.notified()).await;
            self.clock.sleep_ms(STEP_GAP_MS).await;
        }
    }

    async fn take_over(&self, epoch: FencingToken) {
        slog::info!(self.logger, "lease taken"; "epoch" => epoch.get());
        let Some((stored, rows)) = self.take_over_ledger(epoch).await else {
            return;
        };
        // Without the sheet, the planner would treat all models as undeclared.
        let needs_sheet = self.lock().view.sheet_ref().is_some();
        if needs_sheet && self.lock().sheet.is_none() {
            self.load_sheet().await;
            if self.lock().sheet.is_none() {
                return;
            }
        }
        let now = self.now();
        let mut state = self.lock();
        if state.lease.epoch(now) != Some(epoch) {
            return;
        }
        let own = state.own().clone();
        let own_issuer = OrderIssuer { vm: own.vm, incarnation: own.incarnation, epoch };
        state.takeovers += 1;
        let mut planner = PlacementPlanner::new(PolicyChoice::from(self.settings.policy), own_issuer)
            .with_restart(state.takeovers, state.last_count);
        if let Some(loaded) = &state.sheet {
            planner.set_sheet(loaded.sheet.clone(), now);
            for row in &loaded.sheet.upstreams {
                let domain = state.returned_domains.iter().find(|(domain, _)| *domain == row.domain);
                let own = state.returned_upstreams.iter().find(|(upstream, _)| *upstream == row.upstream);
                let at = domain.map(|(_, at)| *at).max(own.map(|(_, at)| *at));
                if let Some(at) = at {
                    planner.record_return_to_service(&row.upstream, at);
                }
            }
        }
        planner.set_out_of_service(state.view.domains_out(), state.view.upstreams_out(), now);
        planner.set_members(state.view.members(), now);
        let count = rows.len();
        planner.adopt(rows, now);
        planner.set_listed(&listed_upstreams(&state.vms), now);
        state.leader = Some(LeaderState::new(epoch, planner, stored, now));
        drop(state);
        slog::info!(self.logger, "leading"; "epoch" => epoch.get(), "rows" => count);
        self.table_wake.notify_waiters();
    }

    /// Runs one step of the planner and starts its commits and orders.
    fn step(&self, epoch: FencingToken) {
        let now = self.now();
        let mut state = self.lock();
        let is_store_up = state.is_store_up(now);
        let Some(leader) = &mut state.leader else {
            return;
        };
        while leader.tasks.try_join_next().is_some() {}
        leader.planner.set_store_up(is_store_up);
        leader.planner.set_acting(true);
        let before = leader.planner.version();
        let step = leader.planner.step(now);
        if leader.planner.ledger().is_superseded() {
            // An engine has seen a higher epoch, so the lease is lost even if this process has not
            // noticed yet.
            slog::error!(self.logger, "an engine has seen a higher fencing token"; "epoch" => epoch.get());
        }
        if let Some(batch) = step.batch {
            let (core, stored) = (self.clone(), leader.stored.clone());
            leader.tasks.spawn(async move { core.run_batch(epoch, batch, stored).await });
        }
        for order in step.orders {
            self.metrics.count("orders_sent", 1);
            let core = self.clone();
            leader.tasks.spawn(async move {
                let answer = core.send_order(&order, epoch).await;
                let now = core.now();
                let mut state = core.lock();
                if let Some(leader) = state.leader.as_mut().filter(|leader| leader.epoch == epoch) {
                    leader.planner.order_answered(&order.key, &order.order, &answer, now);
                }
                drop(state);
                core.planner_wake.notify_one();
            });
        }
        self.after_step(state, before);
    }

    /// Runs one step of the planner without writes and orders.
    fn step_suspended(&self) {
        let now = self.now();
        let mut state = self.lock();
        let Some(leader) = &mut state.leader else {
            return;
        };
        leader.planner.set_store_up(false);
        leader.planner.set_acting(false);
        let before = leader.planner.version();
        leader.planner.step(now);
        self.after_step(state, before);
    }

    fn after_step(&self, mut state: MutexGuard<'_, ControllerState>, before: TableVersion) {
        let Some(leader) = &mut state.leader else {
            return;
        };
        let lines = leader.planner.log().take_unlogged();
        let changed = leader.planner.version() != before;
        drop(state);
        for line in lines {
            slog::info!(self.logger, "decision"; "model" => line.model.as_str(), "text" => line.text);
        }
        if changed {
            self.table_wake.notify_waiters();
        }
    }

    async fn run_batch(&self, epoch: FencingToken, batch: LedgerBatch, stored: StoredLedger) {
        let outcome = self.commit_batch(epoch, &batch, stored).await;
        if outcome == BatchOutcome::Failed {
            self.metrics.count("batches_failed", 1);
            self.clock.sleep_ms(BATCH_RETRY_MS).await;
        }
        let mut state = self.lock();
        let Some(leader) = state.leader.as_mut().filter(|leader| leader.epoch == epoch) else {
            return;
        };
        match outcome {
            BatchOutcome::Committed(stored) => {
                leader.stored = stored;
                leader.planner.batch_committed(batch.number);
                self.metrics.count("batches_committed", 1);
            }
            BatchOutcome::Failed => leader.planner.batch_failed(batch.number),
            BatchOutcome::Superseded => {
                // Another leader took over, or the head row was deleted by hand.
                slog::warn!(self.logger, "ledger taken over by another leader"; "epoch" => epoch.get());
                leader.superseded = true;
            }
        }
        drop(state);
        self.planner_wake.notify_one();
    }

    /// Ends the leader's calls and releases its orders in the table service.
    async fn step_down(&self) {
        let leader = {
            let mut state = self.lock();
            let leader = state.leader.take();
            if let Some(leader) = &leader {
                state.last_count = leader.planner.version().count;
            }
            leader
        };
        let Some(leader) = leader else {
            return;
        };
        let epoch = leader.epoch;
        drop(leader);
        slog::info!(self.logger, "stepped down"; "epoch" => epoch.get());
        self.table_wake.notify_waiters();
        let core = self.clone();
        let stopping = self.lock().stopping;
        if stopping {
            core.write_issuer(epoch, 3).await;
        } else {
            tokio::spawn(async move { core.write_issuer(epoch, u32::MAX).await });
        }
    }

    /// Writes the issuer row of this controller, in at most `attempts` attempts; `gave_up` is the last epoch
    /// whose orders it releases.
    pub(crate) async fn write_issuer(&self, gave_up: FencingToken, attempts: u32) {
        let own = self.lock().own().clone();
        let row = IssuerRow { vm: own.vm.clone(), incarnation: own.incarnation, gave_up };
        let Ok(value) = serde_json::to_string(&row) else {
            return;
        };
        let transaction = TableTransaction::new().with_put(&issuer_key(&own.vm), value);
        for _ in 0..attempts {
            if self.store_result(self.platform.commit(&transaction).await).is_ok() {
                return;
            }
            self.clock.sleep_ms(LEADER_CHECK_PERIOD_MS).await;
            if self.lock().leader.is_some() {
                // This process leads again; the row for the present epoch is written when it steps down.
                return;
            }
        }
    }

    /// Reads which earlier issuers have released their orders, and polls the other controllers for a newer
    /// leader while the lease cannot be renewed.
    async fn check_other_leaders(&self) {
        let now = self.now();
        let (has_foreign_issuers, suspended, version) = {
            let state = self.lock();
            let Some(leader) = &state.leader else {
                return;
            };
            let suspended = state.lease.epoch(now).is_none();
            (leader.planner.ledger().has_foreign_issuers(), suspended, leader.planner.version())
        };
        if suspended {
            let request = WatchRequest { since: version, wait_ms: 0 };
            let own = self.rpc_addr();
            let addrs: Vec<_> = self.lock().entry_vms().filter_map(|entry| entry.controller).collect();
            let others =
                addrs.into_iter().filter(|addr| *addr != own).filter_map(|addr| self.peers.get(addr));
            let calls = others.map(|client| {
                let request = request.clone();
                async move { client.placement_watch(request).await.ok()?.table }
            });
            let is_superseded =
                join_all(calls).await.into_iter().flatten().any(|table| table.version.epoch > version.epoch);
            if is_superseded {
                self.step_down().await;
            }
            return;
        }
        if !has_foreign_issuers {
            return;
        }
        let Ok(rows) =
            self.store_result(self.platform.scan(ISSUER_PREFIX, ISSUER_PREFIX, ISSUER_LIMIT).await)
        else {
            return;
        };
        let issuers: Vec<IssuerRow> =
            rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok()).collect();
        let now = self.now();
        let mut state = self.lock();
        let missing = state.missing_vms.clone();
        let own = state.own().incarnation.clone();
        if let Some(leader) = &mut state.leader {
            leader.planner.release_issuers(now, |issuer| {
                let has_released = issuers
                    .iter()
                    .find(|row| row.vm == issuer.vm)
                    .is_some_and(|row| row.incarnation != issuer.incarnation || row.gave_up >= issuer.epoch);
                // This process ended its calls of earlier epochs when it stepped down.
                has_released || issuer.incarnation == own || is_gone(&missing, &issuer.vm)
            });
        }
    }
}
