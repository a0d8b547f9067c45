//! Configuration and start of the platform stand-in.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use cowslip_config::SettingsReader;
use cowslip_platform::VmEntry;
use cowslip_runtime::ProcessClock;
use slog::{Discard, Logger, o};

use crate::http_server::start_server;
use crate::platform::platform_handler::PlatformHandler;
use crate::platform::platform_state::PlatformState;
use crate::platform::transfer_link::TransferLink;
use crate::shared_state::SharedState;
use crate::{RunningServer, StandinProcess};

/// Default limit of checkpoint transfers started per 10 s.
const DEFAULT_LOADS_PER_10S: u64 = 25;
/// Default number of concurrent checkpoint transfers that run at full speed.
const DEFAULT_LOADS_AT_ONCE: u64 = 4;
/// Default number of concurrent adapter transfers that run at full speed.
const DEFAULT_ADAPTERS_IN_TRANSIT: u64 = 32;
/// Default lag of the VM list in ms.
const DEFAULT_VM_LIST_LAG_MS: u64 = 500;

/// Builder of a platform stand-in. Listens on a free port of the loopback address by default.
#[derive(Clone, Debug)]
pub struct PlatformServer {
    addr: SocketAddr,
    loads_per_10s: u64,
    loads_at_once: u64,
    adapters_in_transit: u64,
    vm_list_lag_ms: u64,
    vms: Vec<VmEntry>,
    logger: Logger,
}

impl PlatformServer {
    /// Creates an empty platform: 25 checkpoint transfers started per 10 s, 4 at full speed, VM list 500 ms
    /// late.
    pub fn new() -> Self {
        Self {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            loads_per_10s: DEFAULT_LOADS_PER_10S,
            loads_at_once: DEFAULT_LOADS_AT_ONCE,
            adapters_in_transit: DEFAULT_ADAPTERS_IN_TRANSIT,
            vm_list_lag_ms: DEFAULT_VM_LIST_LAG_MS,
            vms: Vec::new(),
            logger: Logger::root(Discard, o!()),
        }
    }

    /// Sets the listen address.
    #[must_use]
    pub fn with_addr(mut self, addr: SocketAddr) -> Self {
        self.addr = addr;
        self
    }

    /// Sets the limit of checkpoint transfers started per 10 s; 0 means no limit.
    #[must_use]
    pub fn with_loads_per_10s(mut self, loads: u64) -> Self {
        self.loads_per_10s = loads;
        self
    }

    /// Sets how many concurrent checkpoint transfers run at full speed; more share the bandwidth.
    #[must_use]
    pub fn with_loads_at_once(mut self, loads: u64) -> Self {
        self.loads_at_once = loads;
        self
    }

    /// Sets how many concurrent adapter transfers run at full speed; more share the bandwidth.
    #[must_use]
    pub fn with_adapters_in_transit(mut self, adapters: u64) -> Self {
        self.adapters_in_transit = adapters;
        self
    }

    /// Sets the lag in ms with which changes of the VM list become visible.
    #[must_use]
    pub fn with_vm_list_lag_ms(mut self, lag_ms: u64) -> Self {
        self.vm_list_lag_ms = lag_ms;
        self
    }

    /// Adds a VM to the initial VM list.
    #[must_use]
    pub fn with_vm(mut self, entry: VmEntry) -> Self {
        self.vms.push(entry);
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
        start_server("standin-platform", self.addr, move || {
            let mut state = PlatformState::new(self.loads_per_10s);
            for entry in self.vms {
                let name = entry.vm.as_str().to_owned();
                state.vms.put(0, &name, Some(entry));
            }
            PlatformHandler {
                state: SharedState::new(state),
                checkpoints: TransferLink::new(self.loads_at_once),
                adapters: TransferLink::new(self.adapters_in_transit),
                clock: ProcessClock::new(),
                vm_list_lag_ms: self.vm_list_lag_ms,
                logger: self.logger,
            }
        })
    }
}

impl Default for PlatformServer {
    fn default() -> Self {
        Self::new()
    }
}

impl StandinProcess for PlatformServer {
    const NAME: &'static str = "standin-platform";
    const ABOUT: &'static str =
        "Stand-in for the platform's table service, object store, weight store and VM list";

    fn read(settings: &mut SettingsReader) -> Option<Self> {
        let section = "platform";
        let addr = settings.required(section, "addr");
        let server = Self::new()
            .with_loads_per_10s(settings.optional(section, "loads_per_10s", DEFAULT_LOADS_PER_10S))
            .with_loads_at_once(settings.optional(section, "loads_at_once", DEFAULT_LOADS_AT_ONCE))
            .with_adapters_in_transit(settings.optional(
                section,
                "adapters_in_transit",
                DEFAULT_ADAPTERS_IN_TRANSIT,
            ))
            .with_vm_list_lag_ms(settings.optional(section, "vm_list_lag_ms", DEFAULT_VM_LIST_LAG_MS));
        addr.map(|addr| server.with_addr(addr))
    }

    fn label(&self) -> String {
        "platform".to_owned()
    }

    fn launch(self, logger: Logger) -> io::Result<RunningServer> {
        self.with_logger(logger).start()
    }
}
