//! Exchanges periodic reports of state and work with the other instances over UDP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::quarantine::table::REPEAT_ROUNDS;
use hawthornmill::routing::domain_summary::DomainMembers;
use hawthornmill::routing::gossip::{InstanceReport, PeerChange, PeerInfo};
use hawthornmill::routing::load_parts::{DemandPart, Scope, WorkPart};
use hawthornmill::routing::recent::Audience;
use hawthornmill::wire::frame::{Frame, FrameError};
use hawthornmill::wire::{Message, Opener};
use serde_json::json;

use crate::datagrams::{self, DatagramSocket};
use crate::gateway::Gateway;
use crate::lifecycle::Phase;
use crate::{event_log, relay, server_speeds, state_sync};

/// Shortest time between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(40);
/// Shortest time between two announcements of work; a peer dispatches about ten requests in it.
const MIN_WORK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time between two announcements of work to the dozen peers in a large fleet.
const MIN_WORK_INTERVAL_LARGE: Duration = Duration::from_millis(50);
/// Shortest time between two announcements of work to the relays of a large failure domain, which pass them on in sum.
const MIN_WORK_INTERVAL_RELAYED: Duration = Duration::from_millis(100);
/// Most work entries and client accounts in a message, so that it fits into a packet.
const MAX_REPORTED: usize = 48;

/// Reports of an instance without work or demand that are sent, so that one of them arrives.
const MAX_IDLE_REPORTS: u32 = 4;
/// Most changes of peers in a round that are logged in a line each.
const MAX_LOGGED_CHANGES: usize = 4;

/// Sends reports and announcements of work until the process ends.
pub async fn send_reports(gateway: Rc<Gateway>, datagrams: Rc<DatagramSocket>) {
    let mut round = 0;
    let mut due = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = gateway.report_wakeup.notified() => tokio::time::sleep(MIN_REPORT_INTERVAL).await,
            () = gateway.work_wakeup.notified() => {
                send_work(&gateway, &datagrams);
                tokio::time::sleep(work_interval(&gateway)).await;
                continue;
            }
        }
        due = gateway.next_tick(gateway.settings().report_interval);
        round += 1;
        let now = gateway.now();
        let settings = gateway.settings();
        let targets =
            gateway
                .peers
                .borrow_mut()
                .gossip_targets(gateway.id, &settings.seeds, round, now);
        observe_instances(&gateway);
        let report = build_report(&gateway, round, now);
        let others = targets.iter().filter(|t| **t != settings.listen.peer);
        let in_parts = report.in_parts;
        datagrams.send(&Message::InstanceReport(Box::new(report)), others.copied());
        if in_parts {
            send_load(&gateway, &datagrams, now);
        }
        send_announcements(&gateway, &datagrams, now);
        send_quarantine_reports(&gateway, &datagrams, round, now);
        server_speeds::send_own(&gateway, &datagrams, round, now);
        if !in_parts {
            relay::relay_domain(&gateway, &datagrams, round);
        }
        log_peer_changes(&gateway);
    }
}

/// Tells the scheduler which instances there are.
fn observe_instances(gateway: &Gateway) {
    let peers = gateway.peers.borrow();
    let mut scheduler = gateway.scheduler.borrow_mut();
    scheduler.retry_budget.observe_instances(peers.max_seen());
    let mut known = peers.known_domains();
    known.push((gateway.id, gateway.settings().domain));
    scheduler.cold_limiter.observe_instances(known);
}

fn work_interval(gateway: &Gateway) -> Duration {
    let peers = gateway.peers.borrow();
    match (peers.is_large_domain(), peers.is_large_fleet()) {
        (true, _) => MIN_WORK_INTERVAL_RELAYED,
        (false, true) => MIN_WORK_INTERVAL_LARGE,
        (false, false) => MIN_WORK_INTERVAL,
    }
}

