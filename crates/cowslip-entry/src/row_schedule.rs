//! When a gateway reads the stored row of the prompt parts that are quarantined.
//!
//! The leader keeps the row current. A gateway that no leader answers reads it in intervals; it compares the row
//! with what it knows only right after a read, so that gateways which learn the same at the same time do not all
//! write it. In a large fleet the intervals are longer, and the first reads after the loss of a leader are spread
//! over one of them.

use cowslip_units::ClockTime;

use crate::{FleetMembers, leaderless_after_ms, leaderless_read_ms, text_hash};

/// Whether a gateway leads, and when it last heard the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderContact {
    /// True while it leads.
    pub leads: bool,
    /// Time of the last answer of a leader; `None` when there was none.
    pub last_at: Option<ClockTime>,
}

/// Next action for the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowStep {
    /// Nothing is due.
    Wait,
    /// Read the row, and compare it with the known crashes when that succeeds.
    Read,
    /// Compare the row as last known with the known crashes.
    Compare,
}

/// Role in which a gateway uses the row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RowRole {
    /// It keeps the row current.
    Leader,
    /// No leader has answered for some time.
    Leaderless,
    /// The leader informs it.
    #[default]
    Follower,
}

/// Times of the reads of one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowSchedule {
    role: RowRole,
    /// True while the row is as it was last read or written here.
    is_known: bool,
    /// Time of the next read.
    due_at: ClockTime,
}

impl RowSchedule {
    /// The schedule of a gateway that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// True when this gateway may remove crashes from the row: only the leader knows that a part is released.
    pub fn may_remove(&self) -> bool {
        self.role == RowRole::Leader
    }

    /// What to do now.
    pub fn step(&mut self, contact: LeaderContact, fleet: FleetMembers<'_>, now: ClockTime) -> RowStep {
        let read_ms = leaderless_read_ms(fleet.members.len());
        let role = role(contact, fleet, now);
        if role != self.role {
            let is_spread = role == RowRole::Leaderless && contact.last_at.is_some();
            let delay_ms = if is_spread { text_hash(fleet.own_name) % read_ms } else { 0 };
            *self = Self { role, is_known: false, due_at: now.plus_ms(delay_ms) };
        }
        match role {
            RowRole::Follower => RowStep::Wait,
            RowRole::Leader if self.is_known => RowStep::Compare,
            RowRole::Leader | RowRole::Leaderless if now < self.due_at => RowStep::Wait,
            RowRole::Leader | RowRole::Leaderless => {
                self.due_at = now.plus_ms(read_ms);
                RowStep::Read
            }
        }
    }

    /// Records whether the row is known after a call.
    pub fn record_row(&mut self, is_known: bool) {
        self.is_known = is_known;
    }
}

fn role(contact: LeaderContact, fleet: FleetMembers<'_>, now: ClockTime) -> RowRole {
    let silent_ms = leaderless_after_ms(fleet.members.len());
    if contact.leads {
        RowRole::Leader
    } else if contact.last_at.is_some_and(|at| now.since_ms(at) < silent_ms) {
        RowRole::Follower
    } else {
        RowRole::Leaderless
    }
}
