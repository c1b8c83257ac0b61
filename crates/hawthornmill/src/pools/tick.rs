//! Periodic work that no event triggers.

use std::time::Instant;

use super::entry;
use crate::blackboard::Blackboard;
use crate::events::Event;
use crate::fairness::counter_sync;
use crate::ident::InstanceId;
use crate::wire::message::{Message, PoolState, ProbeAck};

/// Detects that the process was stopped for a while; called with every tick and arrival.
pub fn detect_pause(board: &mut Blackboard, now: Instant) {
    let gap = now.duration_since(board.last_tick);
    board.last_tick = now;
    if gap > board.tuning.pause {
        board.events.push(Event::ProcessPaused(gap));
        on_resume(board, now);
    }
}

/// Called every few tens of milliseconds.
pub fn tick(board: &mut Blackboard, now: Instant) {
    detect_pause(board, now);
    if board
        .stale_since
        .is_some_and(|since| now.duration_since(since) > board.tuning.confirm)
    {
        confirm_view(board, now);
    }
    board.cross_region.refill(board.tuning.cross_bytes, now);
    check_awaited_revision(board, now);
    entry::expire(board, now);
    check_reassignment(board, now);
    if board.stale_since.is_none() {
        board.members.expire_silent(now);
        for id in board.members.remove_expired(&board.roster, now) {
            board.reports.forget(id);
        }
    }
    let due: Vec<_> = board
        .owned_pools
        .iter()
        .filter(|(_, o)| o.active && o.ready_at.is_some_and(|r| r <= now))
        .map(|(id, _)| *id)
        .collect();
    for pool in due {
        if let Some(owned) = board.owned_pools.get_mut(&pool) {
            owned.dirty = true;
        }
    }
}

/// Requests new owners once an instance becomes stable and thus preferred, which no event signals.
fn check_reassignment(board: &mut Blackboard, now: Instant) {
    if board.reassign_at.is_some_and(|due| due <= now) {
        board.reassign_at = None;
        board.members.changed = true;
    }
}

/// Marks the view as stale after the process was stopped and resumed.
///
/// Other instances may have taken over its pools and granted its slots. Nothing is dispatched or
/// granted until a peer has responded to a probe sent after the pause, or none has for a while.
fn on_resume(board: &mut Blackboard, now: Instant) {
    board.stale_since = Some(now);
    board.resumed_at = Some(now);
    board.pause_count += 1;
    let number = board.pause_count;
    board.awaited_revision = None;
    let me = board.me();
    board.members.reset_stability(now);
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

/// Handles a peer's response to a probe.
///
/// A response to a probe sent before the last pause, recognised by its number, may have been in the
/// socket buffer during the pause and confirms nothing. If the peer has a later configuration,
/// servers may have been removed during the pause, so the view stays stale until that revision is in
/// force here.
pub fn on_probe_ack(board: &mut Blackboard, ack: ProbeAck, now: Instant) {
    board.startup.highest_revision = board.startup.highest_revision.max(ack.revision);
    board.startup.peer_serving |= ack.serving;
    if board.stale_since.is_some() && ack.number == board.pause_count && board.pause_count > 0 {
        board.awaited_revision = board.awaited_revision.max(Some(ack.revision));
        check_awaited_revision(board, now);
    }
}

fn check_awaited_revision(board: &mut Blackboard, now: Instant) {
    let awaited = board.awaited_revision;
    if board.stale_since.is_some() && awaited.is_some_and(|r| r <= board.config.revision) {
        confirm_view(board, now);
    }
}

fn confirm_view(board: &mut Blackboard, now: Instant) {
    board.stale_since = None;
    board.events.push(Event::ViewConfirmed);
    board.awaited_revision = None;
    board.members.expire_silent(now);
    let keys: Vec<_> = board.queues.keys().copied().collect();
    board.dirty_queues.extend(keys);
    for owned in board.owned_pools.values_mut() {
        // Other owners may have granted these slots, so the held slots are collected again first.
        if owned.active {
            owned.activate(now + board.tuning.rebuild);
        }
    }
}

/// Updates this instance's report and returns the messages of the next round.
pub fn build_reports(board: &mut Blackboard, now: Instant) -> Vec<(InstanceId, Message)> {
    let pools = board
        .owned_pools
        .iter()
        .filter(|(_, o)| o.active)
        .map(|(id, o)| PoolState {
            pool: *id,
            idle: o.idle_slots(now),
            min_service: o.level,
        })
        .collect();
    let costs = board.ledger.take_changed();
    let revision = board.config.revision;
    board
        .reports
        .write_own(&board.members, revision, pools, costs, now);
    let keys: Vec<_> = board.queues.keys().copied().collect();
    board.dirty_queues.extend(keys);
    let mut messages = board.reports.next_round(&board.members);
    messages.extend(counter_sync::next_request(board));
    messages
}
