//! The platform's object store.

use std::future::Future;

use bytes::Bytes;

use crate::PlatformError;

/// The object store; a write replaces the whole object.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Writes an object.
    fn put(&self, name: &str, body: Bytes) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads an object; `None` if it is absent.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;

    /// Deletes an object; deleting an absent one succeeds.
    fn delete(&self, name: &str) -> impl Future<Output = Result<(), PlatformError>> + Send;
}
