//! How many loads the weight store serves at once at full speed, by what loads have taken.
//!
//! Beyond that number each load takes longer in proportion, so more at once end no sooner together, and the first of them
//! much later. The platform does not tell the number, and deployments differ.

use cowslip_units::{ClockTime, ModelId, UpstreamId};

/// Part by which a load may take longer than it should and still count as one at full speed: its end is found out late.
const FULL_SPEED: f64 = 1.2;

/// A load that takes less than this part of its time did not come from the weight store.
const NEAR_SPEED: f64 = 0.6;

/// Weight of the newest load in the estimate.
const NEWEST_WEIGHT: f64 = 0.5;

/// A load under way.
#[derive(Clone, Debug, PartialEq)]
struct RunningLoad {
    upstream: UpstreamId,
    model: ModelId,
    begun_at: ClockTime,
    /// Sum of loads at once over time, in load-milliseconds, when it began.
    sum_then: f64,
}

/// The estimate, and the loads under way that it learns from.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSpeed {
    at_once: f64,
    running: Vec<RunningLoad>,
    sum: f64,
    summed_at: ClockTime,
}

impl StoreSpeed {
    /// An estimate that nothing was learnt for yet.
    pub fn new(at_once: usize, now: ClockTime) -> Self {
        Self { at_once: at_once as f64, running: Vec::new(), sum: 0.0, summed_at: now }
    }

    /// Loads that run at full speed at the same time.
    pub fn at_once(&self) -> usize {
        (self.at_once.round() as usize).max(1)
    }

    /// Time in ms that a load should take which begins now and takes `alone_ms` at full speed.
    pub fn expected_ms(&self, alone_ms: u64) -> u64 {
        let part = (self.running.len() + 1) as f64 / self.at_once;
        (alone_ms as f64 * part.max(1.0)) as u64
    }

    fn pass(&mut self, now: ClockTime) {
        self.sum += self.running.len() as f64 * now.since_ms(self.summed_at) as f64;
        self.summed_at = now;
    }

    /// Takes the loads that run now. `ended` tells, of one that does not run any more, what it takes at full speed if it was
    /// carried out.
    pub fn follow(
        &mut self,
        loading: &[(&UpstreamId, &ModelId)],
        ended: impl Fn(&UpstreamId, &ModelId) -> Option<u64>,
        now: ClockTime,
    ) {
        self.pass(now);
        let known = |load: &RunningLoad| loading.contains(&(&load.upstream, &load.model));
        let (running, over): (Vec<RunningLoad>, Vec<RunningLoad>) =
            std::mem::take(&mut self.running).into_iter().partition(known);
        self.running = running;
        for load in over {
            if let Some(alone_ms) = ended(&load.upstream, &load.model) {
                self.learn(&load, alone_ms, now);
            }
        }
        for (upstream, model) in loading {
            let (upstream, model) = ((*upstream).clone(), (*model).clone());
            if !self.running.iter().any(|load| load.upstream == upstream) {
                self.running.push(RunningLoad { upstream, model, begun_at: now, sum_then: self.sum });
            }
        }
    }

    fn learn(&mut self, load: &RunningLoad, alone_ms: u64, now: ClockTime) {
        let took_ms = now.since_ms(load.begun_at) as f64;
        let slower = took_ms / alone_ms.max(1) as f64;
        let beside = (self.sum - load.sum_then) / took_ms.max(1.0);
        if slower > FULL_SPEED {
            let seen = (beside / slower).max(1.0);
            self.at_once += NEWEST_WEIGHT * (seen - self.at_once);
        } else if slower > NEAR_SPEED {
            self.at_once = self.at_once.max(beside);
        }
    }
}
