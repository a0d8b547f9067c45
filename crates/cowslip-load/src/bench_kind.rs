//! Request kinds of the benchmark.

use std::str::FromStr;

use crate::OptionError;

/// The kind of request that a benchmark sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BenchKind {
    /// A `GET` to a plain service.
    Lookup,
    /// A model request without streaming.
    Draft,
    /// A streamed model request.
    Stream,
    /// A `POST` to a plain service, each with its own idempotency key.
    Order,
    /// A report, polled until it is done.
    Report,
}

impl FromStr for BenchKind {
    type Err = OptionError;

    fn from_str(text: &str) -> Result<Self, OptionError> {
        match text {
            "lookup" => Ok(Self::Lookup),
            "draft" => Ok(Self::Draft),
            "stream" => Ok(Self::Stream),
            "order" => Ok(Self::Order),
            "report" => Ok(Self::Report),
            _ => Err(OptionError::BadKind(text.to_owned())),
        }
    }
}
