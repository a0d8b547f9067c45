//! The controller's settings.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use cowslip_config::{SettingsFault, SettingsReader};
use cowslip_units::{DomainId, VmId};
use slog::Level;
use smol_str::SmolStr;

use crate::PolicyName;

const SECTION: &str = "controller";
/// Shortest accepted operator token in bytes; a shorter one could be guessed.
const MIN_TOKEN_BYTES: usize = 16;

/// Settings of the section `[controller]`.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Address on which JSON-RPC is served.
    pub rpc_addr: SocketAddr,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Token that authenticates operators.
    pub operator_token: SmolStr,
    /// Lowest level of log lines that are written.
    pub log_level: Level,
    /// Destination of metrics; `None` if they are not sent.
    pub metrics_addr: Option<SocketAddr>,
    /// The placement policy.
    pub policy: PolicyName,
}

impl ControllerSettings {
    /// Reads the settings file at `path`.
    ///
    /// # Errors
    /// Every fault of the file at once.
    pub fn open(path: &Path) -> Result<Self, Vec<SettingsFault>> {
        Self::read(SettingsReader::open(path)?)
    }

    /// Reads settings from `text`; `path` appears in error messages.
    pub fn from_text(path: &Path, text: &str) -> Result<Self, Vec<SettingsFault>> {
        Self::read(SettingsReader::from_text(path, text)?)
    }

    fn read(mut reader: SettingsReader) -> Result<Self, Vec<SettingsFault>> {
        let vm = reader.required(SECTION, "vm");
        let domain = reader.required(SECTION, "domain");
        let rpc_addr = reader.required(SECTION, "rpc_addr");
        let platform = reader.required(SECTION, "platform");
        let token: Option<SmolStr> = reader.required(SECTION, "operator_token");
        if token.as_ref().is_some_and(|token| token.len() < MIN_TOKEN_BYTES) {
            let message = format!("must have at least {MIN_TOKEN_BYTES} characters");
            reader.reject(SECTION, "operator_token", &message);
        }
        let level: String = reader.optional(SECTION, "log_level", "info".to_owned());
        let log_level = Level::from_str(&level).ok();
        if log_level.is_none() {
            reader.reject(SECTION, "log_level", "is not one of critical, error, warning, info, debug, trace");
        }
        let metrics_addr = match reader.optional_text(SECTION, "metrics_addr").map(|text| text.parse()) {
            Some(Ok(addr)) => Some(addr),
            Some(Err(_)) => {
                reader.reject(SECTION, "metrics_addr", "is not an address and port");
                None
            }
            None => None,
        };
        let policy = reader.optional(SECTION, "policy", PolicyName::KeepWarm);
        reader.finish()?;
        match (vm, domain, rpc_addr, platform, token, log_level) {
            (
                Some(vm),
                Some(domain),
                Some(rpc_addr),
                Some(platform),
                Some(operator_token),
                Some(log_level),
            ) => Ok(Self { vm, domain, rpc_addr, platform, operator_token, log_level, metrics_addr, policy }),
            // Each missing value was already reported as a fault.
            _ => Err(Vec::new()),
        }
    }
}
