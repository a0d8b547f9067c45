//! Messages between the nodes of a run, and its queue of events.

use cowslip_fleet::ConfirmTicket;
use cowslip_messages::{ChangeRecord, ConfirmReply, FetchReply};
use cowslip_platform::TableTransaction;
use cowslip_units::{IncarnationId, ViewVersion};

#[derive(Clone)]
pub(super) enum Message<M> {
    Push(Vec<ChangeRecord>),
    ConfirmCall(ConfirmTicket),
    ConfirmAnswer(ConfirmTicket, ConfirmReply),
    FetchCall(ViewVersion),
    FetchAnswer(FetchReply),
    StoreHead(ConfirmTicket, ViewVersion),
    Exchange(ViewVersion),
    Work(M),
}

pub(super) enum Event<M> {
    Confirm(IncarnationId),
    WorkTick(IncarnationId),
    Load,
    Check,
    Fault,
    Operator(usize),
    Boot(usize),
    Died(IncarnationId),
    Joined(IncarnationId),
    StoreRead(IncarnationId, ConfirmTicket),
    StoreFetch(IncarnationId, ViewVersion),
    StoreWrite(TableTransaction),
    Pushed(usize, IncarnationId, ViewVersion),
    Deliver { to: IncarnationId, from: IncarnationId, message: Message<M> },
}

pub(super) struct Entry<M> {
    pub(super) due: u64,
    pub(super) order: u64,
    pub(super) event: Event<M>,
}

impl<M> PartialEq for Entry<M> {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}
impl<M> Eq for Entry<M> {}
impl<M> PartialOrd for Entry<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<M> Ord for Entry<M> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}
