//! What the known crashes mean for a request with certain prompt parts.

use cowslip_units::{ClockTime, PartId};

use crate::QuarantinedPart;

/// Assessment of the shared prompt parts of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartAssessment {
    /// None of them is suspected.
    Clear,
    /// Some are suspected: the request may be sent with care.
    Suspected(SuspectedParts),
    /// One of them is quarantined.
    Quarantined(QuarantinedPart),
}

/// Suspected parts of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectedParts {
    /// The parts, sorted.
    pub parts: Vec<PartId>,
    /// Time from which a request that waited at the crashed upstream may be sent again.
    pub retry_from: ClockTime,
    /// Time from which other requests may be sent.
    pub others_from: ClockTime,
}
