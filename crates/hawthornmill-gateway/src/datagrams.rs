//! The UDP socket to the other instances.

use std::cell::RefCell;
use std::net::SocketAddr;

use hawthornmill::routing::load_parts::{DemandPart, WorkPart};
use hawthornmill::wire::frame::MAX_DATAGRAM_BYTES;
use hawthornmill::wire::{Message, Sealer};
use tokio::net::UdpSocket;

/// Channel number of datagrams, whose repetitions are dropped by sequence number.
pub const CHANNEL: u64 = 0;

/// A UDP socket that seals what it sends in one sequence of numbers.
#[derive(Debug)]
pub struct DatagramSocket {
    /// The bound socket, from which frames are received.
    pub socket: UdpSocket,
    sealer: RefCell<Sealer>,
}

impl DatagramSocket {
    /// Creates a sender on `socket` whose `sealer` is one for [`CHANNEL`].
    pub const fn new(socket: UdpSocket, sealer: Sealer) -> Self {
        Self {
            socket,
            sealer: RefCell::new(sealer),
        }
    }

    /// Sends `message` to each of `targets`.
    pub fn send(&self, message: &Message, targets: impl IntoIterator<Item = SocketAddr>) {
        let Ok(frame) = self.sealer.borrow_mut().seal(message) else {
            log::error!(target: "mates", "can't encode a message to peers");
            return;
        };
        if frame.len() > MAX_DATAGRAM_BYTES {
            log::warn!(target: "mates", "message of {} bytes over one packet", frame.len());
        }
        self.send_frame(&frame, targets);
    }

    /// Sends each of `parts` to each of `targets`.
    pub fn send_work(&self, parts: Vec<WorkPart>, targets: &[SocketAddr]) {
        for part in parts {
            let message = Message::WorkPart(Box::new(part));
            self.send(&message, targets.iter().copied());
        }
    }

    /// Sends each of `parts` to each of `targets`.
    pub fn send_demand(&self, parts: Vec<DemandPart>, targets: &[SocketAddr]) {
        for part in parts {
            let message = Message::DemandPart(Box::new(part));
            self.send(&message, targets.iter().copied());
        }
    }

    /// Sends a sealed frame unchanged to each of `targets`.
    pub fn send_frame(&self, frame: &[u8], targets: impl IntoIterator<Item = SocketAddr>) {
        for target in targets {
            // An unreachable instance shows up as an error here, but is also noticed by its silence.
            let _sent = self.socket.try_send_to(frame, target);
        }
    }
}
