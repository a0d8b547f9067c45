//! Tells whether the events of an upstream belong to the stream of a caller, and whether their end is the
//! end of the stream.
//!
//! A stream that is resumed is one answer made of two. The second one must be an event stream that begins with
//! the next event; anything else, such as an error page, would become a part of the caller's stream.

use cowslip_adapter::event_id;
use http::header::{CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};
use http_body::Body;
use hyper::body::Incoming;
use smol_str::SmolStr;

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Checks the events of one upstream's answer.
#[derive(Debug)]
pub(crate) struct EventCheck {
    /// Id of the caller's last event, until a resumed stream has gone on with the next one.
    after: Option<SmolStr>,
    /// True once an event was read; comments are none.
    has_begun: bool,
    /// True when the body tells its own end. Otherwise it ends with its connection.
    is_framed: bool,
}

impl EventCheck {
    /// A check of an answer, which resumes a stream after the event `after` if that is given.
    pub(crate) fn new(headers: &HeaderMap, body: &Incoming, after: Option<SmolStr>) -> Self {
        let is_framed = body.is_end_stream() || body.size_hint().exact().is_some() || is_chunked(headers);
        Self { after, has_begun: false, is_framed }
    }

    /// True when complete events may be relayed: a resumed stream goes on with the next event.
    pub(crate) fn accepts(&mut self, events: &[u8]) -> bool {
        if self.has_begun {
            return true;
        }
        let Some(first) = split_events(events).find(|event| !is_comment(event)) else { return true };
        self.has_begun = true;
        self.after.take().is_none_or(|last| is_next(&last, first))
    }

    /// True once an event was read.
    pub(crate) const fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// True when an answer that ends here can be the whole stream. A resumed stream without an event does not
    /// show that the caller has all of them, and neither does a body without a length whose connection ended
    /// before the first event.
    pub(crate) const fn may_end(&self) -> bool {
        self.has_begun || (self.is_framed && self.after.is_none())
    }
}

/// False when an answer states that it is something else than a stream of events.
pub(crate) fn may_hold_events(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(CONTENT_TYPE) else { return true };
    let media_type = value.to_str().ok().and_then(|text| text.split(';').next());
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

/// Id of the last event that has one, in a sequence of complete events.
pub(crate) fn last_event_id(events: &[u8]) -> Option<SmolStr> {
    let mut rest = events.strip_suffix(b"\n\n").unwrap_or(events);
    loop {
        let end_before = rest.windows(2).rposition(|pair| pair == b"\n\n");
        let start = end_before.map_or(0, |at| at + 2);
        if let Some(id) = event_id(rest.get(start..).unwrap_or_default()) {
            return Some(id);
        }
        rest = rest.get(..end_before?).unwrap_or_default();
    }
}

/// Each of a sequence of complete events.
fn split_events(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        let end = rest.windows(2).position(|pair| pair == b"\n\n")?;
        let (event, others) = rest.split_at(end);
        rest = others.get(2..).unwrap_or_default();
        Some(event)
    })
}

/// True when an event consists only of comments.
fn is_comment(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').all(|line| line.is_empty() || line.starts_with(b":"))
}

/// True when `event` is the one after the event `last`.
fn is_next(last: &str, event: &[u8]) -> bool {
    let next = last.parse::<u64>().ok().and_then(|last| last.checked_add(1));
    let id = event_id(event).and_then(|id| id.parse::<u64>().ok());
    next.is_some() && id == next
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let coding = last.and_then(|value| value.to_str().ok()).and_then(|text| text.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
