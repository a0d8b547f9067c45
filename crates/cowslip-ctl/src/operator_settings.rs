//! Settings of `cowslipctl`.

use std::net::SocketAddr;
use std::path::Path;

use cowslip_config::{SettingsFault, SettingsReader};
use smol_str::SmolStr;

/// Time in ms after which a call is in doubt. A controller answers a change once a majority of the routers
/// has it and the others either have it or are past the view window, which takes about 4 s.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// Settings in section `[operator]`.
#[derive(Clone)]
pub(crate) struct OperatorSettings {
    /// JSON-RPC addresses of the controllers, in the order in which they are tried.
    pub(crate) controllers: Vec<SocketAddr>,
    /// Token of the operators.
    pub(crate) token: SmolStr,
    /// Name of the operator, for the change log.
    pub(crate) author: SmolStr,
    /// Time in ms after which a call is in doubt.
    pub(crate) timeout_ms: u64,
}

impl OperatorSettings {
    /// Reads and validates the file at `path`; returns all faults at once.
    pub(crate) fn open(path: &Path) -> Result<Self, Vec<SettingsFault>> {
        let mut reader = SettingsReader::open(path)?;
        let listed: String = reader.required("operator", "controllers").unwrap_or_default();
        let mut controllers = Vec::new();
        for text in listed.split(',').map(str::trim).filter(|text| !text.is_empty()) {
            match text.parse() {
                Ok(addr) => controllers.push(addr),
                Err(_) => {
                    let message = format!("{text:?} is not an IP address with a port");
                    reader.reject("operator", "controllers", &message);
                }
            }
        }
        let token: String = reader.required("operator", "token").unwrap_or_default();
        let author: String = reader.required("operator", "author").unwrap_or_default();
        let timeout_ms = reader.optional("operator", "timeout_ms", CALL_TIMEOUT_MS);
        let empty = [
            ("controllers", listed.trim().is_empty()),
            ("token", token.is_empty()),
            ("author", author.is_empty()),
            ("timeout_ms", timeout_ms == 0),
        ];
        for (key, _) in empty.iter().filter(|entry| entry.1) {
            // A missing key has already been reported.
            if reader.optional_text("operator", key).is_some() {
                reader.reject("operator", key, "must not be empty or zero");
            }
        }
        reader.finish()?;
        Ok(Self { controllers, token: token.into(), author: author.into(), timeout_ms })
    }
}
