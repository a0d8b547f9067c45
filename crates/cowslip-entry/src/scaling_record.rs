//! The numbers of servers as they were last ordered, in the form in which the store keeps them.

use cowslip_units::{DomainId, FencingToken, ServiceId};
use serde::{Deserialize, Serialize};

/// Number of servers of a service in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedNumber {
    /// Service that the servers belong to.
    pub service: ServiceId,
    /// Failure domain that they run in.
    pub domain: DomainId,
    /// Number as last ordered.
    pub desired: u32,
    /// True once an order of this number was answered; another one is in doubt and is repeated.
    #[serde(default)]
    pub answered: bool,
}

/// All numbers, with the leader that wrote them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScalingRecord {
    /// Fencing token of the leader that wrote it.
    pub fence: FencingToken,
    /// Numbers, sorted by service and failure domain.
    pub numbers: Vec<RecordedNumber>,
}
