//! Constructors for ids, members and change records.

use cowslip_messages::{ChangeRecord, FleetChange, MemberEntry};
use cowslip_units::{
    AttemptId, ChangeId, ClockTime, IncarnationId, KeyDigest, TeamId, UpstreamId, ViewVersion,
};

pub(crate) fn at(millis: u64) -> ClockTime {
    ClockTime::new(millis)
}

/// Reading of a clock that advances `per_10_000` ms in 10 s.
pub(crate) fn drifting(now: u64, offset: u64, per_10_000: u64) -> ClockTime {
    ClockTime::new(offset + now * per_10_000 / 10_000)
}

pub(crate) fn node(name: &str) -> IncarnationId {
    IncarnationId::new(name).unwrap()
}

pub(crate) fn team(name: &str) -> TeamId {
    TeamId::new(name).unwrap()
}

pub(crate) fn upstream(name: &str) -> UpstreamId {
    UpstreamId::new(name).unwrap()
}

pub(crate) fn attempt(name: &str) -> AttemptId {
    AttemptId::new(name).unwrap()
}

pub(crate) fn digest(number: u8) -> KeyDigest {
    KeyDigest::new([number; 32])
}

pub(crate) fn member(name: &str) -> MemberEntry {
    MemberEntry {
        incarnation: node(name),
        vm: name.split(':').next().unwrap().parse().unwrap(),
        domain: "d1".parse().unwrap(),
        rpc_addr: "127.0.0.1:1".parse().unwrap(),
    }
}

pub(crate) fn members(names: &[&str]) -> FleetChange {
    let mut members: Vec<_> = names.iter().map(|name| member(name)).collect();
    members.sort();
    FleetChange::MembersSet { members }
}

pub(crate) fn change_id(name: &str) -> ChangeId {
    ChangeId::new(name).unwrap()
}

pub(crate) fn record(version: u64, change: FleetChange) -> ChangeRecord {
    ChangeRecord {
        version: ViewVersion::new(version),
        change_id: change_id(&format!("c{version}")),
        author: "test".into(),
        change,
    }
}
