//! Slots that an entry keeps while their owner is silent or does not grant yet.
//!
//! A slot that came free could not be granted to anybody until a successor has heard who holds what,
//! so it would idle. The entry uses it for its own next request instead. It adds no slot, so a server
//! never gets more than its slots from one side.

use std::sync::Arc;
use std::time::Instant;

use super::entry::{Slot, assign_slot};
use crate::blackboard::Blackboard;
use crate::fairness::CostKey;
use crate::ident::{AccountId, PoolId, ServiceId};
use crate::wire::message::{Done, GrantId};

/// Notes the cost of a call that ended while its owner was silent.
///
/// The owner has charged its estimate. If it is heard again in the same run, this corrects it; if it
/// is gone, the estimate stays in its counters. An entry that charged the call itself would have it
/// counted twice.
pub(super) fn record_late_cost(board: &mut Blackboard, pool: PoolId, grant: GrantId, cost: f64) {
    if let Some(link) = board.sessions.get_mut(&pool)
        && !link.late_costs.iter().any(|d| d.grant == grant)
    {
        link.late_costs.push(Done {
            grant,
            cost: cost as f32,
            failed: false,
        });
    }
}

/// Charges a call in a reused slot, for which no owner has charged anything.
pub(super) fn charge_locally(board: &mut Blackboard, slot: Slot, cost: f64) {
    let Some(server) = board.config.servers.get(&slot.server) else {
        return;
    };
    let key = CostKey {
        service: server.service,
        account: slot.account,
    };
    let share = board.config.share(slot.account, slot.server).unwrap_or(1.0);
    board.ledger.charge(key, cost / share);
}

/// Keeps a slot while its owner is silent and gives it to the local request that is served least.
///
/// The owner can't grant it to anybody until a successor has heard who holds what, so a slot that
/// was handed back would idle; reusing it adds none.
pub(super) fn retain_slot(board: &mut Blackboard, pool: PoolId, grant: GrantId, now: Instant) {
    if let Some(slot) = held_mut(board, pool, grant) {
        slot.busy = false;
        slot.reused = true;
    }
    reuse(board, pool, grant, now);
}

pub(super) fn reuse(board: &mut Blackboard, pool: PoolId, grant: GrantId, now: Instant) -> bool {
    let config = Arc::clone(&board.config);
    let Some(slot) = held_mut(board, pool, grant).map(|s| *s) else {
        return false;
    };
    let Some(server) = config.servers.get(&slot.server) else {
        return false;
    };
    let service = server.service;
    let next = board
        .queues
        .keys()
        .filter(|(s, _)| *s == service)
        .map(|(_, account)| *account)
        .filter(|account| config.share(*account, slot.server).is_some())
        .min_by(|a, b| {
            let of = |account: AccountId| board.ledger.total(CostKey { service, account });
            of(*a).total_cmp(&of(*b))
        });
    let Some(account) = next else {
        return false;
    };
    if let Some(slot) = held_mut(board, pool, grant) {
        slot.account = account;
    }
    board.stale_since.is_none() && assign_slot(board, pool, grant, now)
}

/// Gives a kept slot to a request that has just arrived.
pub(super) fn use_retained(board: &mut Blackboard, service: ServiceId, account: AccountId) {
    let Some(arrived) = board
        .queues
        .get(&(service, account))
        .and_then(|q| q.back())
        .and_then(|r| board.waiting.get(*r))
        .map(|w| w.arrived)
    else {
        return;
    };
    let kept: Option<(PoolId, GrantId)> = board
        .sessions
        .iter()
        .filter(|(_, link)| {
            !link.owner_ready || link.owner.is_some_and(|(o, _)| board.is_unreachable(o))
        })
        .find_map(|(pool, link)| {
            link.held
                .iter()
                .find(|(_, s)| !s.busy && board.config.share(account, s.server).is_some())
                .map(|(grant, _)| (*pool, *grant))
        });
    if let Some((pool, grant)) = kept {
        reuse(board, pool, grant, arrived);
    }
}

fn held_mut(board: &mut Blackboard, pool: PoolId, grant: GrantId) -> Option<&mut Slot> {
    board.sessions.get_mut(&pool)?.held.get_mut(&grant)
}
