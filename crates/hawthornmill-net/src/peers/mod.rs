//! Transport of messages between instances.
//!
//! Heartbeats, probes and reports go over UDP ([`udp`]): each one supersedes the one before, so a
//! loss delays the information by one interval. Demand, grants, holdings and configuration go over
//! TCP ([`tcp`]), with one connection from each sender to each receiver, opened on demand. All
//! frames carry a keyed MAC.

pub mod handler;
pub mod tcp;
pub mod udp;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use hawthornmill::ident::InstanceId;
use hawthornmill::wire::Message;
use tokio::sync::mpsc;

/// Most messages queued for one connection.
const QUEUE_CAPACITY: usize = 4096;

/// Queues of outgoing messages to peers, with traffic counters.
#[derive(Debug, Default)]
pub struct Outgoing {
    connections: Mutex<BTreeMap<InstanceId, mpsc::Sender<Message>>>,
    unopened: Mutex<Vec<(InstanceId, mpsc::Receiver<Message>)>>,
    /// Wakes the task that opens connections.
    pub connect_requested: tokio::sync::Notify,
    datagrams: Mutex<Option<mpsc::Sender<(InstanceId, Message)>>>,
    /// Bytes sent to peers over UDP and TCP.
    pub sent_bytes: AtomicU64,
    /// Bytes sent to peers in other regions.
    pub cross_region_bytes: AtomicU64,
    /// Messages dropped because a queue was full or not there yet.
    pub dropped_messages: AtomicU64,
    /// Received frames that were rejected.
    pub rejected_frames: AtomicU64,
}

impl Outgoing {
    /// Queues `message` for `to`; drops and counts it if the queue is full.
    pub fn send(&self, to: InstanceId, message: Message) {
        let queued = if uses_datagram(&message) {
            self.send_datagram(to, message)
        } else {
            self.send_stream(to, message)
        };
        if !queued {
            self.dropped_messages.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn send_datagram(&self, to: InstanceId, message: Message) -> bool {
        let datagrams = crate::peers::lock(&self.datagrams);
        datagrams
            .as_ref()
            .is_some_and(|d| d.try_send((to, message)).is_ok())
    }

    fn send_stream(&self, to: InstanceId, message: Message) -> bool {
        let mut connections = lock(&self.connections);
        let connection = connections.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            lock(&self.unopened).push((to, receiver));
            self.connect_requested.notify_one();
            sender
        });
        connection.try_send(message).is_ok()
    }

    /// Takes the queues of connections that were requested but not opened yet.
    pub fn take_unopened(&self) -> Vec<(InstanceId, mpsc::Receiver<Message>)> {
        std::mem::take(&mut lock(&self.unopened))
    }

    /// Sets the queue for datagrams.
    pub fn set_datagrams(&self, sender: mpsc::Sender<(InstanceId, Message)>) {
        *lock(&self.datagrams) = Some(sender);
    }

    /// Drops the queue of an instance that is no longer a member.
    pub fn close(&self, to: InstanceId) {
        lock(&self.connections).remove(&to);
    }

    /// Counts sent bytes.
    pub fn add_sent_bytes(&self, bytes: usize, cross_region: bool) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        if cross_region {
            self.cross_region_bytes
                .fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }
}

fn uses_datagram(message: &Message) -> bool {
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
