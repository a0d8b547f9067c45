//! Ids that are short strings: names chosen by operators and random ids drawn by processes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::UnitError;

/// Longest accepted id in bytes.
const MAX_ID_BYTES: usize = 128;

fn check_text(what: &'static str, text: &str) -> Result<(), UnitError> {
    if text.is_empty() {
        return Err(UnitError::Empty { what });
    }
    if text.len() > MAX_ID_BYTES {
        return Err(UnitError::TooLong { what, limit: MAX_ID_BYTES });
    }
    let accepted = |character: char| character.is_ascii_alphanumeric() || "._-:/".contains(character);
    match text.chars().find(|&character| !accepted(character)) {
        Some(character) => Err(UnitError::BadCharacter { what, text: text.to_owned(), character }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Validates `text` as an id.
            ///
            /// # Errors
            /// [`UnitError`] if the text is empty, too long or contains a character that ids may not have.
            pub fn new(text: &str) -> Result<Self, UnitError> {
                check_text($what, text)?;
                Ok(Self(SmolStr::new(text)))
            }

            /// The id as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                Self::new(text)
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = UnitError;

            fn try_from(text: SmolStr) -> Result<Self, UnitError> {
                check_text($what, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

text_id!(
    /// A team, whose callers share one rate limit.
    TeamId,
    "team"
);
text_id!(
    /// A model or an adapter, as callers name it in requests.
    ModelId,
    "model"
);
text_id!(
    /// A model engine or a plain HTTP service to which requests are forwarded.
    UpstreamId,
    "upstream"
);
text_id!(
    /// A part of a prompt, which requests may share, or the key of a whole request. or the key of a whole request.
    PartId,
    "prompt part"
);
text_id!(
    /// A service: a group of upstreams that serve the same requests.
    ServiceId,
    "service"
);
text_id!(
    /// A failure domain.
    DomainId,
    "failure domain"
);
text_id!(
    /// A route declared in the configuration.
    RouteId,
    "route"
);
text_id!(
    /// A virtual machine that runs the entry processes.
    VmId,
    "VM"
);
text_id!(
    /// One run of a router or controller process: `<vm>:<random>`.
    IncarnationId,
    "incarnation"
);
text_id!(
    /// One request of a caller.
    RequestId,
    "request id"
);
text_id!(
    /// One attempt to claim a non-idempotent request or to run a report.
    AttemptId,
    "attempt id"
);
text_id!(
    /// One change of the configuration; a retried write carries the same id.
    ChangeId,
    "change id"
);
text_id!(
    /// One order to an upstream; a retried order carries the same id.
    OrderId,
    "order id"
);
text_id!(
    /// A report that was accepted for later execution.
    ReportId,
    "report id"
);
