//! Line-buffered writer.

use std::io::{self, Write};

/// Buffers written bytes and forwards them with each write that ends with a line feed.
///
/// `slog_json` writes a line in dozens of parts, and standard output takes its lock and searches for a line
/// feed at each of them.
#[derive(Clone, Debug)]
pub struct LineBuffer<W> {
    inner: W,
    line: Vec<u8>,
}

impl<W: Write> LineBuffer<W> {
    /// Creates an empty buffer that forwards to `inner`.
    pub const fn new(inner: W) -> Self {
        Self { inner, line: Vec::new() }
    }
}

impl<W: Write> Write for LineBuffer<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            self.flush()?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let written = self.inner.write_all(&self.line);
        // A line that cannot be written is dropped; keeping it would let the buffer grow without bound.
        self.line.clear();
        written?;
        self.inner.flush()
    }
}
