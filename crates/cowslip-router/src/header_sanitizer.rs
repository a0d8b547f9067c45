//! Replaces header bytes that would make the server library panic.
//!
//! `gotham` reads the value of `x-request-id` as UTF-8 and panics on other bytes, which would close the
//! connection without a response. The router does not use this header from callers, so non-ASCII bytes in it
//! are replaced.

use cowslip_routing::ErrorResponse;
use cowslip_runtime::HeadFilter;
use cowslip_units::ErrorKind;

/// Name of the sanitized header with its colon, in lower case.
const HEADER_NAME: &[u8] = b"x-request-id:";

/// Incremental parser that follows header lines across reads of any size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HeaderSanitizer {
    /// Number of bytes of this line that match the header name so far; `None` if the line is another header.
    matched: Option<usize>,
    in_line: bool,
}

impl HeaderSanitizer {
    /// Replaces non-ASCII bytes in the header's values in place.
    pub(crate) fn sanitize(&mut self, bytes: &mut [u8]) {
        for byte in bytes {
            if *byte == b'\n' {
                *self = Self::default();
                continue;
            }
            if !self.in_line {
                self.in_line = true;
                self.matched = Some(0);
            }
            match self.matched {
                Some(count) if count == HEADER_NAME.len() && byte.is_ascii() => {}
                Some(count) if count == HEADER_NAME.len() => *byte = b'?',
                Some(count) => {
                    let same = HEADER_NAME.get(count) == Some(&byte.to_ascii_lowercase());
                    self.matched = same.then_some(count + 1);
                }
                None => {}
            }
        }
    }
}

impl HeadFilter for HeaderSanitizer {
    fn filter(&mut self, received: &mut [u8]) {
        self.sanitize(received);
    }

    fn timeout_response(&self) -> Vec<u8> {
        let rejection = ErrorResponse::new(ErrorKind::ReadTimeout, "the header did not arrive in time");
        let body = rejection.to_json();
        let head = format!(
            "HTTP/1.1 408 Request Timeout\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
             retry-after: {}\r\nconnection: close\r\n\r\n",
            body.len(),
            rejection.retry_after_s().unwrap_or(1)
        );
        format!("{head}{body}").into_bytes()
    }
}
