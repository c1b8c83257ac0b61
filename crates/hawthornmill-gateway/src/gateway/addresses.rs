//! Addresses of the fleet's own instances, at which no server can be.

use std::net::SocketAddr;

use super::Gateway;

impl Gateway {
    /// Returns whether this instance, or another one that it has heard of, listens at `address`.
    ///
    /// A request that is sent there goes in circles, or is answered by an instance that lacks its token. Of other instances, only the
    /// addresses for callers and for reports are known.
    pub fn is_instance(&self, address: SocketAddr) -> bool {
        let listen = &self.settings.borrow().listen;
        let own = [listen.front, listen.ready, listen.directory, listen.peer];
        own.contains(&address)
            || listen.metrics == Some(address)
            || self.peers.borrow().has_address(address)
    }
}
