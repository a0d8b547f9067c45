//! Configuration and start of the engine stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use cowslip_config::SettingsReader;
use cowslip_runtime::ProcessClock;
use cowslip_units::{MemorySize, ModelId};
use slog::{Discard, Logger, o};
use tokio::sync::Notify;

use crate::engine::engine_handler::EngineHandler;
use crate::engine::engine_settings::EngineSettings;
use crate::engine::engine_shared::EngineShared;
use crate::engine::engine_state::EngineState;
use crate::engine::replica_entry::ReplicaEntry;
use crate::engine::token_loop::run_token_loop;
use crate::http_server::start_server;
use crate::shared_state::SharedState;
use crate::{RunningServer, StandinClient, StandinProcess};

/// Builder of an engine stand-in. Listens on a free port of the loopback address by default.
#[derive(Clone, Debug)]
pub struct EngineServer {
    settings: EngineSettings,
    loaded: Vec<(ModelId, MemorySize)>,
    logger: Logger,
}

impl EngineServer {
    /// Creates an engine with 80 GiB, 16 slots (2 at the start of a 10 s warm-up) and 20 ms between tokens.
    pub fn new(name: &str) -> Self {
        Self { settings: EngineSettings::new(name), loaded: Vec::new(), logger: Logger::root(Discard, o!()) }
    }

    /// Sets the listen address.
    #[must_use]
    pub fn with_addr(mut self, addr: SocketAddr) -> Self {
        self.settings.addr = addr;
        self
    }

    /// Sets the platform whose weight store is used; without one, a remote load takes its nominal time.
    #[must_use]
    pub fn with_platform(mut self, platform: SocketAddr) -> Self {
        self.settings.platform = Some(platform);
        self
    }

    /// Sets the accelerator memory.
    #[must_use]
    pub fn with_memory(mut self, memory: MemorySize) -> Self {
        self.settings.memory = memory;
        self
    }

    /// Sets the number of requests that run concurrently, at least 1.
    #[must_use]
    pub fn with_slots(mut self, slots: u64) -> Self {
        self.settings.slots = slots.max(1);
        self
    }

    /// Sets the requests that an engine handles at the start of its warm-up, and the warm-up time in ms.
    #[must_use]
    pub fn with_ramp(mut self, fresh_slots: u64, ramp_ms: u64) -> Self {
        self.settings.fresh_slots = fresh_slots;
        self.settings.ramp_ms = ramp_ms;
        self
    }

    /// Sets whether orders with an outdated fencing token are rejected.
    #[must_use]
    pub fn with_fencing(mut self, checks_fencing: bool) -> Self {
        self.settings.checks_fencing = checks_fencing;
        self
    }

    /// Sets the time in ms between tokens while at most half of the slots are in use, at least 1.
    #[must_use]
    pub fn with_token_interval_ms(mut self, interval_ms: u64) -> Self {
        self.settings.token_interval_ms = interval_ms.max(1);
        self
    }

    /// Sets the prefill time per prompt token in microseconds.
    #[must_use]
    pub fn with_prefill_us_per_token(mut self, micros: u64) -> Self {
        self.settings.prefill_us_per_token = micros;
        self
    }

    /// Sets the capacity of the prefix cache in prompt tokens.
    #[must_use]
    pub fn with_prefix_cache_tokens(mut self, tokens: u64) -> Self {
        self.settings.prefix_cache_tokens = tokens;
        self
    }

    /// Sets the time in ms within which an interrupted stream can be resumed.
    #[must_use]
    pub fn with_resume_ms(mut self, resume_ms: u64) -> Self {
        self.settings.resume_ms = resume_ms;
        self
    }

    /// Sets the lag of load reports in ms.
    #[must_use]
    pub fn with_report_lag_ms(mut self, lag_ms: u64) -> Self {
        self.settings.report_lag_ms = lag_ms;
        self
    }

    /// Sets the lag of cache events in ms, and that every `gap_every`-th event is lost; 0 means none.
    #[must_use]
    pub fn with_cache_events(mut self, lag_ms: u64, gap_every: u64) -> Self {
        self.settings.cache_event_lag_ms = lag_ms;
        self.settings.cache_event_gap_every = gap_every;
        self
    }

    /// Sets the checkpoints on disk and the disk's capacity in checkpoints.
    #[must_use]
    pub fn with_disk(mut self, checkpoints: Vec<ModelId>, limit: usize) -> Self {
        self.settings.disk = checkpoints;
        self.settings.disk_limit = limit;
        self
    }

    /// Sets the checkpoints in the host's memory and its capacity in checkpoints.
    #[must_use]
    pub fn with_host_memory(mut self, checkpoints: Vec<ModelId>, limit: usize) -> Self {
        self.settings.host_memory = checkpoints;
        self.settings.host_memory_limit = limit;
        self
    }

    /// Sets the boot id; a counter is appended after each restart. By default boot ids are random.
    #[must_use]
    pub fn with_boot(mut self, boot: &str) -> Self {
        self.settings.boot = Some(boot.to_owned());
        self
    }

    /// Adds a model that is loaded at the start.
    #[must_use]
    pub fn with_loaded(mut self, model: ModelId, memory: MemorySize) -> Self {
        self.loaded.push((model, memory));
        self
    }

    /// Sets the logger; by default nothing is logged.
    #[must_use]
    pub fn with_logger(mut self, logger: Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Starts the server on its own thread; fails when the address cannot be bound.
    pub fn start(self) -> io::Result<RunningServer> {
        start_server("standin-engine", self.settings.addr, move || {
            let platform = self.settings.platform.map(StandinClient::new);
            let resume_ms = self.settings.resume_ms;
            let mut state = EngineState::new(self.settings, self.logger);
            for (model, memory) in self.loaded {
                state.replicas.insert(model, ReplicaEntry { memory, base: None, loading: None });
            }
            state.record_state(0);
            let state = SharedState::new(state);
            let wake = Arc::new(Notify::new());
            let shared = EngineShared { state, wake, clock: ProcessClock::new(), resume_ms, platform };
            tokio::spawn(run_token_loop(shared.clone()));
            EngineHandler::new(shared)
        })
    }
}

impl StandinProcess for EngineServer {
    const NAME: &'static str = "standin-engine";
    const ABOUT: &'static str = "Stand-in for a model engine";

    fn read(settings: &mut SettingsReader) -> Option<Self> {
        let settings = EngineSettings::read(settings)?;
        Some(Self { settings, loaded: Vec::new(), logger: Logger::root(Discard, o!()) })
    }

    fn label(&self) -> String {
        self.settings.name.clone()
    }

    fn launch(self, logger: Logger) -> io::Result<RunningServer> {
        self.with_logger(logger).start()
    }
}
