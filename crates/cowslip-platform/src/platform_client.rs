//! The HTTP client for the services of the platform.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};

use crate::http_caller::{CallKind, CallRequest, HttpCaller};
use crate::wire_format::{JSON, RAW, decode_body, encode_body, encode_part};
use crate::{
    ObjectStore, PlatformError, RowValue, TableService, TableTransaction, TransactionOutcome, VmEntry, VmList,
};

/// Default time-out of a call in ms.
const DEFAULT_TIMEOUT_MS: u64 = 500;

/// Calls the table service, the object store and the VM list at one address; clones share their connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    addr: SocketAddr,
    timeout_ms: u64,
    caller: HttpCaller,
}

impl PlatformClient {
    /// Creates a client of the platform at `addr` with a time-out of 500 ms; connects on first use.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, timeout_ms: DEFAULT_TIMEOUT_MS, caller: HttpCaller::new() }
    }

    /// Sets the time-out of each call in ms, from the start of the connection to the end of the answer.
    #[must_use]
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    async fn get_call(&self, path: String) -> Result<Option<Bytes>, PlatformError> {
        let call = CallRequest {
            kind: CallKind::Read,
            method: Method::GET,
            uri: format!("http://{}{path}", self.addr),
            body: Bytes::new(),
            content_type: JSON,
        };
        let (status, body) = self.caller.call(call, self.timeout_ms).await?;
        Ok((status != StatusCode::NOT_FOUND).then_some(body))
    }

    async fn write_call(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        content_type: &'static str,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let uri = format!("http://{}{path}", self.addr);
        let call = CallRequest { kind: CallKind::Write, method, uri, body, content_type };
        self.caller.call(call, self.timeout_ms).await
    }

    /// Reads a list whose path must exist.
    async fn get_list(&self, path: String) -> Result<Bytes, PlatformError> {
        let message = format!("{path} does not exist");
        self.get_call(path).await?.ok_or(PlatformError::Malformed(message))
    }
}

impl TableService for PlatformClient {
    async fn read(&self, key: &str) -> Result<Option<RowValue>, PlatformError> {
        let body = self.get_call(format!("/table/row?key={}", encode_part(key))).await?;
        body.map(|body| decode_body(&body)).transpose()
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<RowValue>, PlatformError> {
        let (prefix, after) = (encode_part(prefix), encode_part(after));
        let body = self.get_list(format!("/table/scan?prefix={prefix}&after={after}&limit={limit}")).await?;
        decode_body(&body)
    }

    async fn commit(&self, transaction: &TableTransaction) -> Result<TransactionOutcome, PlatformError> {
        let body = encode_body(transaction)?;
        let (status, body) = self.write_call(Method::POST, "/table/commit".to_owned(), body, JSON).await?;
        check_found(status, "/table/commit")?;
        decode_body(&body)
    }
}

impl ObjectStore for PlatformClient {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let path = format!("/objects/{}", encode_part(name));
        let (status, _) = self.write_call(Method::PUT, path, body, RAW).await?;
        check_found(status, "/objects")
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        self.get_call(format!("/objects/{}", encode_part(name))).await
    }

    async fn delete(&self, name: &str) -> Result<(), PlatformError> {
        let path = format!("/objects/{}", encode_part(name));
        self.write_call(Method::DELETE, path, Bytes::new(), RAW).await?;
        Ok(())
    }
}

impl VmList for PlatformClient {
    async fn list(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let body = self.get_list("/vms".to_owned()).await?;
        let mut entries: Vec<VmEntry> = decode_body(&body)?;
        entries.sort_by(|one, other| one.vm.cmp(&other.vm));
        Ok(entries)
    }
}

/// Fails if a path that must exist was not found: the server at the address is not a platform, so nothing
/// took effect.
fn check_found(status: StatusCode, path: &str) -> Result<(), PlatformError> {
    if status == StatusCode::NOT_FOUND {
        return Err(PlatformError::Refused {
            status: status.as_u16(),
            message: format!("{path} does not exist"),
        });
    }
    Ok(())
}
