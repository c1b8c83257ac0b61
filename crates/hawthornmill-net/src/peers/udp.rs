//! Heartbeats, probes and reports.

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

use super::inbox;
use crate::fleet::Fleet;

/// Heartbeats between two that carry the sender's contact to everybody.
const CONTACT_EVERY: u64 = 50;
/// Heartbeats that say that no more will come; one may be lost.
const LAST_BEATS: u8 = 3;
/// Time for which an instance gets heartbeats after it last needed them.
const LINGER: Duration = Duration::from_secs(30);
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
    let me = fleet.view(hawthornmill::blackboard::Blackboard::me);
    let mut sealer = Sealer::new(fleet.settings.key, me, fleet.incarnation, 0);
    while let Some((to, message)) = queue.recv().await {
        let Some((address, far)) = address(&fleet, to) else {
            continue;
        };
        let Ok(frame) = sealer.seal_on(to.0, &message) else {
            continue;
        };
        if frame.len() > MAX_DATAGRAM_BYTES {
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
    let me = fleet.view(hawthornmill::blackboard::Blackboard::me);
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

/// An instance that is sent heartbeats.
#[derive(Debug, Clone, Copy)]
struct Partner {
    /// When it last needed them.
    needed: Instant,
    /// Last heartbeats that it is due after that.
    last: u8,
}

/// Instances that are sent heartbeats.
///
/// Whoever gets heartbeats expects the next one. An instance that works with another only now and
/// then keeps getting them for [`LINGER`], and one that needs no more hears so. Otherwise it takes the
/// silence for a death, works out owners anew, and takes it back with the next relayed report.
type Partners = BTreeMap<InstanceId, Partner>;

/// Sends heartbeats, the more seldom the more instances need them, and at once when something about
/// this instance changed.
async fn beat(fleet: Arc<Fleet>) {
    let mut count = 0_u64;
    let mut partners = Partners::new();
    let mut due = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = fleet.hurry.notified() => {}
        }
        due = tokio::time::Instant::now() + beat_all(&fleet, &mut partners, count);
        count += 1;
    }
}

/// Sends one heartbeat to everybody who needs one and returns the time until the next.
fn beat_all(fleet: &Fleet, partners: &mut Partners, count: u64) -> Duration {
    let now = fleet.clock.now();
    let platform = fleet.platform.is_answered(now);
    let needed = fleet.view(|board| heartbeat_targets(board, count as u32));
    for id in needed {
        let fresh = Partner {
            needed: now,
            last: LAST_BEATS,
        };
        partners.insert(id, fresh);
    }
    let interval = heartbeat_interval(fleet.settings.heartbeat, partners.len());
    let (beat, silent) = fleet.view(|board| {
        let silent = |id: &&InstanceId| !board.members.is_live(**id);
        let silent: BTreeSet<InstanceId> = partners.keys().filter(silent).copied().collect();
        (heartbeat(board, interval, platform, now), silent)
    });
    partners.retain(|to, partner| {
        let tell = count.is_multiple_of(CONTACT_EVERY) || silent.contains(to);
        let contact = tell.then(|| Box::new(fleet.settings.contact.clone()));
        let mut beat = Heartbeat {
            contact,
            ..beat.clone()
        };
        if now.duration_since(partner.needed) > LINGER {
            beat.interval_ms = 0;
            partner.last -= 1;
        }
        fleet.outgoing.send(*to, Message::Heartbeat(beat));
        partner.last > 0
    });
    interval
}

fn heartbeat(board: &Blackboard, interval: Duration, platform: bool, now: Instant) -> Heartbeat {
    let sign = board
        .members
        .own_liveness(board.config.revision, interval, now);
    Heartbeat {
        leaving: sign.leaving,
        revision: sign.revision,
        interval_ms: interval.as_millis() as u16,
        steady_tenths: sign.stable_tenths,
        platform_reachable: platform,
        roster_digest: board.roster.digest(),
        contact: None,
    }
}

async fn report(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(fleet.settings.tuning.report);
    loop {
        timer.tick().await;
        let messages = fleet.feed(hawthornmill::pools::tick::build_reports);
        for (to, message) in messages {
            fleet.outgoing.send(to, message);
        }
    }
}
