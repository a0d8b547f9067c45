//! The leader's windows and mean speeds of all upstreams that are paced, from the reports of all gateways.
//!
//! Load this answers: with a hundred gateways and engines, each gateway sees an answer of one engine every half a
//! minute. Only all of them together see enough to pace an engine that has just started. Lines change seldom, and an
//! answer carries those that changed after the gateway's cursor.

use cowslip_units::{ClockTime, UpstreamId};

use crate::{AnswerCounts, ChangeLog, KnownUpstream, PaceLine, PaceWindow, WorkLine};

/// Step in percent to which published speeds are rounded, so that lines change seldom.
const FACTOR_STEP: f64 = 10.0;

/// Weight of the newest factor in the mean, once there are enough of them.
const NEWEST_WEIGHT: f64 = 0.05;

/// Window and speed of one upstream.
#[derive(Clone, Debug, PartialEq)]
struct PacedUpstream {
    id: UpstreamId,
    born: u64,
    slots: u32,
    window: PaceWindow,
    /// Mean of the stated factors in percent, and their number.
    factor: f64,
    factors: f64,
}

/// Windows and speeds of a fleet's upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetPace {
    /// Sorted by id.
    upstreams: Vec<PacedUpstream>,
    log: ChangeLog<UpstreamId, PaceLine>,
}

impl FleetPace {
    /// Adds what a gateway reports of its answers.
    pub fn record(&mut self, work: &[WorkLine], now: ClockTime) {
        for line in work {
            let found = self.upstreams.binary_search_by(|known| known.id.cmp(&line.upstream)).ok();
            let Some(known) = found.and_then(|at| self.upstreams.get_mut(at)) else { continue };
            if known.born != line.born {
                continue;
            }
            let counts = AnswerCounts { good: line.good, bad: line.bad, rejected: line.rejected };
            known.window.record(counts, known.slots, now);
            known.record_factors(line);
        }
    }

    /// Makes the windows those of the present upstreams, and publishes them. A new one begins with the window that
    /// this gateway has for it: that of an earlier leader, or the low one of an upstream that has just started.
    pub fn sync<'a>(&mut self, present: impl Iterator<Item = &'a KnownUpstream>, now: ClockTime) {
        let mut upstreams: Vec<PacedUpstream> = Vec::with_capacity(self.upstreams.len());
        for known in present {
            let entry = &known.entry;
            let before = self.upstreams.binary_search_by(|paced| paced.id.cmp(&entry.id)).ok();
            let before = before.and_then(|at| self.upstreams.get(at));
            let kept = before.filter(|paced| paced.born == entry.born && paced.slots == entry.slots);
            let mut paced = kept.cloned().unwrap_or_else(|| PacedUpstream {
                id: entry.id.clone(),
                born: entry.born,
                slots: entry.slots,
                window: known.work.pace,
                factor: before.map_or(0.0, |paced| paced.factor),
                factors: before.map_or(0.0, |paced| paced.factors),
            });
            paced.window.probe(paced.slots, now);
            upstreams.push(paced);
        }
        upstreams.sort_by(|left, right| left.id.cmp(&right.id));
        self.upstreams = upstreams;
        self.log.sync(self.upstreams.iter().map(|paced| (paced.id.clone(), paced.line())));
    }

    /// Lines that changed after `cursor`.
    pub fn lines_since(&self, cursor: u64) -> Vec<PaceLine> {
        self.log.newer(cursor).filter_map(|(_, line)| line.clone()).collect()
    }

    /// Cursor of the newest change.
    pub fn cursor(&self) -> u64 {
        self.log.cursor()
    }
}

impl PacedUpstream {
    fn record_factors(&mut self, line: &WorkLine) {
        if line.factors == 0 {
            return;
        }
        let reported = f64::from(line.factors);
        self.factors += reported;
        let mean = line.factor_sum as f64 / reported;
        let weight = (reported / self.factors).max((NEWEST_WEIGHT * reported).min(1.0));
        self.factor += (mean - self.factor) * weight;
    }

    fn line(&self) -> PaceLine {
        let factor = (self.factor / FACTOR_STEP).round() * FACTOR_STEP;
        PaceLine {
            upstream: self.id.clone(),
            born: self.born,
            calls: self.window.calls(self.slots),
            factor: (self.factors > 0.0).then_some(factor.max(1.0) as u32),
        }
    }
}
