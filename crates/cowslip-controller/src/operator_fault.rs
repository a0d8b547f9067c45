//! Faults returned to operators and routers.

use std::net::SocketAddr;

use cowslip_fleet::ChangeFault;
use cowslip_messages::OperatorFault;
use cowslip_units::ErrorKind;
use smol_str::SmolStr;

/// A fault with one message.
pub(crate) fn fault(kind: ErrorKind, message: impl Into<String>) -> OperatorFault {
    OperatorFault { kind, messages: vec![message.into()], leader: None }
}

/// The fault returned by a controller that is not the leader.
pub(crate) fn not_leader(leader: Option<SocketAddr>) -> OperatorFault {
    let message = match leader {
        Some(addr) => format!("the leader is at {addr}"),
        None => "no leader is known".to_owned(),
    };
    let leader = leader.map(|addr| SmolStr::new(addr.to_string()));
    OperatorFault { kind: ErrorKind::NotLeader, messages: vec![message], leader }
}

/// The fault for a change that is not permitted.
pub(crate) fn refused_change(refusal: ChangeFault) -> OperatorFault {
    match refusal {
        ChangeFault::KeyWithdrawn => {
            fault(ErrorKind::KeyWithdrawn, "the key was withdrawn, which is for good")
        }
        ChangeFault::KeyOfOtherTeam => fault(ErrorKind::ChangeConflict, "the key belongs to another team"),
        ChangeFault::KeyUnknown => fault(ErrorKind::KeyUnknown, "the key was never given"),
        ChangeFault::MembersStep => {
            fault(ErrorKind::ChangeConflict, "the member list must change by one member at a time")
        }
        ChangeFault::RowUnreadable => fault(ErrorKind::Internal, "a row of the change log cannot be read"),
    }
}
