//! Notices in the answers of upstreams: announced shutdowns, and pauses of overloaded upstreams.
//!
//! A leaving upstream announces its shutdown in all its answers, and an overloaded one states for how long it
//! accepts no requests. A notice overrides older information from the store, the leader or another gateway:
//! an upstream stays leaving until it restarts, and paused until its time is over.
//!
//! Load this answers: an upstream that leaves or is overloaded while the store is unavailable or out of date,
//! and many requests and VMs that would all retry it at the same moment.

use cowslip_units::{ClockTime, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::UpstreamEntry;

/// Time in ms for which a notice is kept after the last one from that upstream: no incarnation runs for so
/// long without an answer.
const NOTICE_RETENTION_MS: u64 = 3_600_000;

/// Retries are spread over the pause divided by this.
const JITTER_DIVISOR: u64 = 4;

/// Longest time in ms over which retries are spread.
const MAX_JITTER_MS: u64 = 1_000;

/// One incarnation of an upstream, from a start to the next.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamStart {
    /// Upstream that was started.
    pub id: UpstreamId,
    /// Unix time in ms of the start.
    pub born: u64,
}

/// Notice in an answer about the upstream that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerNotice {
    /// True when the upstream announced its shutdown.
    pub leaving: bool,
    /// Time in ms for which it accepts no more requests of this gateway; `None` when it is not paused.
    pub paused_ms: Option<u64>,
}

impl AnswerNotice {
    /// True for an answer without a notice.
    pub const fn is_empty(&self) -> bool {
        !self.leaving && self.paused_ms.is_none()
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KnownNotice {
    start: UpstreamStart,
    leaving: bool,
    paused_until: ClockTime,
    recorded_at: ClockTime,
}

/// Notices of upstreams, sorted by upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NoticeTable {
    notices: Vec<KnownNotice>,
}

impl NoticeTable {
    fn find(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.notices.binary_search_by(|notice| notice.start.id.cmp(id))
    }

    fn get(&self, entry: &UpstreamEntry) -> Option<&KnownNotice> {
        let notice = self.notices.get(self.find(&entry.id).ok()?)?;
        (notice.start.born == entry.born).then_some(notice)
    }

    /// Records a notice of `start`. Notices of an earlier incarnation are dropped.
    pub fn record_notice(&mut self, start: &UpstreamStart, notice: AnswerNotice, now: ClockTime) {
        if notice.is_empty() {
            return;
        }
        self.notices.retain(|known| {
            now.since_ms(known.recorded_at) < NOTICE_RETENTION_MS || known.paused_until > now
        });
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
            known.apply(notice, now);
        }
    }

    /// Drops the notices of all other incarnations of that upstream.
    pub fn drop_others(&mut self, start: &UpstreamStart) {
        self.notices.retain(|known| known.start.id != start.id || known.start.born == start.born);
    }

    /// True when the upstream has announced its shutdown.
    pub fn is_leaving(&self, entry: &UpstreamEntry) -> bool {
        self.get(entry).is_some_and(|notice| notice.leaving)
    }

    /// Time in ms for which the upstream is still paused for this gateway; 0 when it is not.
    pub fn paused_ms(&self, entry: &UpstreamEntry, now: ClockTime) -> u64 {
        self.get(entry).map_or(0, |notice| notice.paused_until.since_ms(now))
    }

    /// Incarnations that have announced their shutdown.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamStart> {
        self.notices.iter().filter(|notice| notice.leaving).map(|notice| &notice.start)
    }

    /// Number of upstreams that are paused for this gateway now.
    pub fn paused_count(&self, now: ClockTime) -> usize {
        self.notices.iter().filter(|notice| notice.paused_until > now).count()
    }
}

impl KnownNotice {
    const fn new(start: UpstreamStart, now: ClockTime) -> Self {
        Self { start, leaving: false, paused_until: ClockTime::ZERO, recorded_at: now }
    }

    fn apply(&mut self, notice: AnswerNotice, now: ClockTime) {
        self.recorded_at = now;
        self.leaving |= notice.leaving;
        if let Some(paused_ms) = notice.paused_ms {
            self.paused_until = self.paused_until.max(now.plus_ms(paused_ms));
        }
    }
}

/// `wait_ms` with jitter on top; `draw` is a random number, different for each caller.
pub fn jittered_ms(wait_ms: u64, draw: u64) -> u64 {
    wait_ms + draw % (wait_ms / JITTER_DIVISOR).clamp(1, MAX_JITTER_MS)
}
