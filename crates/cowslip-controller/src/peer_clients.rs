//! RPC clients of other processes, one for each address.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use cowslip_rpc::connect;
use jsonrpsee::http_client::HttpClient;

/// Time-out of a call to another process, in ms.
const CALL_TIMEOUT_MS: u64 = 600;
/// Most clients kept; beyond it, all are dropped and created again, because VMs are replaced continuously.
const MAX_CLIENTS: usize = 4_096;

/// Cached clients by address; calls to one address share its connections.
#[derive(Debug, Default)]
pub(crate) struct PeerClients {
    clients: Mutex<Vec<(SocketAddr, HttpClient)>>,
}

impl PeerClients {
    /// The client of the process at `addr`; `None` if it cannot be created.
    pub(crate) fn get(&self, addr: SocketAddr) -> Option<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        match clients.binary_search_by(|(known, _)| known.cmp(&addr)) {
            Ok(at) => clients.get(at).map(|(_, client)| client.clone()),
            Err(at) => {
                let client = connect(addr, CALL_TIMEOUT_MS).ok()?;
                if clients.len() >= MAX_CLIENTS {
                    clients.clear();
                    clients.push((addr, client.clone()));
                } else {
                    clients.insert(at, (addr, client.clone()));
                }
                Some(client)
            }
        }
    }
}