/// Sends the load of this instance to the relays of its failure domain.
fn send_load(gateway: &Gateway, datagrams: &DatagramSocket, now: Instant) {
    let targets = gateway.peers.borrow().broadcast_targets(gateway.id, now);
    let mut scheduler = gateway.scheduler.borrow_mut();
    scheduler.loads.mark_broadcast();
    let (work, demand) = (scheduler.own_work(), scheduler.own_demand(now));
    let is_idle = work.iter().all(|p| p.work.is_empty()) && demand.iter().all(DemandPart::is_empty);
    let idle_reports = if is_idle {
        gateway.idle_reports.get() + 1
    } else {
        0
    };
    gateway.idle_reports.set(idle_reports);
    if idle_reports > MAX_IDLE_REPORTS {
        return;
    }
    datagrams.send_work(work, &targets);
    datagrams.send_demand(demand, &targets);
}

/// Returns which nearby instances are told of changes, and on whose behalf.
///
/// The relays of a large failure domain also pass on what they heard from its instances.
fn nearby_instances(gateway: &Gateway, now: Instant) -> (Audience, Vec<SocketAddr>) {
    let peers = gateway.peers.borrow();
    if peers.is_large_domain() && peers.speaks_for_domain(gateway.id, now) {
        let members = peers.domain_peers(now).map(|(_, p)| p.info.peer_addr);
        (Audience::OtherDomains, members.collect())
    } else {
        let targets = peers.broadcast_targets(gateway.id, now);
        (Audience::Domain, targets)
    }
}

/// Announces to nearby instances what changed according to the store.
fn send_announcements(gateway: &Gateway, datagrams: &DatagramSocket, now: Instant) {
    let (audience, targets) = nearby_instances(gateway, now);
    let announced = gateway.announcements.borrow().for_audience(audience, now);
    if !announced.is_empty() {
        datagrams.send(&Message::Announcements(Box::new(announced)), targets);
    }
}

/// Tells nearby instances of ended servers and quarantined requests.
fn send_quarantine_reports(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    round: u64,
    now: Instant,
) {
    if gateway.quarantine.borrow().is_idle() {
        return;
    }
    gateway.quarantine.borrow_mut().update(now);
    gateway.log_quarantine();
    let (audience, targets) = nearby_instances(gateway, now);
    let all = round.is_multiple_of(REPEAT_ROUNDS);
    for message in gateway.quarantine.borrow().messages(audience, all, now) {
        let message = Message::QuarantineReport(Box::new(message));
        datagrams.send(&message, targets.iter().copied());
    }
}

/// Tells an instance that has just started which requests are quarantined.
fn tell_quarantine(gateway: &Gateway, datagrams: &DatagramSocket, newcomer: SocketAddr) {
    let quarantine = gateway.quarantine.borrow();
    for message in quarantine.messages(Audience::OtherDomains, true, gateway.now()) {
        let message = Message::QuarantineReport(Box::new(message));
        datagrams.send(&message, [newcomer]);
    }
}

/// Returns the addresses and the processor of this instance.
pub fn own_info(gateway: &Gateway) -> PeerInfo {
    let settings = gateway.settings();
    PeerInfo {
        client_addr: settings.listen.front,
        peer_addr: settings.listen.peer,
        domain: settings.domain,
        cpu_percent: gateway.peers.borrow().offered_cpu(),
    }
}

/// Announces this instance's work in flight to nearby instances.
fn send_work(gateway: &Gateway, datagrams: &DatagramSocket) {
    let targets = gateway
        .peers
        .borrow()
        .broadcast_targets(gateway.id, gateway.now());
    let mut scheduler = gateway.scheduler.borrow_mut();
    scheduler.loads.mark_broadcast();
    if gateway.peers.borrow().is_large_domain() {
        datagrams.send_work(scheduler.own_work(), &targets);
        return;
    }
    let mut work = scheduler.loads.local();
    work.truncate(MAX_REPORTED);
    datagrams.send(&Message::Work(work), targets);
}

