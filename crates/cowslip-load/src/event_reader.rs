//! Parser for server-sent events.

/// Incremental parser that returns the data of each complete event.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Creates a parser with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes and returns the data of the events completed by them.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<String> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&block);
            let data: Vec<&str> =
                text.lines().filter_map(|line| line.strip_prefix("data:")).map(str::trim).collect();
            if !data.is_empty() {
                events.push(data.join("\n"));
            }
        }
        events
    }
}
