//! Settings of the router process.

use std::net::SocketAddr;
use std::path::Path;

use cowslip_config::{SettingsFault, SettingsReader};
use cowslip_units::{DomainId, VmId};
use slog::Level;

use crate::RouterPolicy;

/// Section of the settings file that holds the router's settings.
const SECTION: &str = "router";

/// Settings of a router process (section `[router]` of an INI file).
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// Name of the VM that the router runs on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Listen address for callers.
    pub callers_addr: SocketAddr,
    /// Listen address for RPC from other routers and controllers.
    pub rpc_addr: SocketAddr,
    /// Address of the platform services.
    pub platform: SocketAddr,
    /// RPC addresses of the controllers; if empty, they are taken from the VM list.
    pub controllers: Vec<SocketAddr>,
    /// Time in ms between the start of shutdown, from which `/healthz` answers 503, and closing the listener.
    pub drain_notice_ms: u64,
    /// Limit of a request body in bytes.
    pub max_body_bytes: usize,
    /// Limit of a request header in bytes, counted over names, values and the path.
    pub max_header_bytes: usize,
    /// Limit of connections that are served.
    pub max_connections: usize,
    /// Limit of queued requests.
    pub max_waiting: usize,
    /// Timeout in ms for the header, and again for the body, of a request to arrive.
    pub read_timeout_ms: u64,
    /// Policy for sharing rates and the queue.
    pub policy: RouterPolicy,
    /// Minimum level of log lines.
    pub log_level: Level,
    /// Destination of statsd metrics; `None` disables them.
    pub metrics_addr: Option<SocketAddr>,
}

impl RouterSettings {
    /// Reads and validates the file at `path`; returns all faults at once.
    pub fn open(path: &Path) -> Result<Self, Vec<SettingsFault>> {
        Self::read(SettingsReader::open(path)?)
    }

    /// Validates `text` as the content of the file at `path`; returns all faults at once.
    pub fn from_text(path: &Path, text: &str) -> Result<Self, Vec<SettingsFault>> {
        Self::read(SettingsReader::from_text(path, text)?)
    }

    fn read(mut reader: SettingsReader) -> Result<Self, Vec<SettingsFault>> {
        let vm = reader.required(SECTION, "vm");
        let domain = reader.required(SECTION, "domain");
        let callers_addr = reader.required(SECTION, "callers_addr");
        let rpc_addr = reader.required(SECTION, "rpc_addr");
        let platform = reader.required(SECTION, "platform");
        let controllers = read_addresses(&mut reader, "controllers");
        let drain_notice_ms = reader.optional(SECTION, "drain_notice_ms", 2_000);
        let max_body_bytes = reader.optional(SECTION, "max_body_bytes", 1_048_576);
        let max_header_bytes = reader.optional(SECTION, "max_header_bytes", 16_384);
        let max_connections = reader.optional(SECTION, "max_connections", 2_000);
        let max_waiting = reader.optional(SECTION, "max_waiting", 1_000);
        let read_timeout_ms = reader.optional(SECTION, "read_timeout_ms", 10_000);
        let log_level = read_level(&mut reader);
        let metrics = read_addresses(&mut reader, "metrics_addr");
        if metrics.len() > 1 {
            reader.reject(SECTION, "metrics_addr", "only one address is accepted");
        }
        let policy = reader.optional(SECTION, "policy", RouterPolicy::Shared);
        for (key, value) in [("max_body_bytes", max_body_bytes), ("max_header_bytes", max_header_bytes)] {
            if value == 0 {
                reader.reject(SECTION, key, "must be at least 1");
            }
        }
        if read_timeout_ms == 0 {
            reader.reject(SECTION, "read_timeout_ms", "must be at least 1");
        }
        reader.finish()?;
        let required = (vm, domain, callers_addr, rpc_addr, platform);
        let (Some(vm), Some(domain), Some(callers_addr), Some(rpc_addr), Some(platform)) = required else {
            // `finish` has already reported each missing value.
            return Err(Vec::new());
        };
        Ok(Self {
            vm,
            domain,
            callers_addr,
            rpc_addr,
            platform,
            controllers,
            drain_notice_ms,
            max_body_bytes,
            max_header_bytes,
            max_connections,
            max_waiting,
            read_timeout_ms,
            policy,
            log_level,
            metrics_addr: metrics.first().copied(),
        })
    }
}

fn read_addresses(reader: &mut SettingsReader, key: &str) -> Vec<SocketAddr> {
    let text = reader.optional_text(SECTION, key).unwrap_or_default();
    let mut addresses = Vec::new();
    for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
        match part.parse() {
            Ok(address) => addresses.push(address),
            Err(_) => reader.reject(SECTION, key, &format!("{part:?} is not an address like 10.0.0.1:7000")),
        }
    }
    addresses
}

fn read_level(reader: &mut SettingsReader) -> Level {
    let text = reader.optional_text(SECTION, "log_level").unwrap_or_else(|| "info".to_owned());
    text.parse().unwrap_or_else(|()| {
        reader.reject(SECTION, "log_level", "expected critical, error, warning, info, debug or trace");
        Level::Info
    })
}
