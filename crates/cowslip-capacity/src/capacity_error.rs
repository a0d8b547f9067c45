//! Errors of a measurement.

use std::io;

use thiserror::Error;

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A socket, process or file could not be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A call over loopback failed.
    #[error("call over loopback failed: {0}")]
    Call(String),
    /// The process that measures memory did not print a number.
    #[error("no memory figure for {case} at size {size}, got {output:?}")]
    Memory {
        /// Name of the case.
        case: &'static str,
        /// Size to be measured.
        size: usize,
        /// Output of the process.
        output: String,
    },
}
