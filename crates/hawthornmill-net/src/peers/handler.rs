//! Handlers of the messages that peers send.

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
use crate::quarantine;

/// Counts a rejected frame, and logs it when the count is a power of two.
///
/// Anyone who can reach the port can send invalid frames; a log line for each would flood the logs.
pub fn reject_frame(fleet: &Fleet, error: FrameError) {
    let count = fleet
        .outgoing
        .rejected_frames
        .fetch_add(1, Ordering::Relaxed)
        + 1;
    if count.is_power_of_two() {
        let code = error.code().number();
        log::warn!(target: "peers", "frame dropped, {count} so far: code {code} {error}");
    }
}

/// Handles one authenticated frame.
pub fn handle_frame(fleet: &Arc<Fleet>, frame: Frame) {
    let (from, incarnation) = (frame.sender, frame.incarnation);
    match frame.message {
        Message::Heartbeat(heartbeat) => handle_heartbeat(fleet, from, incarnation, heartbeat),
        Message::Probe(number) => {
            let ack = ProbeAck {
                number,
                revision: fleet.view(|board| board.config.revision),
                serving: fleet.ready.load(Ordering::Relaxed),
            };
            fleet.outgoing.send(from, Message::ProbeAck(ack));
        }
        Message::ProbeAck(ack) => {
            fleet.apply(|board, now| tick::on_probe_ack(board, ack, now));
            request_config(fleet, from, ack.revision);
        }
        Message::Reports(reports) => handle_reports(fleet, from, reports),
        Message::ConfigPull(pull) => handle_config_pull(fleet, from, &pull),
        Message::ConfigValues(values) => handle_config_values(fleet, values),
        Message::RosterPull(pull) => {
            if let Some(delta) = fleet.view(|board| board.roster.delta(pull.have)) {
                fleet.outgoing.send(from, Message::RosterDelta(delta));
            }
        }
        Message::RosterDelta(delta) => handle_roster(fleet, from, delta),
        Message::QuarantineReport(news) => quarantine::apply_report(fleet, &news),
        Message::LedgerPull => {
            quarantine::tell_newcomer(fleet, from);
            fleet.receive(from, incarnation, Message::LedgerPull);
        }
        message => fleet.receive(from, incarnation, message),
    }
}

fn handle_heartbeat(
    fleet: &Arc<Fleet>,
    from: InstanceId,
    incarnation: Incarnation,
    heartbeat: Heartbeat,
) {
    let update = LivenessUpdate {
        from,
        incarnation,
        leaving: heartbeat.leaving,
        revision: heartbeat.revision,
        interval: Duration::from_millis(heartbeat.interval_ms.into()),
        stable_tenths: heartbeat.steady_tenths,
        direct: true,
    };
    let (from_reader, pull_roster) = fleet.apply(|board, now| {
        if let Some(contact) = heartbeat.contact {
            board.members.upsert_contact(*contact, now);
        }
        board.members.record_liveness(update, now);
        let from_reader = follows(board, from) && heartbeat.platform_reachable;
        (from_reader, from_reader || !board.roster.is_known())
    });
    if from_reader {
        fleet.platform.record_reader_contact(fleet.clock.now());
    }
    if pull_roster {
        let have = fleet.view(|board| board.roster.digest());
        if have != heartbeat.roster_digest {
            let pull = Message::RosterPull(RosterPull { have });
            fleet.outgoing.send(from, pull);
        }
    }
    request_config(fleet, from, heartbeat.revision);
}

/// Returns whether this instance follows `from`, the first reader of its failure domain.
///
/// The instance lists of two readers may differ for a moment. An instance that followed both would
/// request the list from each in turn.
fn follows(board: &Blackboard, from: InstanceId) -> bool {
    let readers = placement::readers(&board.members, board.members.own().domain);
    readers.first() == Some(&from) && !readers.contains(&board.me())
}

fn handle_roster(fleet: &Arc<Fleet>, from: InstanceId, delta: RosterDelta) {
    fleet.apply(|board, now| {
        // An instance that started while the platform is down accepts the list from any peer.
        let accepts = follows(board, from) || !board.roster.is_known();
        if accepts && board.roster.apply(delta) {
            board.members.apply_roster(&board.roster, now);
        }
    });
}

fn handle_reports(
    fleet: &Arc<Fleet>,
    from: InstanceId,
    reports: Vec<hawthornmill::wire::message::Report>,
) {
    let revision = fleet.apply(|board, now| {
        let interval: Duration = board.tuning.report;
        for report in reports {
            let (reports, members, ledger) =
                (&mut board.reports, &mut board.members, &mut board.ledger);
            reports.receive(from, report, members, ledger, now, interval);
        }
        board.reports.highest_revision()
    });
    request_config(fleet, from, revision);
}

/// Requests the configuration from `from` if its `revision` is newer than the installed one.
fn request_config(fleet: &Arc<Fleet>, from: InstanceId, revision: u64) {
    let have = fleet.apply(|board, now| {
        let request = board
            .revisions
            .should_request(revision, board.config.revision, now);
        request.then(|| board.manifest.clone())
    });
    if let Some(have) = have {
        let pull = Message::ConfigPull(ConfigPull { have });
        fleet.outgoing.send(from, pull);
    }
}

fn handle_config_pull(fleet: &Arc<Fleet>, from: InstanceId, pull: &ConfigPull) {
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

fn handle_config_values(fleet: &Arc<Fleet>, answer: ConfigValues) {
    let mut values = fleet.view(|board| (*board.values).clone());
    values.extend(answer.values);
    values.retain(|name, _| answer.manifest.values.iter().any(|v| v.name == *name));
    install(fleet, &answer.manifest, values);
}

/// Validates and installs a revision; returns whether it was installed.
pub fn install(fleet: &Arc<Fleet>, manifest: &accept::Manifest, values: accept::Values) -> bool {
    if manifest.revision <= fleet.view(|board| board.config.revision) {
        return false;
    }
    match accept::accept(manifest, &values) {
        Ok(config) => {
            let revision = config.revision;
            let installed = fleet.apply(|board, _| board.install(config, manifest.clone(), values));
            if installed {
                log::info!(target: "config", "revision {revision} in force");
                fleet.heartbeat_now.notify_one();
            }
            installed
        }
        Err(faults) => {
            fleet.apply(|board, _| board.revisions.reject(manifest, &faults));
            for fault in &faults {
                log::error!(target: "config", "revision {} refused: {fault}", manifest.revision);
            }
            false
        }
    }
}
