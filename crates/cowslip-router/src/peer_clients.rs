//! JSON-RPC clients of other processes, cached by address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use cowslip_rpc::connect;
use jsonrpsee::http_client::HttpClient;

/// Timeout in ms of calls between processes. It is short because some calls delay a request, which must still
/// have time to try another process.
const CALL_TIMEOUT_MS: u64 = 400;
/// Timeout in ms of long polls: the longest poll plus the time of a call.
const POLL_TIMEOUT_MS: u64 = 5_500;
/// Limit of cached clients; without it, clients of replaced VMs would accumulate.
const MAX_CLIENTS: usize = 1_024;

/// Cache of clients, each with its open connections.
#[derive(Debug, Default)]
pub struct PeerClients {
    calls: Mutex<BTreeMap<SocketAddr, HttpClient>>,
    polls: Mutex<BTreeMap<SocketAddr, HttpClient>>,
}

impl PeerClients {
    /// Returns the client for calls to `addr`, or `None` if it cannot be created.
    pub fn call(&self, addr: SocketAddr) -> Option<HttpClient> {
        client(&self.calls, addr, CALL_TIMEOUT_MS)
    }

    /// Returns the client for long polls to `addr`, or `None` if it cannot be created.
    pub fn poll(&self, addr: SocketAddr) -> Option<HttpClient> {
        client(&self.polls, addr, POLL_TIMEOUT_MS)
    }
}

fn client(
    clients: &Mutex<BTreeMap<SocketAddr, HttpClient>>,
    addr: SocketAddr,
    timeout_ms: u64,
) -> Option<HttpClient> {
    let mut clients = clients.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(client) = clients.get(&addr) {
        return Some(client.clone());
    }
    let client = connect(addr, timeout_ms).ok()?;
    if clients.len() >= MAX_CLIENTS {
        clients.clear();
    }
    clients.insert(addr, client.clone());
    Some(client)
}
