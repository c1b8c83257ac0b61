//! What is due with the passing of time alone.

use std::time::{Duration, Instant};

use super::entry;
use crate::board::Board;
use crate::fairness::standing;
use crate::ident::InstanceId;
use crate::notes::Note;
use crate::wire::message::{Message, PoolState};

/// Time between two workings-out of owners when nothing changed.
const PLACE_EVERY: Duration = Duration::from_millis(500);

/// Notices that the process was stopped for a while; called with every tick and arrival.
pub fn notice_pause(board: &mut Board, now: Instant) {
    let gap = now.duration_since(board.ticked);
    board.ticked = now;
    if gap > board.tuning.pause {
        board.notes.push(Note::Paused(gap));
        wake(board, now);
    }
}

/// Called every few tens of milliseconds.
pub fn tick(board: &mut Board, now: Instant) {
    notice_pause(board, now);
    if board
        .stale
        .is_some_and(|since| now.duration_since(since) > board.tuning.confirm)
    {
        confirm(board, now);
    }
    board.crossing.refill(board.tuning.cross_bytes, now);
    entry::expire(board, now);
    follow_time(board, now);
    if board.stale.is_none() {
        board.members.sweep(now);
    }
    let due: Vec<_> = board
        .owned
        .iter()
        .filter(|(_, o)| o.active && o.ready.is_some_and(|r| r <= now))
        .map(|(id, _)| *id)
        .collect();
    for pool in due {
        if let Some(owned) = board.owned.get_mut(&pool) {
            owned.dirty = true;
        }
    }
}

/// Works owners out anew now and then: an instance that has been live for long enough is preferred
/// from then on, and no event says when that is.
fn follow_time(board: &mut Board, now: Instant) {
    if now.duration_since(board.placed) >= PLACE_EVERY {
        board.placed = now;
        board.members.changed = true;
    }
}

/// The process was stopped and woke up: what it knows may be long out of date.
///
/// Others may have taken its pools and given its slots away. Until a peer has answered a question
/// asked after the pause, or none has for a while, nothing is dispatched or granted.
fn wake(board: &mut Board, now: Instant) {
    board.stale = Some(now);
    board.woke = Some(now);
    board.pauses += 1;
    let number = board.pauses;
    let me = board.me();
    if let Some(own) = board.members.map.get_mut(&me) {
        own.since = now;
    }
    board.members.changed = true;
    let peers: Vec<InstanceId> = board
        .members
        .map
        .keys()
        .copied()
        .filter(|id| *id != me)
        .collect();
    for peer in peers {
        board.outbox.push((peer, Message::Probe(number)));
    }
}

/// A peer answered a question asked after the last pause.
pub fn on_probe_ack(board: &mut Board, number: u64, now: Instant) {
    if board.stale.is_some() && number == board.pauses {
        confirm(board, now);
    }
}

fn confirm(board: &mut Board, now: Instant) {
    board.stale = None;
    board.notes.push(Note::Confirmed);
    board.members.sweep(now);
    let keys: Vec<_> = board.queues.keys().copied().collect();
    board.dirty.extend(keys);
    for owned in board.owned.values_mut() {
        // Successors may have granted these slots; ask every entry anew before the next grant.
        if owned.active {
            owned.activate(now + board.tuning.rebuild);
        }
    }
}

/// Writes the own report and returns the messages of one round.
pub fn report(board: &mut Board, now: Instant) -> Vec<(InstanceId, Message)> {
    let pools = board
        .owned
        .iter()
        .filter(|(_, o)| o.active)
        .map(|(id, o)| PoolState {
            pool: *id,
            idle: o.idle(now),
            level: o.level as f32,
        })
        .collect();
    let costs = board.ledger.take_changed();
    let revision = board.config.revision;
    board
        .reports
        .write_own(&board.members, revision, pools, costs);
    let keys: Vec<_> = board.queues.keys().copied().collect();
    board.dirty.extend(keys);
    let mut messages = board.reports.round(&board.members);
    messages.extend(standing::ask(board));
    messages
}
