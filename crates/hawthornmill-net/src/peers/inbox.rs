//! What a received message does.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornmill::blackboard::Blackboard;
use hawthornmill::config::accept;
use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::membership::{LivenessUpdate, placement};
use hawthornmill::pools::tick;
use hawthornmill::wire::message::{
    ConfigPull, ConfigValues, Heartbeat, Message, ProbeAck, RosterDelta, RosterPull,
};
use hawthornmill::wire::{Frame, FrameError};

use crate::fleet::Fleet;

/// Counts a refused frame and logs it, the more seldom the more there are.
///
/// Anybody who reaches the port can send garbage; a line for each frame would fill the logs.
pub fn refuse(fleet: &Fleet, error: FrameError) {
    let count = fleet.outgoing.refused.fetch_add(1, Ordering::Relaxed) + 1;
    if count.is_power_of_two() {
        let code = error.code().number();
        log::warn!(target: "peers", "frame dropped, {count} so far: code {code} {error}");
    }
}

/// Takes one authenticated frame.
pub fn take(fleet: &Arc<Fleet>, frame: Frame) {
    let (from, incarnation) = (frame.sender, frame.incarnation);
    match frame.message {
        Message::Heartbeat(heartbeat) => hear(fleet, from, incarnation, heartbeat),
        Message::Probe(number) => {
            let ack = ProbeAck {
                number,
                revision: fleet.view(|board| board.config.revision),
                serving: fleet.ready.load(Ordering::Relaxed),
            };
            fleet.outgoing.send(from, Message::ProbeAck(ack));
        }
        Message::ProbeAck(ack) => {
            fleet.feed(|board, now| tick::on_probe_ack(board, ack, now));
            pull(fleet, from, ack.revision);
        }
        Message::Reports(reports) => take_reports(fleet, from, reports),
        Message::ConfigPull(pull) => answer_pull(fleet, from, &pull),
        Message::ConfigValues(values) => take_values(fleet, values),
        Message::RosterPull(pull) => {
            if let Some(delta) = fleet.view(|board| board.roster.delta(pull.have)) {
                fleet.outgoing.send(from, Message::RosterDelta(delta));
            }
        }
        Message::RosterDelta(delta) => take_roster(fleet, from, delta),
        message => fleet.receive(from, incarnation, message),
    }
}

fn hear(fleet: &Arc<Fleet>, from: InstanceId, incarnation: Incarnation, heartbeat: Heartbeat) {
    let sign = LivenessUpdate {
        from,
        incarnation,
        leaving: heartbeat.leaving,
        revision: heartbeat.revision,
        interval: Duration::from_millis(heartbeat.interval_ms.into()),
        stable_tenths: heartbeat.steady_tenths,
        direct: true,
    };
    let (follows, list) = fleet.feed(|board, now| {
        if let Some(contact) = heartbeat.contact {
            board.members.upsert_contact(*contact, now);
        }
        board.members.record_liveness(sign, now);
        let follows = follows(board, from) && heartbeat.platform_reachable;
        (follows, follows || !board.roster.is_known())
    });
    if follows {
        fleet.platform.set_mate_read(fleet.clock.now());
    }
    if list {
        let have = fleet.view(|board| board.roster.digest());
        if have != heartbeat.roster_digest {
            let pull = Message::RosterPull(RosterPull { have });
            fleet.outgoing.send(from, pull);
        }
    }
    pull(fleet, from, heartbeat.revision);
}

/// Tells whether this instance takes the instance list from `from`: the first reader of the domain.
///
/// Lists of two readers may differ for a moment; following one of them keeps an instance from
/// asking each in turn.
fn follows(board: &Blackboard, from: InstanceId) -> bool {
    let readers = placement::readers(&board.members, board.members.own().domain);
    readers.first() == Some(&from) && !readers.contains(&board.me())
}

fn take_roster(fleet: &Arc<Fleet>, from: InstanceId, delta: RosterDelta) {
    fleet.feed(|board, now| {
        // One that started while the platform is down takes the list from anybody.
        let takes = follows(board, from) || !board.roster.is_known();
        if takes && board.roster.apply(delta) {
            board.members.apply_roster(&board.roster, now);
        }
    });
}

fn take_reports(
    fleet: &Arc<Fleet>,
    from: InstanceId,
    reports: Vec<hawthornmill::wire::message::Report>,
) {
    let revision = fleet.feed(|board, now| {
        let interval: Duration = board.tuning.report;
        for report in reports {
            let (reports, members, ledger) =
                (&mut board.reports, &mut board.members, &mut board.ledger);
            reports.receive(from, report, members, ledger, now, interval);
        }
        board.reports.highest_revision()
    });
    pull(fleet, from, revision);
}

/// Asks `from`, which named `revision`, for the configuration if that is newer.
fn pull(fleet: &Arc<Fleet>, from: InstanceId, revision: u64) {
    let have = fleet.feed(|board, now| {
        let ask = board
            .revisions
            .should_request(revision, board.config.revision, now);
        ask.then(|| board.manifest.clone())
    });
    if let Some(have) = have {
        let pull = Message::ConfigPull(ConfigPull { have });
        fleet.outgoing.send(from, pull);
    }
}

fn answer_pull(fleet: &Arc<Fleet>, from: InstanceId, pull: &ConfigPull) {
    let answer = fleet.view(|board| {
        if board.manifest.revision <= pull.have.revision {
            return None;
        }
        let values = board
            .manifest
            .values
            .iter()
            .filter(|v| !pull.have.values.contains(v))
            .filter_map(|v| Some((v.name.clone(), board.values.get(&v.name)?.clone())))
            .collect();
        Some(ConfigValues {
            manifest: board.manifest.clone(),
            values,
        })
    });
    if let Some(answer) = answer {
        fleet.outgoing.send(from, Message::ConfigValues(answer));
    }
}

fn take_values(fleet: &Arc<Fleet>, answer: ConfigValues) {
    let mut values = fleet.view(|board| (*board.values).clone());
    values.extend(answer.values);
    values.retain(|name, _| answer.manifest.values.iter().any(|v| v.name == *name));
    install(fleet, &answer.manifest, values);
}

/// Checks a revision and puts it in force; true when it is in force now.
pub fn install(fleet: &Arc<Fleet>, manifest: &accept::Manifest, values: accept::Values) -> bool {
    if manifest.revision <= fleet.view(|board| board.config.revision) {
        return false;
    }
    match accept::accept(manifest, &values) {
        Ok(config) => {
            let revision = config.revision;
            let taken = fleet.feed(|board, _| board.install(config, manifest.clone(), values));
            if taken {
                log::info!(target: "config", "revision {revision} in force");
                fleet.hurry.notify_one();
            }
            taken
        }
        Err(faults) => {
            fleet.feed(|board, _| board.revisions.reject(manifest, &faults));
            for fault in &faults {
                log::error!(target: "config", "revision {} refused: {fault}", manifest.revision);
            }
            false
        }
    }
}
