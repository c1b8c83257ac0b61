//! Scheduling of requests onto the slots of server pools.
//!
//! Requests wait at the entry, the instance that received them ([`queue`], [`entry`]). The owner of
//! a pool ([`owner`]) only knows how many wait for each account, and grants slots one by one to the
//! account that has received the least normalised service ([`schedule`]); the entry then sends its
//! oldest request of that account directly to the server. [`cross_region`] selects the pools that an
//! entry asks, and [`retained`] reuses its slots while an owner is unreachable. [`ownership`] tracks
//! the owner of each pool; [`run_due()`] runs everything that is due after an event.

pub mod cross_region;
pub mod entry;
pub mod owner;
pub mod ownership;
pub mod queue;
pub mod retained;
pub mod schedule;
pub mod tick;

use std::collections::BTreeSet;
use std::time::Instant;

use crate::blackboard::Blackboard;
use crate::fairness::counter_sync;
use crate::ident::{Incarnation, InstanceId};
use crate::membership::placement;
use crate::wire::message::Message;

/// Largest number of rounds of messages to itself in one call of [`run_due()`].
const MAX_SELF_ROUNDS: usize = 64;

/// Instances that need this one's heartbeats: its failure domain, and those it exchanges work with.
///
/// A region's relay also contacts failure domains without a live member, one instance per `round`:
/// an instance that starts while the platform is down knows no others until a heartbeat arrives. A
/// leaving instance sends to all live ones, since any instance may give its address to callers until
/// it knows.
pub fn heartbeat_targets(board: &Blackboard, round: u32) -> BTreeSet<InstanceId> {
    let home = board.members.own().domain;
    let neighbours = board.members.map.iter().filter(|(_, m)| m.domain == home);
    let owners = board
        .sessions
        .values()
        .filter(|s| !s.reported_wants.is_empty() || !s.held.is_empty())
        .filter_map(|s| s.owner);
    let owned = board.owned_pools.values().filter(|owned| owned.active);
    let entries = owned.flat_map(|owned| {
        let waiting = owned.accounts.values().flat_map(|q| q.entries.keys());
        waiting.chain(owned.held.keys().map(|(entry, _)| entry))
    });
    let mut targets: BTreeSet<InstanceId> = neighbours.map(|(id, _)| *id).collect();
    targets.extend(owners.map(|(id, _)| id));
    targets.extend(entries);
    targets.extend(placement::silent_domain_candidates(&board.members, round));
    if board.members.own().leaving {
        targets.extend(board.members.live().map(|(id, _)| id));
    }
    targets.remove(&board.me());
    targets
}

/// Runs everything that is due after recent events, including messages to itself.
pub fn run_due(board: &mut Blackboard, now: Instant) {
    for _ in 0..MAX_SELF_ROUNDS {
        ownership::update_owners(board, now);
        schedule::grant_due(board, now);
        entry::notify_owners(board, now);
        if !deliver_to_self(board, now) {
            return;
        }
    }
}

fn deliver_to_self(board: &mut Blackboard, now: Instant) -> bool {
    let me = board.me();
    let (own, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut board.outbox)
        .into_iter()
        .partition(|(to, _)| *to == me);
    board.outbox = rest;
    let any = !own.is_empty();
    let incarnation = board.incarnation;
    for (_, message) in own {
        handle_message(board, me, incarnation, message, now);
    }
    any
}

/// Handles a pool message from an instance, including this one.
pub fn handle_message(
    board: &mut Blackboard,
    from: InstanceId,
    incarnation: Incarnation,
    message: Message,
    now: Instant,
) {
    match message {
        Message::Demand(demand) => owner::on_demand(board, from, incarnation, &demand, now),
        Message::Grants(grants) => entry::on_grants(board, from, incarnation, &grants, now),
        Message::EntryState(holding) => owner::on_holding(board, from, incarnation, &holding, now),
        Message::Handover(handover) => ownership::on_handover(board, &handover, now),
        Message::Sync {
            pool,
            last_seq,
            ready,
        } => {
            entry::on_sync(board, from, incarnation, pool, last_seq, ready);
        }
        Message::LedgerPull => counter_sync::respond(board, from),
        Message::LedgerSnapshot(snapshot) => counter_sync::apply(board, &snapshot),
        _ => {}
    }
}
