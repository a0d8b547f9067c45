//! Loads the sheet in force from the object store.

use cowslip_config::FleetSheet;
use cowslip_fleet::sheet_key;
use cowslip_platform::EngineOrders;
use smol_str::SmolStr;

use crate::controller_state::LoadedSheet;
use crate::{ControllerCore, PlatformServices};

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Loads the sheet that the view refers to, unless it is already loaded.
    pub(crate) async fn load_sheet(&self) {
        let Some(digest) = self.sheet_to_load() else {
            return;
        };
        let body = match self.platform.get(&sheet_key(&digest)).await {
            Ok(Some(body)) => body,
            Ok(None) => {
                slog::error!(self.logger, "sheet object does not exist"; "digest" => digest.as_str());
                return;
            }
            Err(error) => {
                slog::warn!(self.logger, "sheet not read"; "error" => %error);
                return;
            }
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        match FleetSheet::from_csv(&text) {
            Ok(sheet) => {
                slog::info!(self.logger, "sheet in force"; "digest" => digest.as_str());
                let now = self.now();
                self.lock().set_sheet(LoadedSheet { digest, text, sheet }, now);
                self.planner_wake.notify_one();
            }
            Err(faults) => {
                let first = faults.first().map(ToString::to_string).unwrap_or_default();
                slog::error!(self.logger, "sheet object has faults"; "digest" => digest.as_str(), "first" => first);
            }
        }
    }

    fn sheet_to_load(&self) -> Option<SmolStr> {
        let state = self.lock();
        let desired = state.view.sheet_ref()?.digest.clone();
        let loaded = state.sheet.as_ref().map(|loaded| &loaded.digest);
        (loaded != Some(&desired)).then_some(desired)
    }
}