fn build_report(gateway: &Gateway, round: u64, now: Instant) -> InstanceReport {
    let report = InstanceReport {
        info: own_info(gateway),
        ready: gateway.is_ready(),
        leaving: gateway.phase() > Phase::Serving,
        store_role: gateway.store_role.get(),
        known: gateway.known_state(),
        in_parts: gateway.peers.borrow().is_large_domain(),
        work: Vec::new(),
        usage: Vec::new(),
        spilled: Vec::new(),
        unmet: Vec::new(),
        known_peers: gateway.peers.borrow().peer_sample(gateway.id, round, now),
    };
    if report.in_parts {
        return report;
    }
    let mut scheduler = gateway.scheduler.borrow_mut();
    let mut work = scheduler.loads.local();
    work.truncate(MAX_REPORTED);
    let mut usage = scheduler.account_usage.local(now);
    usage.sort_by(|a, b| b.1.requested.total_cmp(&a.1.requested));
    usage.truncate(MAX_REPORTED);
    InstanceReport {
        work,
        usage,
        spilled: scheduler.spilled_prefixes(now),
        unmet: scheduler.unmet_demand(now),
        ..report
    }
}

/// Reports at once to an instance that has no catalog yet, so that it learns whom to ask for one.
fn report_to_newcomer(gateway: &Gateway, datagrams: &DatagramSocket, newcomer: SocketAddr) {
    let report = build_report(gateway, 0, gateway.now());
    datagrams.send(&Message::InstanceReport(Box::new(report)), [newcomer]);
}

/// Receives datagrams until the process ends.
pub async fn receive(gateway: Rc<Gateway>, datagrams: Rc<DatagramSocket>) {
    let mut opener = Opener::datagrams(gateway.settings().key, datagrams::CHANNEL);
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, from)) = datagrams.socket.recv_from(&mut buffer).await else {
            // An unreachable peer causes an error on the next receive; the socket stays usable.
            tokio::task::yield_now().await;
            continue;
        };
        match opener.open(&buffer[..length]) {
            Ok(frame) if frame.sender == gateway.id => {}
            Ok(frame) => {
                relay::forward(&gateway, &datagrams, &frame, &buffer[..length], from);
                handle_message(&gateway, &datagrams, from, frame);
            }
            Err(FrameError::Replayed) => {}
            Err(error) => log::warn!(target: "mates", "datagram dropped: {error}"),
        }
    }
}

/// Handles a message of another instance.
fn handle_message(gateway: &Gateway, datagrams: &DatagramSocket, from: SocketAddr, frame: Frame) {
    let now = gateway.now();
    let (sender, run) = (frame.sender, frame.incarnation);
    match frame.message {
        Message::InstanceReport(report) => {
            let has_started = handle_report(gateway, sender, run, &report);
            let needs_state = report.known.catalog_version == 0 && gateway.has_state();
            if needs_state {
                report_to_newcomer(gateway, datagrams, from);
                server_speeds::tell_newcomer(gateway, datagrams, from, now);
            }
            if needs_state || has_started {
                tell_quarantine(gateway, datagrams, from);
            }
        }
        Message::Work(work) => gateway
            .scheduler
            .borrow_mut()
            .loads
            .apply_peer_report(sender, work, now),
        Message::DomainMembers(members) => handle_members(gateway, sender, &members),
        Message::WorkPart(part) => handle_work(gateway, sender, *part),
        Message::DemandPart(part) => handle_demand(gateway, sender, &part),
        Message::Announcements(announced) => gateway.apply_announcements(&announced),
        Message::QuarantineReport(news) => gateway.apply_quarantine_report(&news),
        Message::SpeedReport(told) => server_speeds::apply(gateway, (sender, run), &told),
        Message::FragmentRequest(r) => state_sync::send_fragments(gateway, datagrams, from, &r),
        Message::Fragment(part) => gateway.pending_state.add_fragment(from, part),
        Message::StreamVersions(told) => gateway.streams.record(gateway, &told),
        Message::StreamQuery(asked) => {
            datagrams.send(&gateway.streams.answer(gateway, &asked), [from]);
        }
        Message::StreamAnswer(answers) => gateway.streams.record_answer(gateway, sender, &answers),
        _ => {}
    }
}

