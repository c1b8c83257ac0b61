//! Follows who owns which pool.

use std::sync::Arc;
use std::time::Instant;

use crate::board::{Board, Policy};
use crate::config::FleetConfig;
use crate::ident::{Incarnation, InstanceId, PoolId};
use crate::membership::place;
use crate::notes::Note;
use crate::pools::entry;
use crate::wire::message::Message;

/// Works out owners anew after the members or the configuration changed.
pub fn refresh(board: &mut Board, now: Instant) {
    if !board.members.changed {
        return;
    }
    board.members.changed = false;
    let config = Arc::clone(&board.config);
    for (id, pool) in &config.pools {
        let owner = match board.tuning.policy {
            Policy::Static => Some(board.me()),
            Policy::Pooled => place::owner(&board.members, *id, pool, now),
        };
        follow(board, *id, owner, now);
    }
    board.owned.retain(|id, _| config.pools.contains_key(id));
    follow_lives(board);
    resize(board, &config);
}

fn follow(board: &mut Board, pool: PoolId, owner: Option<InstanceId>, now: Instant) {
    let incarnation = owner.map(|o| incarnation_of(board, o));
    let link = board.links.entry(pool).or_default();
    let found = owner.zip(incarnation);
    if let Some((id, run)) = found
        && link.owner != Some((id, run))
    {
        link.turn_to(id, run);
        board.notes.push(Note::Owner(pool, id));
        let queues = board.queues.keys().copied();
        board.dirty.extend(queues);
    }
    let mine = owner == Some(board.me());
    let ready = match board.tuning.policy {
        Policy::Static => now,
        Policy::Pooled => now + board.tuning.rebuild,
    };
    let me = board.me();
    let book = board.owned.entry(pool).or_default();
    if mine && !book.active {
        book.activate(ready);
        let peers: Vec<InstanceId> = board.members.live().map(|(id, _)| id).collect();
        for peer in peers.into_iter().filter(|p| *p != me) {
            board.outbox.push((peer, Message::Sync { pool, last: 0 }));
        }
    }
    if !mine && book.active {
        book.deactivate();
    }
}

fn incarnation_of(board: &Board, id: InstanceId) -> Incarnation {
    board
        .members
        .map
        .get(&id)
        .map_or(Incarnation::default(), |m| m.incarnation)
}

/// Drops what entries that died wanted and held, and asks those that came back.
///
/// Requests of a dead entry may still run on a server; the server's load report keeps the owner
/// from granting those slots twice. An entry that was only silent does not know that it was
/// dropped, so its wants would be missing for good if nobody asked: both sides say everything again.
fn follow_lives(board: &mut Board) {
    let died = std::mem::take(&mut board.members.died);
    for owned in board.owned.values_mut() {
        for id in &died {
            owned.forget(*id);
        }
    }
    board.notes.extend(died.into_iter().map(Note::Died));
    for id in std::mem::take(&mut board.members.revived) {
        board.notes.push(Note::Revived(id));
        entry::resync(board, id);
    }
}

/// Takes servers and their slots from the configuration.
fn resize(board: &mut Board, config: &FleetConfig) {
    let live: Vec<InstanceId> = board.members.live().map(|(id, _)| id).collect();
    let rank = live.iter().position(|id| *id == board.me()).unwrap_or(0);
    let policy = board.tuning.policy;
    // Only pools owned here: the time and memory for all others would grow with the whole fleet.
    for (id, owned) in board.owned.iter_mut().filter(|(_, o)| o.active) {
        let Some(pool) = config.pools.get(id) else {
            continue;
        };
        owned.servers.retain(|s, _| pool.servers.contains(s));
        for server in &pool.servers {
            let known = &config.servers[server];
            let slots = match policy {
                Policy::Pooled => known.slots,
                Policy::Static => part(known.slots, rank, live.len(), server.0),
            };
            let entry = owned.servers.entry(*server).or_default();
            entry.resize(slots, known.class, known.leaving);
        }
        owned.dirty = true;
    }
}

/// The part of `slots` that the instance of `rank` among `count` schedules alone.
fn part(slots: u16, rank: usize, count: usize, salt: u64) -> u16 {
    let slots = usize::from(slots);
    // Remainders are turned by server, so that they do not all fall to the first instances.
    let rank = (rank + (salt % count.max(1) as u64) as usize) % count.max(1);
    let upto = |r: usize| slots * r / count.max(1);
    (upto(rank + 1) - upto(rank)) as u16
}
