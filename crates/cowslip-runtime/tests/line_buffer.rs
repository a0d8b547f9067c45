//! Each log line is written with a single write.

#![allow(clippy::unwrap_used)]

use std::io::{self, Write};

use cowslip_runtime::LineBuffer;

/// Records each write separately.
#[derive(Debug, Default)]
struct WriteRecorder {
    writes: Vec<Vec<u8>>,
    failing: bool,
}

impl Write for &mut WriteRecorder {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.failing {
            return Err(io::Error::other("closed"));
        }
        self.writes.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are split, joined or delayed.
#[test]
fn each_line_is_one_write() {
    let mut recorder = WriteRecorder::default();
    let mut buffer = LineBuffer::new(&mut recorder);
    for part in ["{\"a\"", ":1}", "\n", "{}\n"] {
        buffer.write_all(part.as_bytes()).unwrap();
    }
    assert_eq!(recorder.writes, [b"{\"a\":1}\n".to_vec(), b"{}\n".to_vec()]);
}

/// Guards against a buffer that grows while standard output is closed.
#[test]
fn a_line_that_cannot_be_written_is_dropped() {
    let mut recorder = WriteRecorder { failing: true, ..WriteRecorder::default() };
    let mut buffer = LineBuffer::new(&mut recorder);
    assert!(buffer.write_all(b"lost\n").is_err());
    assert!(!format!("{buffer:?}").contains("108, 111, 115, 116"), "the bytes of \"lost\" are kept");
}
