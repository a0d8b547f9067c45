//! Context of the commands that call a controller.

use std::path::PathBuf;

use clap::ArgMatches;
use cowslip_runtime::random_hex;
use cowslip_units::ChangeId;
use smol_str::SmolStr;

use crate::command_failure::CommandFailure;
use crate::controller_pool::ControllerPool;
use crate::operator_settings::OperatorSettings;

/// Length of a generated change id in bytes.
const CHANGE_ID_BYTES: usize = 16;

/// Controllers, credentials and change id of a command.
pub(crate) struct OperatorClient {
    /// The configured controllers.
    pub(crate) pool: ControllerPool,
    /// Token of the operators.
    pub(crate) token: SmolStr,
    /// Name of the operator, for the change log.
    pub(crate) author: SmolStr,
    /// Id of the single change that this command may make.
    pub(crate) change_id: SmolStr,
    /// True if the change id was given on the command line, to repeat a change that is in doubt.
    pub(crate) is_repeat: bool,
}

impl OperatorClient {
    /// Reads the settings file named on the command line.
    pub(crate) fn from_args(matches: &ArgMatches) -> Result<Self, CommandFailure> {
        let Some(path) = matches.get_one::<PathBuf>("settings") else {
            return Err(CommandFailure::Usage("this command requires --settings FILE".to_owned()));
        };
        let settings = OperatorSettings::open(path).map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            CommandFailure::Usage(lines.join("\n"))
        })?;
        let given_id = matches.get_one::<ChangeId>("change-id");
        let change_id = match given_id {
            Some(id) => SmolStr::new(id.as_str()),
            None => SmolStr::new(random_hex(CHANGE_ID_BYTES)),
        };
        let pool = ControllerPool::new(settings.controllers, settings.timeout_ms);
        Ok(Self {
            pool,
            token: settings.token,
            author: settings.author,
            change_id,
            is_repeat: given_id.is_some(),
        })
    }
}
