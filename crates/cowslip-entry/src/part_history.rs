//! What all known crashes say about one prompt part.

use cowslip_units::{ClockTime, PartId, UpstreamId};

use crate::crash_record::CrashRecord;
use crate::is_request_key;
use crate::survival_watch::SURVIVAL_MS;
use crate::suspect_list::FULL_BLAME;

/// Crashes this close in ms count as one event: a failure of a whole failure domain ends many upstreams at
/// once, and says no more about a part than the end of one of them.
const SAME_EVENT_MS: u64 = 50;

/// Events from which a part is quarantined.
const MIN_EVENTS: u32 = 2;

/// Events from which a part in use is quarantined: a part that many requests share is at most crashes without being
/// their cause.
const MIN_EVENTS_IN_USE: u32 = 3;

/// Events from which a part that no upstream was seen to survive is quarantined, whatever else was at the upstreams that
/// ended.
const MAX_PART_EVENTS: u32 = 4;

/// Time in ms after the first crash for which a part in use is not quarantined: the next answer on it that an upstream
/// survives clears it.
const IN_USE_MS: u64 = 2_000 + SURVIVAL_MS;

/// Events from which a request is quarantined whatever else was at the upstreams that ended: nothing but the request
/// itself is refused for that.
const MAX_REQUEST_EVENTS: u32 = 3;

/// Blame in thousandths from which a part is quarantined: that of one crash and half of another.
const MIN_BLAME: u32 = FULL_BLAME * 3 / 2;

/// First time in ms after the last crash for which a part is quarantined.
const QUARANTINE_MS: u64 = 20_000;

/// Time in ms after the last crash from which a part is tried again that was seen in one request only: the cause may be
/// something else in it.
const SINGLE_REQUEST_MS: u64 = 8_000;

/// Largest number of times that the quarantine time is doubled.
const MAX_DOUBLINGS: u32 = 7;

/// What is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectKind {
    /// A prompt part that no upstream was seen to survive.
    RarePart,
    /// A prompt part that many requests share.
    PartInUse,
    /// One request that comes again.
    Request,
}

/// Crashes in which a part is suspected, since an upstream last survived it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartHistory {
    /// Times of the crashes, each event once; for a prompt part, those under a request that was at none before. Not empty.
    pub events: Vec<ClockTime>,
    /// Sum of the part's shares in them, in thousandths.
    pub blame: u32,
    /// Time of the last crash.
    pub last_at: ClockTime,
    /// Prompt parts that all its suspected requests have, sorted.
    pub common: Vec<PartId>,
    /// Upstreams that ended, in order.
    pub upstreams: Vec<UpstreamId>,
    /// True when a suspected request waited for the begin of its answer.
    pub has_waited: bool,
    /// True for a prompt part of which all suspects are one request, sent several times.
    pub is_single_request: bool,
}

impl PartHistory {
    /// History of a part from the crashes in which it is suspected; `None` when there is none.
    pub fn new<'a>(part: &PartId, records: impl Iterator<Item = &'a CrashRecord>) -> Option<Self> {
        let mut records: Vec<&CrashRecord> = records.filter(|record| record.has_part(part)).collect();
        records.sort_by_key(|record| record.at);
        let mut events: Vec<ClockTime> = Vec::new();
        let (mut blame, mut event_blame) = (0, 0);
        let mut requests: Vec<&PartId> = Vec::new();
        for record in &records {
            let has_new_request = has_new_request(record, part, &mut requests);
            // A request that is sent again says more about its parts only where nothing else can be the cause.
            if !is_request_key(part) && !has_new_request && record.waiting.blame(part) < FULL_BLAME {
                continue;
            }
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
            is_single_request: !is_request_key(part) && is_single_request(&records, part),
            has_waited: records.iter().any(|record| record.waiting.has_part(part)),
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

    /// Time from which the crashes are enough to quarantine the part; `None` when they are not.
    pub fn confirmed_at(&self, kind: SuspectKind) -> Option<ClockTime> {
        let decisive = |events: u32| self.events.get(events as usize - 1).copied();
        match kind {
            SuspectKind::RarePart => {
                let early = decisive(MIN_EVENTS).filter(|_| self.blame >= MIN_BLAME);
                early.or_else(|| decisive(MAX_PART_EVENTS))
            }
            SuspectKind::PartInUse => {
                let decisive = decisive(MIN_EVENTS_IN_USE).filter(|_| self.blame >= MIN_BLAME)?;
                Some(self.first_at().plus_ms(IN_USE_MS).max(decisive))
            }
            SuspectKind::Request => {
                let early = decisive(MIN_EVENTS).filter(|_| self.blame >= MIN_BLAME);
                early.or_else(|| decisive(MAX_REQUEST_EVENTS))
            }
        }
    }

    /// True when requests with the part need no care yet.
    pub fn is_exempt(&self, kind: SuspectKind, now: ClockTime) -> bool {
        match kind {
            SuspectKind::RarePart => !self.has_waited && self.event_count() < MIN_EVENTS,
            SuspectKind::PartInUse => {
                self.event_count() < MIN_EVENTS_IN_USE || now < self.first_at().plus_ms(IN_USE_MS)
            }
            SuspectKind::Request => self.event_count() < MIN_EVENTS,
        }
    }

    /// True when a request with these sorted parts has all that the suspected ones have in common. Parts that were never seen
    /// apart are quarantined together, and tried apart.
    pub fn is_common_to(&self, parts: &[PartId]) -> bool {
        self.common.iter().all(|common| parts.binary_search(common).is_ok())
    }

    /// Time in ms after the last crash for which the part is quarantined. It doubles with each crash after the
    /// ones that convicted it, which a trial has caused.
    pub fn quarantine_ms(&self) -> u64 {
        QUARANTINE_MS << self.event_count().saturating_sub(MIN_EVENTS).min(MAX_DOUBLINGS)
    }

    /// Time from which the part is tried again.
    pub fn tried_from(&self) -> ClockTime {
        let wait_ms = if self.is_single_request { SINGLE_REQUEST_MS } else { self.quarantine_ms() };
        self.last_at.plus_ms(wait_ms)
    }

    /// Time from which the part is no longer quarantined. The quarantine time is followed by another one in which only
    /// one gateway tries the part.
    pub fn released_at(&self) -> ClockTime {
        self.last_at.plus_ms(2 * self.quarantine_ms())
    }
}

/// True when all suspects with that part are one request.
fn is_single_request(records: &[&CrashRecord], part: &PartId) -> bool {
    let suspects = records.iter().flat_map(|record| record.suspects_with(part));
    let mut keys = suspects.map(|parts| parts.iter().find(|part| is_request_key(part)));
    let first = keys.next().flatten();
    first.is_some() && keys.all(|key| key == first)
}

/// True when a suspect with that part is not among `requests`, to which all are added.
fn has_new_request<'a>(record: &'a CrashRecord, part: &'a PartId, requests: &mut Vec<&'a PartId>) -> bool {
    let mut has_new = false;
    for parts in record.suspects_with(part) {
        let key = parts.iter().find(|part| is_request_key(part));
        has_new |= key.is_none_or(|key| !requests.contains(&key));
        requests.extend(key);
    }
    has_new
}

/// Prompt parts that all these suspects have.
fn common_parts<'a>(mut suspects: impl Iterator<Item = &'a Vec<PartId>>) -> Vec<PartId> {
    let mut common = suspects.next().cloned().unwrap_or_default();
    common.retain(|part| !is_request_key(part));
    for parts in suspects {
        common.retain(|known| parts.binary_search(known).is_ok());
    }
    common
}
