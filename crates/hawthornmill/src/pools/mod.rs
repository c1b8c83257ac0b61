//! Pools, owners and slots.
//!
//! Requests wait at the entry that received them ([`queue`], [`entry`]). The owner of a pool ([`owner`])
//! learns only how many wait for each account, and grants slots one by one to the account that has
//! received the least normalised service; the entry then sends its oldest request of that account
//! straight to the server. [`cross_region`] says which pools an entry asks, and [`retained`] what becomes of
//! its slots while an owner is silent. [`ownership`] follows the members and the configuration; [`run_due()`] runs
//! whatever is due after an event.

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

/// Rounds of messages to itself that one turn may take.
const MAX_SELF_ROUNDS: usize = 64;

/// Instances that need this one's heartbeats: its failure domain, and those it works with.
///
/// A region's relay also tries the failure domains in which nobody is heard, one instance after
/// another with each `round`: one that starts while the platform is down knows nobody, and a
/// heartbeat brings it a first contact. One that leaves tells everybody: callers in any region may be
/// given its address until the instance that they ask has heard of it.
pub fn heartbeat_targets(board: &Blackboard, round: u32) -> BTreeSet<InstanceId> {
    let home = board.members.own().domain;
    let mates = board.members.map.iter().filter(|(_, m)| m.domain == home);
    let owners = board
        .sessions
        .values()
        .filter(|link| !link.reported_wants.is_empty() || !link.held.is_empty())
        .filter_map(|link| link.owner);
    let owned = board.owned_pools.values().filter(|owned| owned.active);
    let entries = owned.flat_map(|owned| {
        let wants = owned.accounts.values().flat_map(|q| q.entries.keys());
        wants.chain(owned.held.keys().map(|(entry, _)| entry))
    });
    let mut targets: BTreeSet<InstanceId> = mates.map(|(id, _)| *id).collect();
    targets.extend(owners.map(|(id, _)| id));
    targets.extend(entries);
    targets.extend(placement::silent_domain_candidates(&board.members, round));
    if board.members.own().leaving {
        targets.extend(board.members.live().map(|(id, _)| id));
    }
    targets.remove(&board.me());
    targets
}

/// Runs everything that recent events have made due, messages to itself included.
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

/// Takes a pool message from an instance, this one included.
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
        Message::Holding(holding) => owner::on_holding(board, from, incarnation, &holding, now),
        Message::Handover(handover) => ownership::on_handover(board, &handover, now),
        Message::Sync { pool, last, ready } => {
            entry::on_sync(board, from, incarnation, pool, last, ready);
        }
        Message::StandingPull => counter_sync::respond(board, from),
        Message::Standing(told) => counter_sync::apply(board, &told),
        _ => {}
    }
}
