//! Messages between gateways about crashes, and the stored form of the parts that are quarantined.

use cowslip_units::PartId;
use serde::{Deserialize, Serialize};

use crate::{UpstreamStart, pair_weight, text_hash};

/// The end of one incarnation of an upstream, and its suspects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashLine {
    /// Incarnation that ended.
    pub start: UpstreamStart,
    /// Time in ms since the end.
    pub age_ms: u64,
    /// Shared prompt parts and key of each suspected request that waited for the begin of its answer.
    pub suspects: Vec<Vec<PartId>>,
    /// The same of each suspected request whose answer had begun.
    #[serde(default)]
    pub begun: Vec<Vec<PartId>>,
    /// Parts of suspected requests that an upstream survived after the end.
    pub cleared: Vec<PartId>,
}

/// What one gateway knows of some or all crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashLogCopy {
    /// The crashes, sorted by incarnation.
    pub crashes: Vec<CrashLine>,
}

impl CrashLogCopy {
    /// True for a copy without crashes.
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Hash of the crashes; zero when there are none. Copies of equal logs have equal digests.
    pub fn digest(&self) -> u64 {
        self.crashes.iter().fold(0, |digest, line| {
            let digest = mix(mix(digest, text_hash(line.start.id.as_str())), line.start.born);
            let suspects = line.suspects.iter().chain(&line.begun);
            let digest = suspects.fold(digest, |digest, parts| mix_parts(digest, parts));
            let digest = mix(mix(digest, line.suspects.len() as u64), line.begun.len() as u64);
            mix_parts(digest, &line.cleared)
        })
    }
}

fn mix(digest: u64, value: u64) -> u64 {
    pair_weight(digest.wrapping_add(1), value)
}

fn mix_parts(digest: u64, parts: &[PartId]) -> u64 {
    let digest = mix(digest, parts.len() as u64);
    parts.iter().fold(digest, |digest, part| mix(digest, text_hash(part.as_str())))
}
