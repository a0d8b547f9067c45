//! Addresses of the other routers.

use std::net::SocketAddr;

use cowslip_units::IncarnationId;

use crate::RouterCore;

/// RPC address of another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// RPC address.
    pub addr: SocketAddr,
    /// Incarnation of the router if it is a member, else `None`.
    pub incarnation: Option<IncarnationId>,
}

impl RouterCore {
    /// All other members, and routers in the VM list that are not members yet.
    pub fn peer_addresses(&self) -> Vec<PeerAddress> {
        let state = self.state();
        let members = state.view.members().iter().filter(|member| member.incarnation != self.incarnation);
        let mut peers: Vec<PeerAddress> = members
            .map(|member| PeerAddress {
                addr: member.rpc_addr,
                incarnation: Some(member.incarnation.clone()),
            })
            .collect();
        // An earlier incarnation of this router may still be listed as a member with the same address.
        peers.retain(|peer| peer.addr != self.settings.rpc_addr);
        for addr in state.vms.other_routers(&self.settings.vm) {
            if addr != self.settings.rpc_addr && peers.iter().all(|peer| peer.addr != addr) {
                peers.push(PeerAddress { addr, incarnation: None });
            }
        }
        peers
    }
}
