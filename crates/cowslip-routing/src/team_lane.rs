//! The waiting requests of one team in one class.

use std::collections::BTreeMap;

use cowslip_units::{ClockTime, TeamId};

use crate::{QueueTicket, WaitTarget, WaitingRequest};

/// Order within a team: earliest deadline first, then order of arrival.
type LaneKey = (ClockTime, QueueTicket);

/// One team's requests by target, and its deficit in the round robin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TeamLane {
    pub(crate) team: Option<TeamId>,
    /// Tokens the team may still send in its turn.
    pub(crate) deficit: u64,
    /// True once the quantum of the present turn was added to the deficit.
    pub(crate) quantum_added: bool,
    targets: BTreeMap<WaitTarget, BTreeMap<LaneKey, WaitingRequest>>,
}

impl TeamLane {
    pub(crate) fn new(team: Option<TeamId>) -> Self {
        Self { team, deficit: 0, quantum_added: false, targets: BTreeMap::new() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    pub(crate) fn push(&mut self, request: WaitingRequest) {
        let key = (request.deadline, request.ticket);
        self.targets.entry(request.target.clone()).or_default().insert(key, request);
    }

    /// The request with the earliest deadline among those whose target is `ready`.
    pub(crate) fn head(&self, ready: &mut impl FnMut(&WaitTarget) -> bool) -> Option<&WaitingRequest> {
        let heads = self.targets.iter().filter_map(|(target, requests)| {
            let (key, request) = requests.first_key_value()?;
            ready(target).then_some((key, request))
        });
        heads.min_by_key(|(key, _)| **key).map(|(_, request)| request)
    }

    pub(crate) fn remove(&mut self, request: &WaitingRequest) -> Option<WaitingRequest> {
        let requests = self.targets.get_mut(&request.target)?;
        let removed = requests.remove(&(request.deadline, request.ticket));
        if requests.is_empty() {
            self.targets.remove(&request.target);
        }
        removed
    }

    /// Requests for `target` in order of dispatch.
    pub(crate) fn requests(&self, target: &WaitTarget) -> impl Iterator<Item = &WaitingRequest> {
        self.targets.get(target).into_iter().flat_map(BTreeMap::values)
    }

    /// Number of requests for `target`.
    pub(crate) fn count(&self, target: &WaitTarget) -> usize {
        self.targets.get(target).map_or(0, BTreeMap::len)
    }

    /// Targets with waiting requests.
    pub(crate) fn targets(&self) -> impl Iterator<Item = &WaitTarget> {
        self.targets.keys()
    }
}
