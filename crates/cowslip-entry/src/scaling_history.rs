//! Load of a service over the last hold time.
//!
//! Load this answers: demand that comes and goes faster than servers boot. A burst of 2 s must order nothing: it is over
//! before a server could serve. Neither a wave nor a step may be taken for a trend: a trend lasts for longer than a wave
//! rises. A low of a wave must not remove servers: the largest need of a whole hold time counts.

use std::collections::VecDeque;

use cowslip_units::ClockTime;

/// Time in ms for which load must last to count: longer than a burst of 2 s and a report interval.
const SUSTAIN_MS: u64 = 3_000;

/// Time in ms of one of the averages that a trend is read from.
const TREND_STEP_MS: u64 = 2_500;

/// Number of rises between such averages, one after the other, that make a trend: together longer than waves with a
/// period of 11 s rise, and than a step shows in the averages.
const TREND_STEPS: u64 = 4;

/// Time in ms before now whose highest load a trend starts from: one period of the known waves.
const RECENT_MS: u64 = 11_000;

/// Largest forecast as a multiple of the highest recent load.
const MAX_GROWTH: f64 = 1.25;

/// Time in ms between two samples that are kept.
const SAMPLE_MS: u64 = 250;

/// Gap in ms from which earlier samples no longer count: the load in between is not known.
const MAX_GAP_MS: u64 = 5_000;

/// Load of a service at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MeasuredLoad {
    /// Requests that run, or wait for a slot.
    pub(crate) useful: f64,
    /// These and the requests that wait for a load of their model.
    pub(crate) total: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct LoadSample {
    at: ClockTime,
    /// Total load that lasted.
    sustained: f64,
    /// Servers needed, the largest since the sample before.
    needed: u32,
}

/// Load of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ScalingHistory {
    samples: VecDeque<LoadSample>,
    /// Load measured at each decision of the last moments.
    recent: VecDeque<(ClockTime, MeasuredLoad)>,
    started_at: ClockTime,
}

impl ScalingHistory {
    /// Records the load, and forgets what is older than `hold_ms`.
    pub(crate) fn record(&mut self, load: MeasuredLoad, hold_ms: u64, now: ClockTime) {
        let is_gap = self.recent.back().is_none_or(|(at, _)| now.since_ms(*at) > MAX_GAP_MS);
        if is_gap {
            *self = Self { started_at: now, ..Self::default() };
        }
        self.recent.push_back((now, load));
        // One older measurement is kept, so that the rest covers the whole time.
        while self.recent.get(1).is_some_and(|(at, _)| now.since_ms(*at) >= SUSTAIN_MS) {
            self.recent.pop_front();
        }
        let sustained = self.smallest(|load| load.total, now);
        let keep_ms = hold_ms.max((TREND_STEPS + 1) * TREND_STEP_MS);
        while self.samples.front().is_some_and(|sample| now.since_ms(sample.at) > keep_ms) {
            self.samples.pop_front();
        }
        match self.samples.back_mut() {
            Some(last) if now.since_ms(last.at) < SAMPLE_MS => last.sustained = sustained,
            _ => self.samples.push_back(LoadSample { at: now, sustained, needed: 0 }),
        }
    }

    /// Records the servers needed for the load last recorded.
    pub(crate) fn record_needed(&mut self, needed: u32) {
        if let Some(last) = self.samples.back_mut() {
            last.needed = last.needed.max(needed);
        }
    }

    /// Smallest load of requests that run, or wait for a slot, in the last moments; zero before they are covered.
    pub(crate) fn sustained(&self, now: ClockTime) -> f64 {
        self.smallest(|load| load.useful, now)
    }

    fn smallest(&self, value: impl Fn(&MeasuredLoad) -> f64, now: ClockTime) -> f64 {
        if !self.covers(SUSTAIN_MS, now) {
            return 0.0;
        }
        self.recent.iter().map(|(_, load)| value(load)).fold(f64::INFINITY, f64::min)
    }

    /// Load expected `horizon_ms` from now by its trend; zero without one.
    pub(crate) fn forecast(&self, horizon_ms: u64, now: ClockTime) -> f64 {
        if !self.covers((TREND_STEPS + 1) * TREND_STEP_MS + SUSTAIN_MS, now) {
            return 0.0;
        }
        let averages: Vec<f64> = (0..=TREND_STEPS).map(|steps| self.average(steps, now)).collect();
        let rises = averages.windows(2).map(|pair| pair[0] - pair[1]);
        let slope = rises.fold(f64::INFINITY, f64::min) / TREND_STEP_MS as f64;
        if slope <= 0.0 {
            return 0.0;
        }
        let highest = self.highest(now);
        (highest + slope * horizon_ms as f64).min(highest * MAX_GROWTH)
    }

    /// Average of the load that lasted, over the trend step that ended that many steps ago.
    fn average(&self, steps: u64, now: ClockTime) -> f64 {
        let until = now.minus_ms(steps * TREND_STEP_MS);
        let from = until.minus_ms(TREND_STEP_MS);
        let within = self.samples.iter().filter(|sample| sample.at > from && sample.at <= until);
        let (sum, count) =
            within.fold((0.0, 0_u32), |(sum, count), sample| (sum + sample.sustained, count + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }

    fn highest(&self, now: ClockTime) -> f64 {
        let recent = self.samples.iter().filter(|sample| now.since_ms(sample.at) < RECENT_MS);
        recent.map(|sample| sample.sustained).fold(0.0, f64::max)
    }

    /// Largest number of servers needed within `hold_ms`; `None` before that time is covered.
    pub(crate) fn hold_needed(&self, hold_ms: u64, now: ClockTime) -> Option<u32> {
        if !self.covers(hold_ms, now) {
            return None;
        }
        let within = self.samples.iter().filter(|sample| now.since_ms(sample.at) <= hold_ms);
        within.map(|sample| sample.needed).max()
    }

    fn covers(&self, span_ms: u64, now: ClockTime) -> bool {
        !self.recent.is_empty() && now.since_ms(self.started_at) >= span_ms
    }
}
