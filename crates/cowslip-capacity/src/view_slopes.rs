//! Cost of the fleet view, its confirmation and its rows.

use std::hint::black_box;

use cowslip_fleet::{FleetView, VersionTracker, ViewConfirmation, next_member_change};
use cowslip_messages::{ChangeRecord, ConfirmReply, FleetChange, MemberEntry};
use cowslip_units::{ChangeId, ClockTime, ViewVersion};
use smol_str::SmolStr;

use crate::{FleetGenerator, RunPlan, SlopePoint, SlopeRow, SlopeUnit, json_bytes};

/// Numbers of members to measure; the last one is the target.
pub(crate) const MEMBER_SIZES: &[usize] = &[9, 50, 150, 350];
/// Numbers of keys to measure. The design gives no target; the largest equals several days of changes.
pub(crate) const KEY_SIZES: &[usize] = &[1_000, 10_000, 30_000, 100_000];

/// A change record with this version.
pub(crate) fn record(version: u64, change: FleetChange) -> ChangeRecord {
    ChangeRecord {
        version: ViewVersion::new(version),
        change_id: ChangeId::new(&format!("{version:032x}")).expect("hexadecimal digits are accepted in ids"),
        author: SmolStr::new("operator-desk"),
        change,
    }
}

/// A view to which `changes` keys have been added and withdrawn in turn.
pub(crate) fn changed_view(generator: &mut FleetGenerator, members: usize, changes: usize) -> FleetView {
    let mut view = generator.view(0, members);
    let mut digest = generator.digest();
    for at in 0..changes {
        let change = if at % 2 == 0 {
            digest = generator.digest();
            FleetChange::KeyGiven { digest: digest.clone(), team: FleetGenerator::team(at % 500) }
        } else {
            FleetChange::KeyWithdrawn { digest: digest.clone() }
        };
        view.apply(&record(view.version().get() + 1, change));
    }
    view
}

/// A view after consecutive changes of members, as when all entry VMs restart one by one.
pub(crate) fn restarted_view(generator: &mut FleetGenerator, members: usize, changes: usize) -> FleetView {
    let mut list = generator.members(members);
    let mut view = generator.view(0, 0);
    for at in 0..changes {
        if members > 0 {
            list[at % members] = generator.member(at % members);
        }
        let change = FleetChange::MembersSet { members: list.clone() };
        view.apply(&record(view.version().get() + 1, change));
    }
    view
}

/// Measures the fleet view by keys, changes and members.
pub(crate) fn view_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let meter = plan.meter();
    let mut rows = Vec::new();
    let (mut apply, mut lookup, mut snapshot, mut copy) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for size in plan.sizes(KEY_SIZES) {
        let mut generator = plan.generator();
        let mut view = generator.view(size, plan.size(350));
        snapshot.push(SlopePoint::new(size, json_bytes(&view.to_snapshot())));
        let digests: Vec<_> = view.to_snapshot().keys.iter().map(|key| key.digest.clone()).collect();
        copy.push(SlopePoint::new(size, meter.micros_on(|| (), |()| view.clone())));
        let mut at = 0;
        lookup.push(SlopePoint::new(
            size,
            meter.micros(|| {
                at = (at + 7_919) % digests.len();
                black_box(view.key(&digests[at]));
            }),
        ));
        // Only a few changes are applied, so that the number of keys stays close to the size.
        let mut spare: Vec<_> = (0..20_000.min(size)).map(|_| generator.digest()).collect();
        let micros = meter.micros_on(
            || spare.split_off(spare.len().saturating_sub(16)),
            |digests| {
                for digest in digests.drain(..) {
                    let change = FleetChange::KeyGiven { digest, team: FleetGenerator::team(3) };
                    view.apply(&record(view.version().get() + 1, change));
                }
            },
        );
        apply.push(SlopePoint::new(size, micros / 16.0));
    }
    let keys = "keys ever given (350 members)";
    rows.push(SlopeRow::new(
        "view.apply_key",
        keys,
        SlopeUnit::Micros,
        "cowslip_fleet::FleetView::apply",
        100_000,
        apply,
    ));
    rows.push(SlopeRow::new(
        "view.find_key",
        keys,
        SlopeUnit::Micros,
        "cowslip_fleet::FleetView::key",
        100_000,
        lookup,
    ));
    rows.push(SlopeRow::new(
        "view.snapshot_bytes",
        keys,
        SlopeUnit::WrittenBytes,
        "cowslip_messages::ViewSnapshot, row snapshot",
        100_000,
        snapshot,
    ));
    rows.push(SlopeRow::new(
        "view.copy",
        keys,
        SlopeUnit::Micros,
        "cowslip_controller::view_follower::apply (copies the view before each change)",
        100_000,
        copy,
    ));
    let mut applied = Vec::new();
    for size in plan.sizes(&[1_000, 5_000, 23_000]) {
        let generator = plan.generator();
        let micros =
            meter.micros_on(|| generator.clone(), |generator| changed_view(generator, plan.size(350), size));
        applied.push(SlopePoint::new(size, micros));
    }
    rows.push(SlopeRow::new(
        "view.apply_day",
        "changes applied (350 members; keys given and withdrawn in turn)",
        SlopeUnit::Micros,
        "cowslip_fleet::FleetView::apply",
        23_000,
        applied,
    ));
    rows.extend(member_slopes(plan));
    rows
}

