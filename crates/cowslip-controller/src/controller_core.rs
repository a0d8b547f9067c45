//! The state handle shared by the tasks of a controller.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cowslip_fleet::LeaseHolder;
use cowslip_platform::PlatformError;
use cowslip_runtime::{MetricSink, ProcessClock, random_hex};
use cowslip_units::{ClockTime, IncarnationId, UnitError};
use slog::Logger;
use tokio::sync::Notify;

use crate::peer_clients::PeerClients;
use crate::{ControllerSettings, ControllerState};

/// Handle to a controller; clones refer to the same controller.
#[derive(Debug)]
pub struct ControllerCore<P, E> {
    pub(crate) platform: P,
    pub(crate) engines: E,
    pub(crate) settings: Arc<ControllerSettings>,
    pub(crate) clock: ProcessClock,
    pub(crate) logger: Logger,
    pub(crate) metrics: MetricSink,
    pub(crate) peers: Arc<PeerClients>,
    /// Wakes the planner.
    pub(crate) planner_wake: Arc<Notify>,
    /// Wakes long polls after a change of the placement table.
    pub(crate) table_wake: Arc<Notify>,
    /// Wakes the view follower.
    pub(crate) view_wake: Arc<Notify>,
    state: Arc<Mutex<ControllerState>>,
}

impl<P: Clone, E: Clone> Clone for ControllerCore<P, E> {
    fn clone(&self) -> Self {
        Self {
            platform: self.platform.clone(),
            engines: self.engines.clone(),
            settings: Arc::clone(&self.settings),
            clock: self.clock,
            logger: self.logger.clone(),
            metrics: self.metrics.clone(),
            peers: Arc::clone(&self.peers),
            planner_wake: Arc::clone(&self.planner_wake),
            table_wake: Arc::clone(&self.table_wake),
            view_wake: Arc::clone(&self.view_wake),
            state: Arc::clone(&self.state),
        }
    }
}

impl<P, E> ControllerCore<P, E> {
    /// Creates a controller with a new incarnation.
    pub fn new(
        settings: ControllerSettings,
        platform: P,
        engines: E,
        logger: Logger,
        metrics: MetricSink,
    ) -> Result<Self, UnitError> {
        let incarnation = IncarnationId::new(&format!("{}:{}", settings.vm, random_hex(8)))?;
        let own = LeaseHolder { vm: settings.vm.clone(), incarnation };
        Ok(Self {
            platform,
            engines,
            settings: Arc::new(settings),
            clock: ProcessClock::new(),
            logger,
            metrics,
            peers: Arc::default(),
            planner_wake: Arc::default(),
            table_wake: Arc::default(),
            view_wake: Arc::default(),
            state: Arc::new(Mutex::new(ControllerState::new(own))),
        })
    }

    /// Locks the state. The guard must not be held across an await.
    pub(crate) fn lock(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current time of this process's clock.
    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Records whether a call to the store succeeded, and returns its result.
    pub(crate) fn store_result<T>(&self, result: Result<T, PlatformError>) -> Result<T, PlatformError> {
        match &result {
            Ok(_) => {
                let now = self.now();
                self.lock().store_ok_at = Some(now);
            }
            Err(error) => {
                self.metrics.count("store_errors", 1);
                slog::debug!(self.logger, "store call failed"; "error" => %error);
            }
        }
        result
    }

    pub(crate) fn rpc_addr(&self) -> SocketAddr {
        self.settings.rpc_addr
    }
}
