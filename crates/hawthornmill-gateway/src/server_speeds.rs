//! Exchanges with the other instances how long work takes at each server.
//!
//! Load pattern: an instance hears of one server once in some seconds, its failure domain together several times a second.
//! An instance tells its failure domain what it measured; relays tell the other domains the sums. Lasting parts change
//! slowly and are told every other second. Momentary figures are worth something for a fraction of a second and are told
//! once each, in few datagrams.

use std::net::SocketAddr;
use std::time::Instant;

use hawthornmill::ident::{Incarnation, InstanceId, ServerId};
use hawthornmill::routing::loads::ServerReport;
use hawthornmill::routing::server_speed::SpeedReport;
use hawthornmill::wire::Message;
use serde_json::json;

use crate::datagrams::DatagramSocket;
use crate::event_log;
use crate::gateway::Gateway;

/// Reports of an instance between two that tell lasting parts; 2 s at the usual interval.
const LASTING_ROUNDS: u64 = 10;
/// Messages of a relay to other domains between two that tell lasting parts. The number is odd, so that these go to the
/// relays of a domain in turn.
const RELAY_TURNS: u64 = 9;

/// Most datagrams to an instance that has just started; it learns the rest with the regular messages.
const MAX_NEWCOMER_PARTS: usize = 8;

/// Applies the load that `server` reports in a response.
pub fn apply_report(gateway: &Gateway, server: ServerId, report: ServerReport) {
    let now = gateway.now();
    let mut scheduler = gateway.scheduler.borrow_mut();
    scheduler.apply_server_report(server, report, now);
    if report.unreadable == 0 {
        return;
    }
    gateway.metrics.figures_unreadable(report.unreadable);
    let is_first = scheduler.loads.speeds.mark_unreadable(server);
    drop(scheduler);
    if is_first {
        let fields = json!({"server": gateway.server_name(server), "figures": report.unreadable});
        event_log::state_change("load_unreadable", fields);
    }
}

/// Tells nearby instances what this one measured.
pub fn send_own(gateway: &Gateway, datagrams: &DatagramSocket, round: u64, now: Instant) {
    let turn = round.wrapping_add(gateway.id.0);
    let report = {
        let speeds = &mut gateway.scheduler.borrow_mut().loads.speeds;
        if speeds.is_idle() {
            return;
        }
        speeds.own_report(turn.is_multiple_of(LASTING_ROUNDS), now)
    };
    let targets = gateway.peers.borrow().broadcast_targets(gateway.id, now);
    send(datagrams, report, &targets);
}

/// Tells `targets` in other failure domains what the instances of this one measured.
pub fn send_domain(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    targets: &[SocketAddr],
    with_lasting: bool,
    now: Instant,
) {
    let peers = gateway.peers.borrow();
    let speeds = &mut gateway.scheduler.borrow_mut().loads.speeds;
    if speeds.is_idle() {
        return;
    }
    let domain = gateway.settings().domain;
    let is_member = |id| peers.is_domain_member(id);
    let report = speeds.domain_report(domain, is_member, with_lasting, now);
    send(datagrams, report, targets);
}

/// Tells an instance that has just started all that is known here.
pub fn tell_newcomer(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    newcomer: SocketAddr,
    now: Instant,
) {
    let speeds = &mut gateway.scheduler.borrow_mut().loads.speeds;
    for _ in 0..speeds.parts().min(MAX_NEWCOMER_PARTS) {
        send(datagrams, speeds.newcomer_report(now), &[newcomer]);
    }
}

/// Tells `targets`, the members of a large failure domain, what this relay knows.
pub fn send_fleet(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    targets: &[SocketAddr],
    with_lasting: bool,
    now: Instant,
) {
    let speeds = &mut gateway.scheduler.borrow_mut().loads.speeds;
    if !speeds.is_idle() {
        send(datagrams, speeds.fleet_report(with_lasting, now), targets);
    }
}

/// Returns whether a relay of `rank` tells lasting parts in `round`, in which it tells other domains something; the relays
/// of a domain take turns.
pub const fn tells_lasting(rank: usize, round: u64) -> bool {
    let turn = round / 2 + rank as u64 * RELAY_TURNS / 2;
    turn.is_multiple_of(RELAY_TURNS)
}

/// Takes over what `sender` reports.
pub fn apply(gateway: &Gateway, sender: (InstanceId, Incarnation), report: &SpeedReport) {
    let now = gateway.now();
    let own = gateway.settings().domain;
    gateway
        .scheduler
        .borrow_mut()
        .apply_speed_report(sender, own, report, now);
}

fn send(datagrams: &DatagramSocket, report: SpeedReport, targets: &[SocketAddr]) {
    if !report.is_empty() {
        let message = Message::SpeedReport(Box::new(report));
        datagrams.send(&message, targets.iter().copied());
    }
}
