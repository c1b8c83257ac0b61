//! Datagrams to other instances.

use std::cell::RefCell;
use std::net::SocketAddr;

use hawthornmill::wire::frame::MAX_DATAGRAM_BYTES;
use hawthornmill::wire::{Message, Sealer};
use tokio::net::UdpSocket;

/// Channel of datagrams; instances drop what repeats by its sequence number.
pub const CHANNEL: u64 = 0;

/// The socket for datagrams, and the one sequence in which they are numbered.
#[derive(Debug)]
pub struct Datagrams {
    /// The socket.
    pub socket: UdpSocket,
    sealer: RefCell<Sealer>,
}

impl Datagrams {
    /// Sends by `socket` what `sealer` seals for [`CHANNEL`].
    pub const fn new(socket: UdpSocket, sealer: Sealer) -> Self {
        Self {
            socket,
            sealer: RefCell::new(sealer),
        }
    }

    /// Sends `message` to each of `targets`.
    pub fn send(&self, message: &Message, targets: impl IntoIterator<Item = SocketAddr>) {
        let Ok(frame) = self.sealer.borrow_mut().seal(message) else {
            log::error!(target: "mates", "a message can't be encoded");
            return;
        };
        if frame.len() > MAX_DATAGRAM_BYTES {
            log::warn!(target: "mates", "message of {} bytes over one packet", frame.len());
        }
        self.send_frame(&frame, targets);
    }

    /// Sends a frame as it is to each of `targets`.
    pub fn send_frame(&self, frame: &[u8], targets: impl IntoIterator<Item = SocketAddr>) {
        for target in targets {
            // An unreachable instance shows as an error here; it is silent to us either way.
            let _sent = self.socket.try_send_to(frame, target);
        }
    }
}
