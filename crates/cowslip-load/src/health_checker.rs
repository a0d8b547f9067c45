//! Stand-in for the platform's load balancer: routes requests only to routers that pass their health check.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Pause in ms between two rounds of health checks.
const CHECK_INTERVAL_MS: u64 = 200;
/// Timeout of a health check in ms.
const CHECK_TIMEOUT_MS: u64 = 500;

/// Health of the routers as of their latest checks.
#[derive(Clone, Debug)]
pub struct HealthChecker {
    routers: Arc<Vec<SocketAddr>>,
    healthy: Arc<Mutex<Vec<bool>>>,
}

impl HealthChecker {
    /// Creates a checker of `routers`, which count as healthy until their first check.
    pub fn new(routers: Vec<SocketAddr>) -> Self {
        let healthy = vec![true; routers.len()];
        Self { routers: Arc::new(routers), healthy: Arc::new(Mutex::new(healthy)) }
    }

    /// Checks all routers in rounds; never returns.
    pub async fn run(self) {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        loop {
            for (index, addr) in self.routers.iter().enumerate() {
                let request = Request::get(format!("http://{addr}/healthz")).body(Full::default());
                let Ok(request) = request else {
                    continue;
                };
                let limit = Duration::from_millis(CHECK_TIMEOUT_MS);
                let answer = tokio::time::timeout(limit, client.request(request)).await;
                let passed = matches!(answer, Ok(Ok(response)) if response.status().is_success());
                let mut healthy = self.healthy.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(entry) = healthy.get_mut(index) {
                    *entry = passed;
                }
            }
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        }
    }

    /// Returns `preferred` if it is healthy, else the next healthy router in the list, else `preferred`.
    pub fn pick(&self, preferred: SocketAddr) -> SocketAddr {
        let healthy = self.healthy.lock().unwrap_or_else(PoisonError::into_inner);
        let first = self.routers.iter().position(|addr| *addr == preferred).unwrap_or(0);
        let order = (0..self.routers.len()).map(|step| (first + step) % self.routers.len());
        let found = order.into_iter().find(|index| healthy.get(*index).copied().unwrap_or(false));
        found.and_then(|index| self.routers.get(index).copied()).unwrap_or(preferred)
    }
}