fn handle_work(gateway: &Gateway, sender: InstanceId, part: WorkPart) {
    mark_heard(gateway, sender, part.scope);
    if !relay::takes_over(gateway, part.scope) {
        return;
    }
    let mut scheduler = gateway.scheduler.borrow_mut();
    scheduler.apply_work(sender, part, gateway.now());
    if scheduler.queue_len() > 0 {
        gateway.queue_wakeup.notify_one();
    }
}

fn handle_demand(gateway: &Gateway, sender: InstanceId, part: &DemandPart) {
    mark_heard(gateway, sender, part.scope);
    if relay::takes_over(gateway, part.scope) {
        let mut scheduler = gateway.scheduler.borrow_mut();
        scheduler.apply_demand(sender, part, gateway.now());
    }
}

/// Records that `sender` sent a load itself; those of other domains may have been forwarded.
fn mark_heard(gateway: &Gateway, sender: InstanceId, scope: Scope) {
    if !matches!(scope, Scope::Domain(_)) {
        let now = gateway.now();
        gateway.peers.borrow_mut().mark_heard(sender, now);
    }
}

/// Applies what a relay reports on members of a failure domain.
///
/// A relay of the own domain hears its members itself.
fn handle_members(gateway: &Gateway, sender: InstanceId, members: &DomainMembers) {
    let now = gateway.now();
    let mut peers = gateway.peers.borrow_mut();
    if members.domain == gateway.settings().domain {
        if peers.relay_rank(gateway.id, now).is_some() {
            return;
        }
        peers.mark_heard(sender, now);
    }
    for member in members.members.iter().filter(|m| m.id != gateway.id) {
        gateway.observe_known(member.known);
        if let Some(change) = peers.apply_member(member, now) {
            gateway
                .peer_changes
                .borrow_mut()
                .push((change, member.info.peer_addr));
        }
    }
}

/// Applies a report; returns whether it is the first one of a run.
fn handle_report(
    gateway: &Gateway,
    sender: InstanceId,
    run: Incarnation,
    report: &InstanceReport,
) -> bool {
    let now = gateway.now();
    gateway.observe_known(report.known);
    let mut peers = gateway.peers.borrow_mut();
    let change = peers.apply_report(sender, run, report, now);
    let has_started = change == Some(PeerChange::Started);
    if let Some(change) = change {
        let peer = report.info.peer_addr;
        gateway.peer_changes.borrow_mut().push((change, peer));
    }
    let own = gateway.settings().domain;
    if report.in_parts || (peers.is_large_fleet() && report.info.domain != own) {
        // Parts or the totals of its domain include its work, which must not be counted twice.
        return has_started;
    }
    let mut scheduler = gateway.scheduler.borrow_mut();
    scheduler.apply_report(sender, report, now);
    if scheduler.queue_len() > 0 {
        gateway.queue_wakeup.notify_one();
    }
    has_started
}

/// Logs the changes of peers since the last call; many at once, as when a fleet starts, in one line.
fn log_peer_changes(gateway: &Gateway) {
    let changes = gateway.peer_changes.take();
    let live = gateway.peers.borrow().live(gateway.now()).count();
    if changes.len() <= MAX_LOGGED_CHANGES {
        for (change, peer) in changes {
            let fields =
                json!({"mate": peer.to_string(), "how": format!("{change:?}"), "live": live});
            event_log::state_change("mate", fields);
        }
        return;
    }
    let count = |change| changes.iter().filter(|(c, _)| *c == change).count();
    let first = changes.iter().take(MAX_LOGGED_CHANGES);
    let fields = json!({
        "started": count(PeerChange::Started), "returned": count(PeerChange::Returned),
        "leaving": count(PeerChange::Leaving), "live": live,
        "first": first.map(|(_, peer)| peer.to_string()).collect::<Vec<_>>(),
    });
    event_log::state_change("mates", fields);
}
