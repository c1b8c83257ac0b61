//! UDP transport for heartbeats, probes and reports.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hawthornmill::blackboard::Blackboard;
use hawthornmill::ident::InstanceId;
use hawthornmill::membership::heartbeat_interval;
use hawthornmill::pools::heartbeat_targets;
use hawthornmill::wire::frame::MAX_DATAGRAM_BYTES;
use hawthornmill::wire::{Heartbeat, Message, Opener, Sealer};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::handler;
use crate::fleet::Fleet;

/// One heartbeat in this many carries the sender's contact to all recipients.
const CONTACT_PERIOD: u64 = 50;
/// Number of final heartbeats, which say that no more will follow; several, since UDP may lose one.
const FINAL_HEARTBEATS: u8 = 3;
/// Time for which an instance still gets heartbeats after it last needed them.
const RECIPIENT_TTL: Duration = Duration::from_secs(30);
const QUEUE_CAPACITY: usize = 1024;

/// Starts the tasks that send and receive datagrams.
pub fn start(fleet: &Arc<Fleet>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    fleet.outgoing.set_datagrams(sender);
    tokio::spawn(send_datagrams(
        Arc::clone(fleet),
        Arc::clone(&socket),
        receiver,
    ));
    tokio::spawn(receive_datagrams(Arc::clone(fleet), socket));
    tokio::spawn(send_heartbeats(Arc::clone(fleet)));
    tokio::spawn(send_reports(Arc::clone(fleet)));
}

async fn send_datagrams(
    fleet: Arc<Fleet>,
    socket: Arc<UdpSocket>,
    mut queue: mpsc::Receiver<(InstanceId, Message)>,
) {
    let me = fleet.view(hawthornmill::blackboard::Blackboard::me);
    let mut sealer = Sealer::new(fleet.settings.key, me, fleet.incarnation, 0);
    while let Some((to, message)) = queue.recv().await {
        let Some((address, cross_region)) = address(&fleet, to) else {
            continue;
        };
        let frame = match sealer.seal_on(to.0, &message) {
            Ok(frame) => frame,
            Err(error) => {
                log::error!(target: "peers", "can't encode a message to a peer: {error}");
                continue;
            }
        };
        if frame.len() > MAX_DATAGRAM_BYTES {
            log::warn!(target: "peers", "datagram of {} bytes exceeds one packet", frame.len());
        }
        if socket.send_to(&frame, address).await.is_ok() {
            fleet.outgoing.add_sent_bytes(frame.len(), cross_region);
        }
    }
}

fn address(fleet: &Fleet, to: InstanceId) -> Option<(SocketAddr, bool)> {
    fleet.view(|board| {
        let member = board.members.map.get(&to)?;
        let cross_region = member.region != board.members.own().region;
        Some((member.contact.peer.parse().ok()?, cross_region))
    })
}

async fn receive_datagrams(fleet: Arc<Fleet>, socket: Arc<UdpSocket>) {
    let me = fleet.view(hawthornmill::blackboard::Blackboard::me);
    let mut opener = Opener::new(fleet.settings.key, me.0);
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // An earlier send to an unreachable peer fails here; the socket is still usable.
            tokio::task::yield_now().await;
            continue;
        };
        match opener.open(&buffer[..length]) {
            Ok(frame) => handler::handle_frame(&fleet, frame),
            Err(error) => handler::reject_frame(&fleet, error),
        }
    }
}

/// Heartbeat state of one recipient.
#[derive(Debug, Clone, Copy)]
struct Recipient {
    /// When it last needed heartbeats.
    needed_at: Instant,
    /// Final heartbeats that are still to be sent to it.
    final_left: u8,
}

/// Instances that this one sends heartbeats to.
///
/// A recipient expects another heartbeat after each one. An instance that needs them only now and
/// then keeps getting them for [`RECIPIENT_TTL`], and final heartbeats announce the end. Otherwise
/// it would consider the sender down, reassign pool owners, and revert that at the next relayed
/// report.
type Recipients = BTreeMap<InstanceId, Recipient>;

/// Sends heartbeats at an interval that grows with the number of recipients, and at once after a
/// change of this instance's state.
async fn send_heartbeats(fleet: Arc<Fleet>) {
    let mut count = 0_u64;
    let mut recipients = Recipients::new();
    let mut due = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = fleet.heartbeat_now.notified() => {}
        }
        due = tokio::time::Instant::now() + send_round(&fleet, &mut recipients, count);
        count += 1;
    }
}

/// Sends one heartbeat to each recipient and returns the time until the next round.
fn send_round(fleet: &Fleet, recipients: &mut Recipients, count: u64) -> Duration {
    let now = fleet.clock.now();
    let platform_reachable = fleet.platform.is_reachable(now);
    let needed = fleet.view(|board| heartbeat_targets(board, count as u32));
    for id in needed {
        let recipient = Recipient {
            needed_at: now,
            final_left: FINAL_HEARTBEATS,
        };
        recipients.insert(id, recipient);
    }
    let interval = heartbeat_interval(fleet.settings.heartbeat_interval, recipients.len());
    let (template, down) = fleet.view(|board| {
        let is_down = |id: &&InstanceId| !board.members.is_live(**id);
        let down: BTreeSet<InstanceId> = recipients.keys().filter(is_down).copied().collect();
        (heartbeat(board, interval, platform_reachable, now), down)
    });
    recipients.retain(|to, recipient| {
        let with_contact = count.is_multiple_of(CONTACT_PERIOD) || down.contains(to);
        let contact = with_contact.then(|| Box::new(fleet.settings.contact.clone()));
        let mut heartbeat = Heartbeat {
            contact,
            ..template.clone()
        };
        if now.duration_since(recipient.needed_at) > RECIPIENT_TTL {
            heartbeat.interval_ms = 0;
            recipient.final_left -= 1;
        }
        fleet.outgoing.send(*to, Message::Heartbeat(heartbeat));
        recipient.final_left > 0
    });
    interval
}

fn heartbeat(
    board: &Blackboard,
    interval: Duration,
    platform_reachable: bool,
    now: Instant,
) -> Heartbeat {
    let liveness = board
        .members
        .own_liveness(board.config.revision, interval, now);
    Heartbeat {
        leaving: liveness.leaving,
        revision: liveness.revision,
        interval_ms: interval.as_millis() as u16,
        steady_tenths: liveness.stable_tenths,
        platform_reachable,
        roster_digest: board.roster.digest(),
        contact: None,
    }
}

async fn send_reports(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(fleet.settings.tuning.report);
    loop {
        timer.tick().await;
        let messages = fleet.apply(hawthornmill::pools::tick::build_reports);
        for (to, message) in messages {
            fleet.outgoing.send(to, message);
        }
    }
}
