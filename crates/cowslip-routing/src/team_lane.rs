//! The waiting requests of one team in one level.

use std::collections::BTreeMap;

use cowslip_units::TeamId;

use crate::QueueEntry;

/// Requests in order of dispatch, by target.
type TargetMap<E> = BTreeMap<<E as QueueEntry>::Target, BTreeMap<<E as QueueEntry>::Order, E>>;

/// One team's requests by target, and its deficit in the round robin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TeamLane<E: QueueEntry> {
    pub(crate) team: Option<TeamId>,
    /// Tokens the team may still send in its turn.
    pub(crate) deficit: u64,
    /// True once the quantum of the present turn was added to the deficit.
    pub(crate) quantum_added: bool,
    targets: TargetMap<E>,
}

impl<E: QueueEntry> TeamLane<E> {
    pub(crate) fn new(team: Option<TeamId>) -> Self {
        Self { team, deficit: 0, quantum_added: false, targets: BTreeMap::new() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    pub(crate) fn push(&mut self, request: E) {
        self.targets.entry(request.target().clone()).or_default().insert(request.order(), request);
    }

    /// The first request in order among those whose target is `ready`.
    pub(crate) fn head(&self, ready: &mut impl FnMut(&E::Target) -> bool) -> Option<&E> {
        let heads = self.targets.iter().filter_map(|(target, requests)| {
            let (key, request) = requests.first_key_value()?;
            ready(target).then_some((key, request))
        });
        heads.min_by_key(|(key, _)| **key).map(|(_, request)| request)
    }

    pub(crate) fn remove(&mut self, request: &E) -> Option<E> {
        let requests = self.targets.get_mut(request.target())?;
        let removed = requests.remove(&request.order());
        if requests.is_empty() {
            self.targets.remove(request.target());
        }
        removed
    }

    /// Requests for `target` in order of dispatch.
    pub(crate) fn requests(&self, target: &E::Target) -> impl Iterator<Item = &E> {
        self.targets.get(target).into_iter().flat_map(BTreeMap::values)
    }

    /// Number of requests for `target`.
    pub(crate) fn count(&self, target: &E::Target) -> usize {
        self.targets.get(target).map_or(0, BTreeMap::len)
    }

    /// Number of requests for the same target that are before `request` in order.
    pub(crate) fn count_before(&self, request: &E) -> usize {
        self.targets.get(request.target()).map_or(0, |requests| requests.range(..request.order()).count())
    }

    /// Targets with waiting requests.
    pub(crate) fn targets(&self) -> impl Iterator<Item = &E::Target> {
        self.targets.keys()
    }
}
