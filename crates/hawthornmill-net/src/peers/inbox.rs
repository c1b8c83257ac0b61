//! What a received message does.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornmill::config::accept;
use hawthornmill::membership::Sign;
use hawthornmill::pools::tick;
use hawthornmill::wire::message::{ConfigPull, ConfigValues, Message};
use hawthornmill::wire::{Frame, FrameError};

use crate::fleet::Fleet;

/// Counts and logs a refused frame.
pub fn refuse(fleet: &Fleet, error: FrameError) {
    fleet.outgoing.refused.fetch_add(1, Ordering::Relaxed);
    log::warn!(target: "peers", "frame dropped: code {} {error}", error.code().number());
}

/// Takes one authenticated frame.
pub fn take(fleet: &Arc<Fleet>, frame: Frame) {
    let (from, incarnation) = (frame.sender, frame.incarnation);
    match frame.message {
        Message::Heartbeat {
            leaving,
            revision,
            contact,
        } => {
            let interval = fleet.settings.heartbeat;
            let sign = Sign {
                from,
                incarnation,
                leaving,
                revision,
                interval,
            };
            hear(fleet, sign, contact.map(|c| *c));
        }
        Message::Probe(number) => fleet.outgoing.send(from, Message::ProbeAck(number)),
        Message::ProbeAck(number) => {
            fleet.feed(|board, now| tick::on_probe_ack(board, number, now));
        }
        Message::Reports(reports) => take_reports(fleet, from, reports),
        Message::ConfigPull(pull) => answer_pull(fleet, from, &pull),
        Message::ConfigValues(values) => take_values(fleet, values),
        message => fleet.receive(from, incarnation, message),
    }
}

fn hear(fleet: &Arc<Fleet>, sign: Sign, contact: Option<hawthornmill::wire::message::Contact>) {
    let behind = fleet.feed(|board, now| {
        if let Some(contact) = contact {
            board.members.learn(contact, now);
        }
        board.members.hear(sign, now);
        sign.revision > board.config.revision
    });
    if behind {
        pull(fleet, sign.from);
    }
}

fn take_reports(
    fleet: &Arc<Fleet>,
    from: hawthornmill::ident::InstanceId,
    reports: Vec<hawthornmill::wire::message::Report>,
) {
    let behind = fleet.feed(|board, now| {
        let interval: Duration = board.tuning.report;
        for report in reports {
            let (reports, members, ledger) =
                (&mut board.reports, &mut board.members, &mut board.ledger);
            reports.take(from, report, members, ledger, now, interval);
        }
        board.reports.revision() > board.config.revision
    });
    if behind {
        pull(fleet, from);
    }
}

fn pull(fleet: &Arc<Fleet>, from: hawthornmill::ident::InstanceId) {
    let have = fleet.view(|board| board.manifest.clone());
    fleet
        .outgoing
        .send(from, Message::ConfigPull(ConfigPull { have }));
}

fn answer_pull(fleet: &Arc<Fleet>, from: hawthornmill::ident::InstanceId, pull: &ConfigPull) {
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
            for fault in &faults {
                log::error!(target: "config", "revision {} refused: {fault}", manifest.revision);
            }
            false
        }
    }
}
