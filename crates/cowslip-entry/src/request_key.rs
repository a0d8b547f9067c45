//! The key of a request in the crash log, next to the prompt parts that it shares with others.
//!
//! A request that ends each upstream may have no part that does so by itself: other requests share its parts, and
//! clear them. When it comes again, only the whole of it is the same. The same request has the same key at each
//! gateway.

use cowslip_units::PartId;

use crate::{pair_weight, text_hash};

/// Prefix of all keys. Ids of prompt parts have no colon.
const PREFIX: &str = "request:";

/// Key of the request with these properties, given in a fixed order; `None` without any.
pub fn request_key<'a>(properties: impl IntoIterator<Item = &'a str>) -> Option<PartId> {
    let hash = properties.into_iter().map(text_hash).reduce(pair_weight)?;
    PartId::new(&format!("{PREFIX}{hash:016x}")).ok()
}

/// True for the key of a request, false for a prompt part.
pub fn is_request_key(part: &PartId) -> bool {
    part.as_str().starts_with(PREFIX)
}
