//! Heartbeats, probes and reports.

use std::net::SocketAddr;
use std::sync::Arc;

use hawthornmill::ident::InstanceId;
use hawthornmill::wire::frame::DATAGRAM_LIMIT;
use hawthornmill::wire::{Message, Opener, Sealer};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::inbox;
use crate::fleet::Fleet;

/// Heartbeats between two that carry the sender's contact.
const CONTACT_EVERY: u64 = 10;
const QUEUE: usize = 1024;

/// Starts the tasks that send and receive datagrams.
pub fn start(fleet: &Arc<Fleet>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let (sender, receiver) = mpsc::channel(QUEUE);
    fleet.outgoing.set_datagrams(sender);
    tokio::spawn(send(Arc::clone(fleet), Arc::clone(&socket), receiver));
    tokio::spawn(receive(Arc::clone(fleet), socket));
    tokio::spawn(beat(Arc::clone(fleet)));
    tokio::spawn(report(Arc::clone(fleet)));
}

async fn send(
    fleet: Arc<Fleet>,
    socket: Arc<UdpSocket>,
    mut queue: mpsc::Receiver<(InstanceId, Message)>,
) {
    let me = fleet.view(hawthornmill::board::Board::me);
    let mut sealer = Sealer::new(fleet.settings.key, me, fleet.incarnation, 0);
    while let Some((to, message)) = queue.recv().await {
        let Some((address, far)) = address(&fleet, to) else {
            continue;
        };
        let Ok(frame) = sealer.seal_on(to.0, &message) else {
            continue;
        };
        if frame.len() > DATAGRAM_LIMIT {
            log::warn!(target: "peers", "datagram of {} bytes over one packet", frame.len());
        }
        if socket.send_to(&frame, address).await.is_ok() {
            fleet.outgoing.count(frame.len(), far);
        }
    }
}

fn address(fleet: &Fleet, to: InstanceId) -> Option<(SocketAddr, bool)> {
    fleet.view(|board| {
        let member = board.members.map.get(&to)?;
        let far = member.region != board.members.own().region;
        Some((member.contact.peer.parse().ok()?, far))
    })
}

async fn receive(fleet: Arc<Fleet>, socket: Arc<UdpSocket>) {
    let me = fleet.view(hawthornmill::board::Board::me);
    let mut opener = Opener::new(fleet.settings.key, me.0);
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // An unreachable peer shows as an error on the next receive; the socket is still good.
            tokio::task::yield_now().await;
            continue;
        };
        match opener.open(&buffer[..length]) {
            Ok(frame) => inbox::take(&fleet, frame),
            Err(error) => inbox::refuse(&fleet, error),
        }
    }
}

async fn beat(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(fleet.settings.heartbeat);
    let mut count = 0;
    loop {
        tokio::select! {
            _ = timer.tick() => {}
            () = fleet.hurry.notified() => {}
        }
        let contact =
            (count % CONTACT_EVERY == 0).then(|| Box::new(fleet.settings.contact.clone()));
        count += 1;
        let linked = fleet.outgoing.linked();
        let (leaving, revision, targets) = fleet.view(|board| {
            let own = board.members.own();
            let targets: Vec<InstanceId> = board
                .members
                .map
                .iter()
                .filter(|(id, m)| {
                    **id != board.me() && (m.domain == own.domain || linked.contains(id))
                })
                .map(|(id, _)| *id)
                .collect();
            (own.leaving, board.config.revision, targets)
        });
        for target in targets {
            let beat = Message::Heartbeat {
                leaving,
                revision,
                contact: contact.clone(),
            };
            fleet.outgoing.send(target, beat);
        }
    }
}

async fn report(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(fleet.settings.tuning.report);
    loop {
        timer.tick().await;
        let messages = fleet.feed(hawthornmill::pools::tick::report);
        for (to, message) in messages {
            fleet.outgoing.send(to, message);
        }
    }
}
