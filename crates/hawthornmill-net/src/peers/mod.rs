//! Messages between instances.
//!
//! Heartbeats, probes and reports go over UDP ([`udp`]): the latest wins, and a lost one costs an
//! interval. Demand, grants, holdings and configuration go over TCP ([`tcp`]), one connection from
//! each sender to each receiver, opened at need. All frames carry a keyed MAC.

pub mod handler;
pub mod tcp;
pub mod udp;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use hawthornmill::ident::InstanceId;
use hawthornmill::wire::Message;
use tokio::sync::mpsc;

/// Messages that may wait for one connection.
const QUEUE: usize = 4096;

/// Where messages to peers go out.
#[derive(Debug, Default)]
pub struct Outgoing {
    connections: Mutex<BTreeMap<InstanceId, mpsc::Sender<Message>>>,
    unopened: Mutex<Vec<(InstanceId, mpsc::Receiver<Message>)>>,
    /// Wakes the task that opens connections.
    pub connect_requested: tokio::sync::Notify,
    datagrams: Mutex<Option<mpsc::Sender<(InstanceId, Message)>>>,
    /// Bytes sent to peers, UDP and TCP.
    pub sent_bytes: AtomicU64,
    /// Bytes sent to peers in other regions.
    pub cross_region_bytes: AtomicU64,
    /// Messages dropped for want of room.
    pub dropped_messages: AtomicU64,
    /// Frames of peers that were refused.
    pub rejected_frames: AtomicU64,
}

impl Outgoing {
    /// Sends `message`; one that finds no room is dropped and counted.
    pub fn send(&self, to: InstanceId, message: Message) {
        let sent = if by_datagram(&message) {
            self.send_datagram(to, message)
        } else {
            self.send_stream(to, message)
        };
        if !sent {
            self.dropped_messages.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn send_datagram(&self, to: InstanceId, message: Message) -> bool {
        let guard = crate::peers::lock(&self.datagrams);
        guard
            .as_ref()
            .is_some_and(|d| d.try_send((to, message)).is_ok())
    }

    fn send_stream(&self, to: InstanceId, message: Message) -> bool {
        let mut connections = lock(&self.connections);
        let connection = connections.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE);
            lock(&self.unopened).push((to, receiver));
            self.connect_requested.notify_one();
            sender
        });
        connection.try_send(message).is_ok()
    }

    /// Connections that were asked for and not opened yet.
    pub fn take_unopened(&self) -> Vec<(InstanceId, mpsc::Receiver<Message>)> {
        std::mem::take(&mut lock(&self.unopened))
    }

    /// Sets where datagrams go.
    pub fn set_datagrams(&self, sender: mpsc::Sender<(InstanceId, Message)>) {
        *lock(&self.datagrams) = Some(sender);
    }

    /// Forgets the connection to an instance that is gone for good.
    pub fn close(&self, to: InstanceId) {
        lock(&self.connections).remove(&to);
    }

    /// Counts bytes that left.
    pub fn add_sent_bytes(&self, bytes: usize, cross_region: bool) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        if cross_region {
            self.cross_region_bytes
                .fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }
}

fn by_datagram(message: &Message) -> bool {
    matches!(
        message,
        Message::Heartbeat(_) | Message::Probe(_) | Message::ProbeAck(_) | Message::Reports(_)
    )
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
