//! Configuration and start of the plain service.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use cowslip_config::SettingsReader;
use cowslip_runtime::ProcessClock;
use slog::{Discard, Logger, o};

use crate::http_server::start_server;
use crate::service::service_handler::ServiceHandler;
use crate::service::service_state::ServiceState;
use crate::shared_state::SharedState;
use crate::{RunningServer, StandinProcess};

/// Default latency in ms.
const DEFAULT_LATENCY_MS: u64 = 5;

/// Builder of a plain service. Listens on a free port of the loopback address by default.
#[derive(Clone, Debug)]
pub struct ServiceServer {
    name: String,
    addr: SocketAddr,
    latency_ms: u64,
    logger: Logger,
}

impl ServiceServer {
    /// Creates a service with a latency of 5 ms.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            latency_ms: DEFAULT_LATENCY_MS,
            logger: Logger::root(Discard, o!()),
        }
    }

    /// Sets the listen address.
    #[must_use]
    pub fn with_addr(mut self, addr: SocketAddr) -> Self {
        self.addr = addr;
        self
    }

    /// Sets the time in ms from the arrival of a call to its effect and response.
    #[must_use]
    pub fn with_latency_ms(mut self, latency_ms: u64) -> Self {
        self.latency_ms = latency_ms;
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
        start_server("standin-service", self.addr, move || ServiceHandler {
            state: SharedState::new(ServiceState::default()),
            clock: ProcessClock::new(),
            latency_ms: self.latency_ms,
            logger: self.logger,
        })
    }
}

impl StandinProcess for ServiceServer {
    const NAME: &'static str = "standin-service";
    const ABOUT: &'static str = "Stand-in for a plain service";

    fn read(settings: &mut SettingsReader) -> Option<Self> {
        let section = "service";
        let name: Option<String> = settings.required(section, "name");
        let addr = settings.required(section, "addr");
        let latency_ms = settings.optional(section, "latency_ms", DEFAULT_LATENCY_MS);
        Some(Self::new(&name?).with_addr(addr?).with_latency_ms(latency_ms))
    }

    fn label(&self) -> String {
        self.name.clone()
    }

    fn launch(self, logger: Logger) -> io::Result<RunningServer> {
        self.with_logger(logger).start()
    }
}
