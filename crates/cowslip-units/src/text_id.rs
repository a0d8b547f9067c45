//! Ids that are short texts: names that operators choose and random ids that processes draw.

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
            /// Checks `text` and makes it an id.
            pub fn new(text: &str) -> Result<Self, UnitError> {
                check_text($what, text)?;
                Ok(Self(SmolStr::new(text)))
            }

            /// The id as text.
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
    /// A team whose callers share a rate and a burst.
    TeamId,
    "team"
);
text_id!(
    /// A model or an adapter, as callers name it in requests.
    ModelId,
    "model"
);
text_id!(
    /// A model engine or a plain service behind the system.
    UpstreamId,
    "upstream"
);
text_id!(
    /// A service: upstreams that serve the same requests.
    ServiceId,
    "service"
);
text_id!(
    /// A failure domain.
    DomainId,
    "failure domain"
);
text_id!(
    /// A declared route.
    RouteId,
    "route"
);
text_id!(
    /// An entry VM.
    VmId,
    "VM"
);
text_id!(
    /// One start of a router process: `<vm>:<random>`.
    IncarnationId,
    "incarnation"
);
text_id!(
    /// One caller's request.
    RequestId,
    "request id"
);
text_id!(
    /// One attempt to claim a non-idempotent request or to run a report.
    AttemptId,
    "attempt id"
);
text_id!(
    /// One change of the configuration; a repeated write carries the same id.
    ChangeId,
    "change id"
);
text_id!(
    /// One order to an upstream; a repeated order carries the same id.
    OrderId,
    "order id"
);
text_id!(
    /// An accepted report.
    ReportId,
    "report id"
);
