//! Error that makes the HTTP server close a connection without a complete response.

use std::fmt;

/// Returned by a handler to close its connection before, or in the middle of, a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionAborted;

impl fmt::Display for ConnectionAborted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("connection closed by an injected fault or a restart")
    }
}

impl std::error::Error for ConnectionAborted {}
