//! Singleton calls, and how they end.

use std::fmt;

use cowslip_units::{DomainId, ServiceId, TeamId, WindowId};
use serde::{Deserialize, Serialize};

/// Unit to which the rules on senders of singleton calls apply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutySubject {
    /// All usage reports.
    Usage,
    /// The number of servers of a service in a failure domain.
    Scaling(ServiceId, DomainId),
}

impl DutySubject {
    /// Name of the duty, for logs and metrics.
    pub const fn duty(&self) -> &'static str {
        match self {
            Self::Usage => "usage",
            Self::Scaling(..) => "scaling",
        }
    }
}

impl fmt::Display for DutySubject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage => formatter.write_str("usage"),
            Self::Scaling(service, domain) => write!(formatter, "scaling {service} {domain}"),
        }
    }
}

/// A singleton call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    /// Reports the requests of a window by team, sorted by team.
    Usage {
        /// Window of the report.
        window: WindowId,
        /// Requests that began to run in the window.
        counts: Vec<(TeamId, u64)>,
    },
    /// Sets the number of servers of a service in a failure domain.
    Scaling {
        /// Service whose servers are meant.
        service: ServiceId,
        /// Failure domain of the servers.
        domain: DomainId,
        /// Number of servers that are to run.
        desired: u32,
    },
}

impl DutyCall {
    /// Subject of the call.
    pub fn subject(&self) -> DutySubject {
        match self {
            Self::Usage { .. } => DutySubject::Usage,
            Self::Scaling { service, domain, .. } => DutySubject::Scaling(service.clone(), domain.clone()),
        }
    }
}

/// How a singleton call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The API took it.
    Accepted,
    /// The API took nothing, because there were too many calls or because it is down.
    Busy,
    /// The API refused the call itself.
    Refused,
    /// Nothing of the call was written.
    NotSent,
    /// There was no whole answer in time, or none that can be read. The call may have taken effect.
    InDoubt,
}

impl DutyAnswer {
    /// Name for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Busy => "busy",
            Self::Refused => "refused",
            Self::NotSent => "not_sent",
            Self::InDoubt => "in_doubt",
        }
    }
}