fn member_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let meter = plan.meter();
    let (mut apply, mut bytes, mut majority, mut step) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let mut answer = Vec::new();
    for size in plan.sizes(MEMBER_SIZES) {
        let mut generator = plan.generator();
        let mut view = generator.view(0, size);
        let members = view.members().to_vec();
        let change = FleetChange::MembersSet { members: members.clone() };
        bytes.push(SlopePoint::new(size, json_bytes(&record(2, change.clone()))));
        apply.push(SlopePoint::new(
            size,
            meter.micros(|| {
                view.apply(&record(view.version().get() + 1, change.clone()));
            }),
        ));
        let own = members[0].incarnation.clone();
        let mut tracker = VersionTracker::new(own.clone(), &view);
        members.iter().for_each(|member| tracker.on_report(&member.incarnation, view.version()));
        majority.push(SlopePoint::new(
            size,
            meter.micros(|| {
                black_box(tracker.has_majority(view.version()));
            }),
        ));
        let target: Vec<MemberEntry> = members
            .iter()
            .enumerate()
            .map(|(at, member)| if at + 1 == size { generator.member(at) } else { member.clone() })
            .collect();
        step.push(SlopePoint::new(
            size,
            meter.micros(|| {
                black_box(next_member_change(&view, &target, &tracker));
            }),
        ));
        let mut confirmation = ViewConfirmation::new(own);
        let (mut at, mut now) = (0, ClockTime::new(10_000));
        answer.push(SlopePoint::new(
            size,
            meter.micros(|| {
                // Each member answers once per second.
                at = (at + 1) % size;
                now = if at == 0 { now.plus_ms(1_000) } else { now };
                let ticket = confirmation.ticket(&view, now);
                let reply = ConfirmReply {
                    incarnation: members[at].incarnation.clone(),
                    version: view.version(),
                    age_ms: None,
                };
                black_box(confirmation.peer_answered(ticket, &reply, &view, now));
            }),
        ));
    }
    let by = "members";
    vec![
        SlopeRow::new(
            "view.apply_members",
            by,
            SlopeUnit::Micros,
            "cowslip_fleet::FleetView::apply",
            350,
            apply,
        ),
        SlopeRow::new(
            "view.members_bytes",
            by,
            SlopeUnit::WrittenBytes,
            "cowslip_messages::FleetChange::MembersSet, row change/<version>",
            350,
            bytes,
        ),
        SlopeRow::new(
            "view.majority",
            by,
            SlopeUnit::Micros,
            "cowslip_fleet::VersionTracker::has_majority",
            350,
            majority,
        ),
        SlopeRow::new(
            "view.next_members",
            by,
            SlopeUnit::Micros,
            "cowslip_fleet::next_member_change",
            350,
            step,
        ),
        SlopeRow::new(
            "view.confirm_answer",
            "members (all of them answer; store unavailable)",
            SlopeUnit::Micros,
            "cowslip_fleet::ViewConfirmation::peer_answered",
            350,
            answer,
        ),
    ]
}
