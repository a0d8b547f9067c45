//! A prompt part that is quarantined, and why.

use std::fmt;

use cowslip_units::{ClockTime, PartId, UpstreamId};

use crate::part_history::PartHistory;

/// Upstreams named in a text.
const MAX_NAMED: usize = 8;

/// A prompt part that no request may carry to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartId,
    /// Crashes at different times under it.
    pub events: u32,
    /// Time of the last one.
    pub last_at: ClockTime,
    /// Time until which it is quarantined.
    pub until: ClockTime,
    /// Upstreams that ended.
    pub upstreams: Vec<UpstreamId>,
}

impl QuarantinedPart {
    /// A part that is quarantined for its history.
    pub fn new(part: &PartId, history: PartHistory) -> Self {
        Self {
            part: part.clone(),
            events: history.event_count(),
            last_at: history.last_at,
            until: history.released_at(),
            upstreams: history.upstreams,
        }
    }

    /// Upstreams that ended, as one text for logs.
    pub fn upstreams_text(&self) -> String {
        let named = self.upstreams.iter().rev().take(MAX_NAMED);
        named.map(UpstreamId::as_str).collect::<Vec<_>>().join(" ")
    }
}

impl fmt::Display for QuarantinedPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {} crashes", self.part, self.events)
    }
}
