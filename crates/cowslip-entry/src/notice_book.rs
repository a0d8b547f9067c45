//! What upstreams say of themselves in their answers to this gateway.
//!
//! An upstream that leaves says so in all its answers, and one that is overloaded says for how long it wants nothing. That
//! holds here whatever the store, the leader or another gateway's copy say from before: a leaving upstream stays so
//! until it has started anew, an overloaded one until its time is over.
//!
//! Load this answers: an upstream that leaves or is overloaded while the store is away or late, and many requests and
//! VMs that would come back to it in one moment.

use cowslip_units::{ClockTime, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::UpstreamEntry;

/// Time in ms for which what an upstream said is kept after it was last heard of: no start lasts without an answer for
/// so long.
const KEEP_MS: u64 = 3_600_000;

/// Returns are spread over this part of the time that was to be waited.
const SPREAD_PART: u64 = 4;

/// Longest time in ms over which returns are spread.
const MOST_SPREAD_MS: u64 = 1_000;

/// One start of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamStart {
    /// The upstream.
    pub id: UpstreamId,
    /// Unix time in ms at which it started.
    pub born: u64,
}

/// What an answer says of the upstream that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerNotice {
    /// True when it leaves.
    pub leaving: bool,
    /// Time in ms for which it wants nothing more from this gateway.
    pub away_ms: Option<u64>,
}

impl AnswerNotice {
    /// True when the answer says nothing of its upstream.
    pub const fn is_empty(&self) -> bool {
        !self.leaving && self.away_ms.is_none()
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KnownNotice {
    start: UpstreamStart,
    leaving: bool,
    away_until: ClockTime,
    noted_at: ClockTime,
}

/// What upstreams have said, sorted by upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NoticeBook {
    notices: Vec<KnownNotice>,
}

impl NoticeBook {
    fn find(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.notices.binary_search_by(|notice| notice.start.id.cmp(id))
    }

    fn get(&self, entry: &UpstreamEntry) -> Option<&KnownNotice> {
        let notice = self.notices.get(self.find(&entry.id).ok()?)?;
        (notice.start.born == entry.born).then_some(notice)
    }

    /// Takes what an answer of `start` said. What an earlier start said no longer counts.
    pub fn note(&mut self, start: &UpstreamStart, notice: AnswerNotice, now: ClockTime) {
        if notice.is_empty() {
            return;
        }
        self.notices.retain(|known| now.since_ms(known.noted_at) < KEEP_MS || known.away_until > now);
        let at = match self.find(&start.id) {
            Ok(at) => at,
            Err(at) => {
                self.notices.insert(at, KnownNotice::new(start.clone(), now));
                at
            }
        };
        let Some(known) = self.notices.get_mut(at) else { return };
        if known.start.born < start.born {
            *known = KnownNotice::new(start.clone(), now);
        }
        if known.start.born == start.born {
            known.take(notice, now);
        }
    }

    /// Forgets what other starts of that upstream said.
    pub fn forget_others(&mut self, start: &UpstreamStart) {
        self.notices.retain(|known| known.start.id != start.id || known.start.born == start.born);
    }

    /// True when the upstream has said that it leaves.
    pub fn leaves(&self, entry: &UpstreamEntry) -> bool {
        self.get(entry).is_some_and(|notice| notice.leaving)
    }

    /// Time in ms for which the upstream wants nothing from this gateway.
    pub fn away_ms(&self, entry: &UpstreamEntry, now: ClockTime) -> u64 {
        self.get(entry).map_or(0, |notice| notice.away_until.since_ms(now))
    }

    /// Upstreams that have said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamStart> {
        self.notices.iter().filter(|notice| notice.leaving).map(|notice| &notice.start)
    }

    /// Number of upstreams that want nothing from this gateway now.
    pub fn away_count(&self, now: ClockTime) -> usize {
        self.notices.iter().filter(|notice| notice.away_until > now).count()
    }
}

impl KnownNotice {
    const fn new(start: UpstreamStart, now: ClockTime) -> Self {
        Self { start, leaving: false, away_until: ClockTime::ZERO, noted_at: now }
    }

    fn take(&mut self, notice: AnswerNotice, now: ClockTime) {
        self.noted_at = now;
        self.leaving |= notice.leaving;
        if let Some(away_ms) = notice.away_ms {
            self.away_until = self.away_until.max(now.plus_ms(away_ms));
        }
    }
}

/// A time in ms not before `wait_ms` at which one of many comes back; `draw` tells them apart.
pub fn jittered_ms(wait_ms: u64, draw: u64) -> u64 {
    wait_ms + draw % (wait_ms / SPREAD_PART).clamp(1, MOST_SPREAD_MS)
}
