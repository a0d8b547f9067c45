//! Member changes, one member at a time.

use cowslip_messages::{FleetChange, MemberEntry};

use crate::{FleetView, VersionTracker, sorted_vec};

/// The next change towards the `wanted` members: one removal or one addition. `None` when no change is left,
/// or while the last change is not yet accepted by a majority.
///
/// Majorities of two lists are certain to intersect only if the lists differ by one member: of `{1,2,3}` and
/// `{1,4,5}` the majorities `{2,3}` and `{4,5}` do not. Without the intersection, a router with the old list
/// could confirm its view in degraded mode after the new members accepted a change.
pub fn next_member_change(
    view: &FleetView,
    wanted: &[MemberEntry],
    tracker: &VersionTracker,
) -> Option<FleetChange> {
    let present = view.members();
    if wanted.is_empty() || !tracker.has_majority(view.version()) {
        return None;
    }
    let mut members = present.to_vec();
    if present.is_empty() {
        members.extend(wanted.iter().cloned());
        members.sort();
        return Some(FleetChange::MembersSet { members });
    }
    let lacks = |list: &[MemberEntry], entry: &MemberEntry| {
        !list.iter().any(|other| other.incarnation == entry.incarnation)
    };
    let leaving = present.iter().find(|entry| lacks(wanted, entry));
    let joining = wanted.iter().find(|entry| lacks(present, entry));
    match (leaving, joining) {
        (Some(leaving), _) if present.len() > 1 => {
            members.retain(|entry| entry.incarnation != leaving.incarnation);
        }
        (_, Some(joining)) => {
            sorted_vec::put(&mut members, joining.clone(), |entry| &entry.incarnation);
        }
        _ => return None,
    }
    Some(FleetChange::MembersSet { members })
}

/// True when `next` is not empty and differs from `present` by at most one member; an empty `present` allows
/// any list.
pub(crate) fn is_single_step(present: &[MemberEntry], next: &[MemberEntry]) -> bool {
    let missing_from = |list: &[MemberEntry], other: &[MemberEntry]| {
        list.iter().filter(|entry| !other.iter().any(|same| same.incarnation == entry.incarnation)).count()
    };
    !next.is_empty() && (present.is_empty() || missing_from(present, next) + missing_from(next, present) <= 1)
}
