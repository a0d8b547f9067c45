//! RPC clients of other gateways.

use std::net::SocketAddr;

use cowslip_rpc::connect;
use jsonrpsee::http_client::HttpClient;
use slog::warn;

use crate::gateway::Gateway;

/// Timeout in ms of a call to another gateway, and its increase per member of the fleet: a leader may have
/// reports of all members queued.
const PEER_TIMEOUT_MS: (u64, u64) = (400, 5);

/// RPC clients by peer address.
#[derive(Debug, Default)]
pub(crate) struct PeerClients {
    clients: Vec<(SocketAddr, HttpClient)>,
}

impl PeerClients {
    /// Client of a peer, created on first use; `None` when that failed.
    pub(crate) fn get(&mut self, gateway: &Gateway, address: SocketAddr) -> Option<HttpClient> {
        if let Some((_, client)) = self.clients.iter().find(|(known, _)| *known == address) {
            return Some(client.clone());
        }
        let members = gateway.lock().members.len() as u64;
        match connect(address, PEER_TIMEOUT_MS.0 + PEER_TIMEOUT_MS.1 * members) {
            Ok(client) => {
                self.clients.push((address, client.clone()));
                Some(client)
            }
            Err(error) => {
                warn!(gateway.logger, "peer_client_failed"; "peer" => %address, "error" => %error);
                None
            }
        }
    }

    /// Drops a client, so that the next call opens a new connection.
    pub(crate) fn remove_client(&mut self, address: SocketAddr) {
        self.clients.retain(|(known, _)| *known != address);
    }
}
