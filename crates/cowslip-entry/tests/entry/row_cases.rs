//! Reads of the stored row of quarantined parts: few, and soon enough.

use cowslip_entry::{FleetMembers, LeaderContact, RowSchedule, RowStep, report_interval_ms};
use cowslip_units::ClockTime;
use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};

use crate::fixtures::at;

/// Interval in ms between two checks of a gateway.
const CHECK_MS: u64 = 250;

/// Time in ms by which an answer of a leader may be late.
const LATE_MS: u64 = 400;

/// Time in ms for which a run lasts.
const RUN_MS: u64 = 60_000;

/// Plays one gateway of a fleet. `last_contact` gives the time of the leader's last answer; returns the times of the
/// reads. A read fails while the store is down.
fn reads_of(
    members: &[SmolStr],
    own: usize,
    is_store_down: bool,
    last_contact: impl Fn(u64) -> Option<u64>,
) -> Vec<u64> {
    let fleet = FleetMembers { own_name: &members[own], members };
    let mut schedule = RowSchedule::new();
    let mut reads = Vec::new();
    for now in (0..RUN_MS).step_by(CHECK_MS as usize) {
        let contact = LeaderContact { leads: false, last_at: last_contact(now).map(at) };
        if schedule.step(contact, fleet, at(now)) == RowStep::Read {
            reads.push(now);
            schedule.record_row(!is_store_down);
        }
    }
    reads
}

fn fleet_of(count: usize) -> Vec<SmolStr> {
    (0..count).map(|number| format_smolstr!("edge-{number}")).collect()
}

/// Guards against taking the time between two reports for the silence of a leader: each gateway of a large fleet would
/// read the store each second.
#[rstest]
fn a_gateway_with_a_leader_reads_nothing(#[values(1, 8, 85, 300, 1_000)] count: usize) {
    let members = fleet_of(count);
    let interval_ms = report_interval_ms(count);
    // The answer to a report counts from the time at which the report was sent, and may come late.
    let last_contact = |now: u64| Some(now.saturating_sub(LATE_MS) / interval_ms * interval_ms);
    let reads: usize = (0..count).map(|own| reads_of(&members, own, false, last_contact).len()).sum();
    assert_eq!(reads, 0, "{count} gateways read the store");
}

/// Guards against a gateway that hears nothing for too long of what the others have stored, and against reads of a
/// whole fleet at the same moment: `most_a_second` is twice what an even spread gives.
#[rstest]
#[case::small(8, 3_500, 16)]
#[case::grown(85, 4_500, 100)]
#[case::large(300, 10_000, 100)]
fn gateways_without_a_leader_read_in_turn(
    #[case] count: usize,
    #[case] longest_ms: u64,
    #[case] most_a_second: usize,
) {
    let members = fleet_of(count);
    let mut all = Vec::new();
    for own in 0..count {
        let reads = reads_of(&members, own, false, |_| Some(0));
        assert!(reads.first().is_some_and(|first| *first <= longest_ms), "{reads:?}");
        all.extend(reads);
    }
    for from in (0..RUN_MS).step_by(1_000) {
        let reads = all.iter().filter(|read| (from..from + 1_000).contains(*read)).count();
        assert!(reads <= most_a_second, "{reads} reads in the second from {from} ms");
    }
}

/// Guards against a new process that serves before it knows what an earlier one has stored.
#[rstest]
fn a_new_gateway_reads_at_once(#[values(8, 300)] count: usize) {
    let members = fleet_of(count);
    let reads = reads_of(&members, 0, false, |_| None);
    assert_eq!(reads.first(), Some(&0));
}

/// Guards against reading a store that does not answer more often than one that does.
#[rstest]
fn a_store_that_is_down_is_not_asked_more_often(#[values(8, 300)] count: usize) {
    let members = fleet_of(count);
    assert_eq!(reads_of(&members, 1, true, |_| Some(0)), reads_of(&members, 1, false, |_| Some(0)));
    let fleet = FleetMembers { own_name: &members[1], members: &members };
    let contact = LeaderContact { leads: true, last_at: None };
    let mut schedule = RowSchedule::new();
    let mut reads = 0;
    for now in (0..RUN_MS).step_by(CHECK_MS as usize) {
        reads += usize::from(schedule.step(contact, fleet, at(now)) == RowStep::Read);
        schedule.record_row(false);
    }
    assert!(reads <= 60, "the leader read {reads} times in a minute");
}

/// Guards against a leader that overwrites a row that it has not read, and one that does not keep the row current.
#[test]
fn a_leader_reads_once_and_then_compares() {
    let members = fleet_of(8);
    let fleet = FleetMembers { own_name: &members[0], members: &members };
    let contact = LeaderContact { leads: true, last_at: Some(ClockTime::ZERO) };
    let mut schedule = RowSchedule::new();
    assert_eq!(schedule.step(contact, fleet, at(10)), RowStep::Read);
    schedule.record_row(true);
    assert_eq!(schedule.step(contact, fleet, at(260)), RowStep::Compare);
    assert!(schedule.may_remove());
    let led = LeaderContact { leads: false, last_at: Some(at(400)) };
    assert_eq!(schedule.step(led, fleet, at(510)), RowStep::Wait);
    assert!(!schedule.may_remove());
    assert_eq!(schedule.step(contact, fleet, at(760)), RowStep::Read, "the row may have changed since");
}
