//! Settings of an engine.

use std::net::{Ipv4Addr, SocketAddr};

use cowslip_config::SettingsReader;
use cowslip_units::{MemorySize, ModelId};

/// Settings of one engine, as in section `[engine]` of its settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EngineSettings {
    pub(crate) name: String,
    pub(crate) addr: SocketAddr,
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) memory: MemorySize,
    pub(crate) slots: u64,
    pub(crate) fresh_slots: u64,
    pub(crate) ramp_ms: u64,
    pub(crate) checks_fencing: bool,
    pub(crate) token_interval_ms: u64,
    pub(crate) prefill_us_per_token: u64,
    pub(crate) prefix_cache_tokens: u64,
    pub(crate) resume_ms: u64,
    pub(crate) report_lag_ms: u64,
    pub(crate) cache_event_lag_ms: u64,
    pub(crate) cache_event_gap_every: u64,
    pub(crate) disk: Vec<ModelId>,
    pub(crate) disk_limit: usize,
    pub(crate) host_memory: Vec<ModelId>,
    pub(crate) host_memory_limit: usize,
    pub(crate) boot: Option<String>,
}

impl EngineSettings {
    /// Default settings.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            platform: None,
            memory: MemorySize::new(81_920),
            slots: 16,
            fresh_slots: 2,
            ramp_ms: 10_000,
            checks_fencing: true,
            token_interval_ms: 20,
            prefill_us_per_token: 100,
            prefix_cache_tokens: 100_000,
            resume_ms: 10_000,
            report_lag_ms: 500,
            cache_event_lag_ms: 500,
            cache_event_gap_every: 0,
            disk: Vec::new(),
            disk_limit: 16,
            host_memory: Vec::new(),
            host_memory_limit: 2,
            boot: None,
        }
    }

    /// Reads section `[engine]`; `None` when a required key is missing or invalid.
    pub(crate) fn read(settings: &mut SettingsReader) -> Option<Self> {
        const SECTION: &str = "engine";
        let name: Option<String> = settings.required(SECTION, "name");
        let addr = settings.required(SECTION, "addr");
        let mut read = Self::new(name.as_deref().unwrap_or_default());
        read.platform = match settings.optional_text(SECTION, "platform") {
            Some(_) => settings.required(SECTION, "platform"),
            None => None,
        };
        read.memory = settings.optional(SECTION, "memory_mib", read.memory);
        read.slots = settings.optional(SECTION, "slots", read.slots);
        read.fresh_slots = settings.optional(SECTION, "fresh_slots", read.fresh_slots);
        read.ramp_ms = settings.optional(SECTION, "ramp_ms", read.ramp_ms);
        read.checks_fencing = settings.optional(SECTION, "checks_fencing", read.checks_fencing);
        read.token_interval_ms = settings.optional(SECTION, "token_interval_ms", read.token_interval_ms);
        read.prefill_us_per_token =
            settings.optional(SECTION, "prefill_us_per_token", read.prefill_us_per_token);
        read.prefix_cache_tokens =
            settings.optional(SECTION, "prefix_cache_tokens", read.prefix_cache_tokens);
        read.resume_ms = settings.optional(SECTION, "resume_ms", read.resume_ms);
        read.report_lag_ms = settings.optional(SECTION, "report_lag_ms", read.report_lag_ms);
        read.cache_event_lag_ms = settings.optional(SECTION, "cache_event_lag_ms", read.cache_event_lag_ms);
        read.cache_event_gap_every =
            settings.optional(SECTION, "cache_event_gap_every", read.cache_event_gap_every);
        read.disk = read_models(settings, SECTION, "disk");
        read.disk_limit = settings.optional(SECTION, "disk_limit", read.disk_limit.max(read.disk.len()));
        read.host_memory = read_models(settings, SECTION, "host_memory");
        let host_limit = read.host_memory_limit.max(read.host_memory.len());
        read.host_memory_limit = settings.optional(SECTION, "host_memory_limit", host_limit);
        read.boot = settings.optional_text(SECTION, "boot");
        if read.slots == 0 {
            settings.reject(SECTION, "slots", "at least 1 is needed");
        }
        if read.fresh_slots > read.slots {
            settings.reject(SECTION, "fresh_slots", "more than slots");
        }
        if read.token_interval_ms == 0 {
            settings.reject(SECTION, "token_interval_ms", "at least 1 ms is needed");
        }
        name?;
        read.addr = addr?;
        Some(read)
    }
}

/// Reads a list of checkpoints separated by `;`.
fn read_models(settings: &mut SettingsReader, section: &str, key: &str) -> Vec<ModelId> {
    let text = settings.optional_text(section, key).unwrap_or_default();
    let mut models = Vec::new();
    for part in text.split(';').map(str::trim).filter(|part| !part.is_empty()) {
        match ModelId::new(part) {
            Ok(model) => models.push(model),
            Err(error) => settings.reject(section, key, &error.to_string()),
        }
    }
    models
}
