//! One level of a queue: deficit round robin between teams.

use std::collections::VecDeque;

use crate::QueueEntry;
use crate::team_lane::TeamLane;

/// Tokens added to a team's deficit in each turn. About one short chat request, so that turns are short;
/// larger requests accumulate deficit over several turns.
const QUANTUM_TOKENS: u64 = 1_024;

/// Teams in the order of their turns; it is the first lane's turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClassQueue<E: QueueEntry> {
    lanes: VecDeque<TeamLane<E>>,
}

impl<E: QueueEntry> Default for ClassQueue<E> {
    fn default() -> Self {
        Self { lanes: VecDeque::new() }
    }
}

impl<E: QueueEntry> ClassQueue<E> {
    pub(crate) fn push(&mut self, request: E) {
        match self.lanes.iter_mut().find(|lane| lane.team.as_ref() == request.team()) {
            Some(lane) => lane.push(request),
            None => {
                let mut lane = TeamLane::new(request.team().cloned());
                lane.push(request);
                self.lanes.push_back(lane);
            }
        }
    }

    pub(crate) fn remove(&mut self, request: &E) -> Option<E> {
        let at = self.lanes.iter().position(|lane| lane.team.as_ref() == request.team())?;
        let lane = self.lanes.get_mut(at)?;
        let removed = lane.remove(request);
        if lane.is_empty() {
            self.lanes.remove(at);
        }
        removed
    }

    pub(crate) fn has_ready(&self, ready: &mut impl FnMut(&E::Target) -> bool) -> bool {
        self.lanes.iter().any(|lane| lane.head(ready).is_some())
    }

    /// Takes the next request by turn among those whose target is `ready`.
    pub(crate) fn pick(&mut self, ready: &mut impl FnMut(&E::Target) -> bool) -> Option<E> {
        if let Some(only_lane) = self.only_ready_lane(ready) {
            return self.take_uncontended(only_lane, ready);
        }
        loop {
            for _ in 0..self.lanes.len() {
                if let Some(request) = self.try_first(ready) {
                    return Some(request);
                }
                if let Some(lane) = self.lanes.front_mut() {
                    lane.quantum_added = false;
                }
                self.lanes.rotate_left(1);
            }
            self.skip_rounds(ready)?;
        }
    }

    /// Index of the only lane that has a ready request; `None` when several lanes have one, or none has.
    fn only_ready_lane(&self, ready: &mut impl FnMut(&E::Target) -> bool) -> Option<usize> {
        let mut lanes = self.lanes.iter().enumerate().filter(|(_, lane)| lane.head(ready).is_some());
        let (at, _) = lanes.next()?;
        lanes.next().is_none().then_some(at)
    }

    /// Takes a request that no other team competes with. Its cost is not charged and no quantum is added: the
    /// rest of a quantum earned at a target without contention would be spent ahead of other teams at a
    /// contended one.
    fn take_uncontended(&mut self, at: usize, ready: &mut impl FnMut(&E::Target) -> bool) -> Option<E> {
        let lane = self.lanes.get_mut(at)?;
        let head = lane.head(ready)?.clone();
        let taken = lane.remove(&head);
        if lane.is_empty() {
            self.lanes.remove(at);
        }
        taken
    }

    fn try_first(&mut self, ready: &mut impl FnMut(&E::Target) -> bool) -> Option<E> {
        let lane = self.lanes.front_mut()?;
        let head = lane.head(ready)?.clone();
        if !lane.quantum_added {
            lane.quantum_added = true;
            lane.deficit = lane.deficit.saturating_add(QUANTUM_TOKENS);
        }
        if lane.deficit < head.cost().get() {
            return None;
        }
        lane.deficit -= head.cost().get();
        let taken = lane.remove(&head);
        if lane.is_empty() {
            // A team without waiting requests keeps no deficit; otherwise it could accumulate a burst.
            self.lanes.pop_front();
        }
        taken
    }

    /// Adds in one step the quanta of all rounds in which no team could send; `None` when nothing is ready.
    fn skip_rounds(&mut self, ready: &mut impl FnMut(&E::Target) -> bool) -> Option<()> {
        let missing =
            |lane: &TeamLane<E>, cost: u64| cost.saturating_sub(lane.deficit).div_ceil(QUANTUM_TOKENS);
        let mut waiting = Vec::new();
        let mut min_rounds = u64::MAX;
        for (at, lane) in self.lanes.iter().enumerate() {
            if let Some(head) = lane.head(ready) {
                min_rounds = min_rounds.min(missing(lane, head.cost().get()));
                waiting.push(at);
            }
        }
        let extra = min_rounds.saturating_sub(1).saturating_mul(QUANTUM_TOKENS);
        for at in &waiting {
            if let Some(lane) = self.lanes.get_mut(*at) {
                lane.deficit = lane.deficit.saturating_add(extra);
            }
        }
        (!waiting.is_empty()).then_some(())
    }

    /// Collects the rejections that `rejection` returns, given the expected number of requests dispatched
    /// before each. A rejected request is not counted before later ones of its team, which may be served
    /// because it is rejected.
    pub(crate) fn collect_rejections<R>(&self, mut rejection: impl FnMut(&E, u64) -> Option<R>) -> Vec<R> {
        let mut rejections = Vec::new();
        for lane in &self.lanes {
            for target in lane.targets() {
                let others: Vec<u64> = self
                    .lanes
                    .iter()
                    .filter(|other| other.team != lane.team)
                    .map(|other| other.count(target) as u64)
                    .collect();
                let mut kept = 0;
                for request in lane.requests(target) {
                    // Teams take turns, so another team gets at most as many requests ahead as this one.
                    let turns: u64 = others.iter().map(|count| (*count).min(kept)).sum();
                    match rejection(request, kept + turns) {
                        Some(rejected) => rejections.push(rejected),
                        None => kept += 1,
                    }
                }
            }
        }
        rejections
    }

    /// Number of requests for `target`.
    pub(crate) fn count(&self, target: &E::Target) -> u64 {
        self.lanes.iter().map(|lane| lane.count(target) as u64).sum()
    }

    /// Expected number of requests for the same target that are dispatched before `request`.
    pub(crate) fn position(&self, request: &E) -> u64 {
        let is_own = |lane: &&TeamLane<E>| lane.team.as_ref() == request.team();
        let own = self.lanes.iter().find(is_own);
        let before = own.map_or(0, |lane| lane.count_before(request) as u64);
        let others = self.lanes.iter().filter(|lane| !is_own(lane));
        // Teams take turns, so another team gets at most one request more than this one ahead of it.
        let turns: u64 = others.map(|lane| (lane.count(request.target()) as u64).min(before + 1)).sum();
        before + turns
    }
}
