//! The HTTP client for orders to model engines and their reports.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http_caller::{CallKind, CallRequest, HttpCaller};
use crate::wire_format::{JSON, decode_body, encode_body};
use crate::{
    AdapterOrder, CacheEvent, EngineOrders, EngineReport, LoadOrder, OrderReply, PlatformError, RoleOrder,
    UnloadOrder,
};

/// Default time-out of a call in ms.
const DEFAULT_TIMEOUT_MS: u64 = 1_000;

/// Default time-out of a load order in ms, which is answered only after the load.
const DEFAULT_ORDER_TIMEOUT_MS: u64 = 120_000;

/// Sends orders to engines and reads their reports; clones share their connections.
#[derive(Clone, Debug)]
pub struct EngineClient {
    timeout_ms: u64,
    order_timeout_ms: u64,
    caller: HttpCaller,
}

impl EngineClient {
    /// Creates a client with a time-out of 1 s, and of 120 s for load orders.
    pub fn new() -> Self {
        Self {
            timeout_ms: DEFAULT_TIMEOUT_MS,
            order_timeout_ms: DEFAULT_ORDER_TIMEOUT_MS,
            caller: HttpCaller::new(),
        }
    }

    /// Sets the time-out in ms of all calls except load orders.
    #[must_use]
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sets the time-out in ms of load orders for models and adapters.
    #[must_use]
    pub fn with_order_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.order_timeout_ms = timeout_ms;
        self
    }

    async fn order<T: Serialize>(
        &self,
        engine: SocketAddr,
        path: &str,
        order: &T,
        timeout_ms: u64,
    ) -> Result<OrderReply, PlatformError> {
        let call = CallRequest {
            kind: CallKind::Write,
            method: Method::POST,
            uri: format!("http://{engine}{path}"),
            body: encode_body(order)?,
            content_type: JSON,
        };
        self.call(call, path, timeout_ms).await
    }

    async fn get_call<T: DeserializeOwned>(
        &self,
        engine: SocketAddr,
        path: &str,
    ) -> Result<T, PlatformError> {
        let call = CallRequest {
            kind: CallKind::Read,
            method: Method::GET,
            uri: format!("http://{engine}{path}"),
            body: Bytes::new(),
            content_type: JSON,
        };
        self.call(call, path, self.timeout_ms).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        call: CallRequest,
        path: &str,
        timeout_ms: u64,
    ) -> Result<T, PlatformError> {
        let (status, body) = self.caller.call(call, timeout_ms).await?;
        if status == StatusCode::NOT_FOUND {
            let message = format!("{path} does not exist");
            return Err(PlatformError::Refused { status: status.as_u16(), message });
        }
        decode_body(&body)
    }
}

impl Default for EngineClient {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineOrders for EngineClient {
    async fn load(&self, engine: SocketAddr, order: &LoadOrder) -> Result<OrderReply, PlatformError> {
        self.order(engine, "/orders/load", order, self.order_timeout_ms).await
    }

    async fn load_adapter(
        &self,
        engine: SocketAddr,
        order: &AdapterOrder,
    ) -> Result<OrderReply, PlatformError> {
        self.order(engine, "/orders/adapter", order, self.order_timeout_ms).await
    }

    async fn unload(&self, engine: SocketAddr, order: &UnloadOrder) -> Result<OrderReply, PlatformError> {
        self.order(engine, "/orders/unload", order, self.timeout_ms).await
    }

    async fn change_role(&self, engine: SocketAddr, order: &RoleOrder) -> Result<OrderReply, PlatformError> {
        self.order(engine, "/orders/role", order, self.timeout_ms).await
    }

    async fn report(&self, engine: SocketAddr) -> Result<EngineReport, PlatformError> {
        self.get_call(engine, "/report").await
    }

    async fn cache_events(&self, engine: SocketAddr, since: u64) -> Result<Vec<CacheEvent>, PlatformError> {
        self.get_call(engine, &format!("/cache-events?since={since}")).await
    }
}
