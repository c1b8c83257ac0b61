//! The state that this instance is receiving in parts from a peer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use hawthornmill::routing::fragments::{Fragment, Reassembly};
use tokio::sync::Notify;

/// The parts that were received so far.
#[derive(Debug, Default)]
pub struct PendingState {
    peer: Cell<Option<SocketAddr>>,
    reassembly: RefCell<Reassembly>,
    part_received: Notify,
}

impl PendingState {
    /// Starts to receive parts from `peer`, dropping those received before.
    pub fn start(&self, peer: SocketAddr) {
        self.peer.set(Some(peer));
        self.reassembly.take();
    }

    /// Adds a part, unless it comes from another instance than the expected one.
    pub fn add_part(&self, peer: SocketAddr, part: Fragment) {
        if self.peer.get() == Some(peer) {
            self.reassembly.borrow_mut().insert(part);
            self.part_received.notify_one();
        }
    }

    /// Calls `read` with the parts received so far.
    pub fn with_reassembly<T>(&self, read: impl FnOnce(&Reassembly) -> T) -> T {
        read(&self.reassembly.borrow())
    }

    /// Waits until the reassembly has an outcome.
    pub async fn wait_complete(&self) {
        while self.with_reassembly(|a| a.outcome().is_none()) {
            self.part_received.notified().await;
        }
    }
}
