//! What all known crashes say about one prompt part.

use cowslip_units::{ClockTime, PartId, UpstreamId};

use crate::crash_record::{CrashRecord, FULL_BLAME};

/// Crashes this close in ms count as one event: a failure of a whole failure domain ends many upstreams at
/// once, and says no more about a part than the end of one of them.
const SAME_EVENT_MS: u64 = 50;

/// Events from which a part is quarantined.
const MIN_EVENTS: u32 = 2;

/// Events from which a part in use is quarantined: a part that many requests share is at most crashes without being
/// their cause.
const MIN_EVENTS_IN_USE: u32 = 3;

/// Time in ms after the first crash for which a part in use is not quarantined: the next answer that begins on it
/// clears it.
const IN_USE_MS: u64 = 2_000;

/// Blame in thousandths from which a part is quarantined: that of one crash and half of another.
const MIN_BLAME: u32 = FULL_BLAME * 3 / 2;

/// First time in ms after the last crash for which a part is quarantined.
const QUARANTINE_MS: u64 = 20_000;

/// Largest number of times that the quarantine time is doubled.
const MAX_DOUBLINGS: u32 = 7;

/// Crashes in which a part is suspected, since the last answer that began on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartHistory {
    /// Times of the crashes, each event once; not empty.
    pub events: Vec<ClockTime>,
    /// Sum of the part's shares in them, in thousandths.
    pub blame: u32,
    /// Time of the last crash.
    pub last_at: ClockTime,
    /// Parts that all its suspected requests have, including itself, sorted.
    pub common: Vec<PartId>,
    /// Upstreams that ended, in order.
    pub upstreams: Vec<UpstreamId>,
}

impl PartHistory {
    /// History of a part from the crashes in which it is suspected; `None` when there is none.
    pub fn new<'a>(part: &PartId, records: impl Iterator<Item = &'a CrashRecord>) -> Option<Self> {
        let mut records: Vec<&CrashRecord> = records.filter(|record| record.has_part(part)).collect();
        records.sort_by_key(|record| record.at);
        let mut events: Vec<ClockTime> = Vec::new();
        let (mut blame, mut event_blame) = (0, 0);
        for record in &records {
            if events.last().is_none_or(|at| record.at.since_ms(*at) >= SAME_EVENT_MS) {
                events.push(record.at);
                blame += event_blame;
                event_blame = 0;
            }
            event_blame = record.blame(part).max(event_blame);
        }
        Some(Self {
            events,
            blame: blame + event_blame,
            last_at: records.last()?.at,
            common: common_parts(records.iter().flat_map(|record| record.suspects_with(part))),
            upstreams: records.iter().map(|record| record.start.id.clone()).collect(),
        })
    }

    /// Number of crashes at different times.
    pub fn event_count(&self) -> u32 {
        u32::try_from(self.events.len()).unwrap_or(u32::MAX)
    }

    /// Time of the first crash.
    pub fn first_at(&self) -> ClockTime {
        self.events.first().copied().unwrap_or(self.last_at)
    }

    /// Time from which the crashes are enough to quarantine the part; `None` when they are not. `is_in_use` is true
    /// for a part on which answers began shortly before the first crash.
    pub fn confirmed_at(&self, is_in_use: bool) -> Option<ClockTime> {
        let min_events = if is_in_use { MIN_EVENTS_IN_USE } else { MIN_EVENTS };
        let decisive = self.events.get(min_events as usize - 1).filter(|_| self.blame >= MIN_BLAME)?;
        Some(if is_in_use { self.first_at().plus_ms(IN_USE_MS).max(*decisive) } else { *decisive })
    }

    /// True when requests with a part in use need no care yet.
    pub fn is_exempt(&self, now: ClockTime) -> bool {
        self.event_count() < MIN_EVENTS_IN_USE || now < self.first_at().plus_ms(IN_USE_MS)
    }

    /// Time in ms after the last crash for which the part is quarantined. It doubles with each crash after the
    /// ones that convicted it, which a trial has caused.
    pub fn quarantine_ms(&self) -> u64 {
        QUARANTINE_MS << self.event_count().saturating_sub(MIN_EVENTS).min(MAX_DOUBLINGS)
    }

    /// Time from which the part is no longer quarantined. The quarantine time is followed by another one in which only
    /// one gateway tries the part.
    pub fn released_at(&self) -> ClockTime {
        self.last_at.plus_ms(2 * self.quarantine_ms())
    }
}

/// Parts that all these suspects have.
fn common_parts<'a>(mut suspects: impl Iterator<Item = &'a Vec<PartId>>) -> Vec<PartId> {
    let mut common = suspects.next().cloned().unwrap_or_default();
    for parts in suspects {
        common.retain(|known| parts.binary_search(known).is_ok());
    }
    common
}
