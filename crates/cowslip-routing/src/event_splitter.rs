//! Splits a body of server-sent events into events.

use std::fmt;

/// Longest event in bytes; a longer one is rejected as [`EventFault::TooLong`].
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// Reason why an event cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventFault {
    /// Longer than the limit.
    TooLong,
    /// Not UTF-8, or without a data field.
    Malformed,
}

impl fmt::Display for EventFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLong => "an event is longer than the limit",
            Self::Malformed => "an event is malformed",
        })
    }
}

/// Buffers bytes and returns the data of complete events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    searched: usize,
}

impl EventSplitter {
    /// A splitter with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The data of the next complete event; `None` when more bytes are needed.
    pub fn next_event(&mut self) -> Option<Result<String, EventFault>> {
        let Some((at, length)) = self.find_end() else {
            self.searched = self.buffer.len().saturating_sub(3);
            return (self.buffer.len() > MAX_EVENT_BYTES).then_some(Err(EventFault::TooLong));
        };
        let event: Vec<u8> = self.buffer.drain(..at + length).collect();
        self.searched = 0;
        Some(read_data(event.get(..at).unwrap_or_default()))
    }

    /// True when no partial event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Position and length of the blank line that ends the first event; `None` while the event is incomplete.
    fn find_end(&self) -> Option<(usize, usize)> {
        let rest = self.buffer.get(self.searched..)?;
        let ends = |at: usize| {
            let rest = rest.get(at..).unwrap_or_default();
            match rest {
                [b'\n', b'\n', ..] => Some(2),
                [b'\r', b'\n', b'\r', b'\n', ..] => Some(4),
                _ => None,
            }
        };
        (0..rest.len()).find_map(|at| ends(at).map(|length| (self.searched + at, length)))
    }
}

fn read_data(event: &[u8]) -> Result<String, EventFault> {
    let text = std::str::from_utf8(event).map_err(|_| EventFault::Malformed)?;
    let mut data: Option<String> = None;
    for line in text.lines() {
        let Some(value) = line.strip_prefix("data:") else {
            continue;
        };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match &mut data {
            Some(data) => {
                data.push('\n');
                data.push_str(value);
            }
            None => data = Some(value.to_owned()),
        }
    }
    data.ok_or(EventFault::Malformed)
}
