//! The state that this instance is receiving in fragments from a peer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use hawthornmill::routing::fragments::{Fragment, Reassembly};
use tokio::sync::Notify;

/// The fragments that were received so far.
#[derive(Debug, Default)]
pub struct PendingState {
    peer: Cell<Option<SocketAddr>>,
    reassembly: RefCell<Reassembly>,
    fragment_received: Notify,
}

impl PendingState {
    /// Starts to receive fragments from `peer`, dropping those received before.
    pub fn start(&self, peer: SocketAddr) {
        self.peer.set(Some(peer));
        self.reassembly.take();
    }

    /// Adds a fragment, unless it comes from another instance than the expected one.
    pub fn add_fragment(&self, peer: SocketAddr, fragment: Fragment) {
        if self.peer.get() == Some(peer) {
            self.reassembly.borrow_mut().insert(fragment);
            self.fragment_received.notify_one();
        }
    }

    /// Calls `read` with the fragments received so far.
    pub fn with_reassembly<T>(&self, read: impl FnOnce(&Reassembly) -> T) -> T {
        read(&self.reassembly.borrow())
    }

    /// Waits until the reassembly has an outcome.
    pub async fn wait_complete(&self) {
        while self.with_reassembly(|a| a.outcome().is_none()) {
            self.fragment_received.notified().await;
        }
    }
}
