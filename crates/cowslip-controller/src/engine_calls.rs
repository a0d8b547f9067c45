//! Calls that send orders to engines.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use cowslip_placement::{EngineOrder, OrderAction, OrderAnswer};
use cowslip_platform::{AdapterOrder, EngineOrders, LoadOrder, OrderReply, PlatformError, UnloadOrder};
use cowslip_units::FencingToken;
use tokio::time::timeout;

use crate::{ControllerCore, PlatformServices};

/// The time-out of an order is this many times its load time without contention, plus
/// [`ORDER_TIMEOUT_BASE_MS`], because a slow weight store makes loads longer. An order without an answer by
/// then is in doubt.
const LOAD_TIMEOUT_FACTOR: u64 = 4;
/// Constant part of the time-out of an order, in ms.
const ORDER_TIMEOUT_BASE_MS: u64 = 5_000;

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Sends an order and waits for its outcome. The lease is checked whenever the call is polled, so that a
    /// process does not send orders as a superseded leader after a pause.
    pub(crate) async fn send_order(&self, order: &EngineOrder, epoch: FencingToken) -> OrderAnswer {
        if !self.is_leading(epoch) {
            return OrderAnswer::NotSent;
        }
        let mut call = pin!(self.call_engine(order));
        poll_fn(|context| {
            if !self.is_leading(epoch) {
                return Poll::Ready(OrderAnswer::InDoubt);
            }
            call.as_mut().poll(context)
        })
        .await
    }

    async fn call_engine(&self, order: &EngineOrder) -> OrderAnswer {
        let Some(addr) = self.lock().upstream_addr(&order.key.upstream) else {
            return OrderAnswer::NotSent;
        };
        let (id, fence, name) = (order.order.clone(), order.fence, order.key.name.clone());
        let (reply, load_ms) = match &order.action {
            OrderAction::Load { memory, load_ms } => {
                let order = LoadOrder { order: id, fence, model: name, memory: *memory, load_ms: *load_ms };
                (self.with_timeout(*load_ms, self.engines.load(addr, &order)).await, *load_ms)
            }
            OrderAction::LoadAdapter { model, memory, load_ms } => {
                let (model, memory, load_ms) = (model.clone(), *memory, *load_ms);
                let order = AdapterOrder { order: id, fence, adapter: name, model, memory, load_ms };
                (self.with_timeout(load_ms, self.engines.load_adapter(addr, &order)).await, load_ms)
            }
            OrderAction::Unload => {
                let order = UnloadOrder { order: id, fence, name };
                (self.with_timeout(0, self.engines.unload(addr, &order)).await, 0)
            }
        };
        if let Err(error) = &reply {
            self.metrics.count("orders_failed", 1);
            slog::warn!(self.logger, "order not answered"; "row" => order.key.to_string(),
                "order" => order.order.as_str(), "load_ms" => load_ms, "error" => %error);
        }
        to_order_answer(reply)
    }

    async fn with_timeout(
        &self,
        load_ms: u64,
        call: impl Future<Output = Result<OrderReply, PlatformError>>,
    ) -> Result<OrderReply, PlatformError> {
        let limit_ms = load_ms.saturating_mul(LOAD_TIMEOUT_FACTOR).saturating_add(ORDER_TIMEOUT_BASE_MS);
        match timeout(Duration::from_millis(limit_ms), call).await {
            Ok(reply) => reply,
            Err(_) => Err(PlatformError::InDoubt(format!("no answer within {limit_ms} ms"))),
        }
    }
}

/// Maps a reply to its meaning for the ledger. A call that was refused before it took effect counts as not
/// sent.
fn to_order_answer(reply: Result<OrderReply, PlatformError>) -> OrderAnswer {
    match reply {
        Ok(OrderReply::Done { sequence }) => OrderAnswer::Done { sequence },
        Ok(OrderReply::OldFence { .. }) => OrderAnswer::OldFence,
        Ok(OrderReply::Refused { reason }) => OrderAnswer::Refused { reason },
        Err(PlatformError::NotConnected(_) | PlatformError::Refused { .. }) => OrderAnswer::NotSent,
        Err(PlatformError::InDoubt(_) | PlatformError::Unfinished(_) | PlatformError::Malformed(_)) => {
            OrderAnswer::InDoubt
        }
    }
}
