//! Slots that an entry retains while their owner is unreachable or doesn't grant yet.
//!
//! A returned slot would idle until the next owner has collected the held slots. The entry uses it
//! for its own next request instead. This adds no slot, so in a partition neither side runs more
//! calls on a server than it has slots.

use std::sync::Arc;
use std::time::Instant;

use super::entry::{Slot, assign_slot};
use crate::blackboard::Blackboard;
use crate::fairness::CostKey;
use crate::ident::{AccountId, PoolId, ServiceId};
use crate::wire::message::{GrantId, SlotRelease};

/// Records the cost of a call that ended while its owner was unreachable.
///
/// The owner has charged an estimate. If the same run of it returns, this corrects the charge; if
/// not, the estimate remains in its counters. If the entry charged the call too, it would be counted
/// twice.
pub(super) fn record_late_cost(board: &mut Blackboard, pool: PoolId, grant: GrantId, cost: f64) {
    if let Some(session) = board.sessions.get_mut(&pool)
        && !session.late_costs.iter().any(|d| d.grant == grant)
    {
        session.late_costs.push(SlotRelease {
            grant,
            cost: cost as f32,
            failed: false,
        });
    }
}

/// Charges a call in a reused slot, which no owner has charged.
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

/// Retains a slot and reuses it for a local request if one is waiting.
pub(super) fn retain_slot(board: &mut Blackboard, pool: PoolId, grant: GrantId, now: Instant) {
    if let Some(slot) = held_mut(board, pool, grant) {
        slot.busy = false;
        slot.reused = true;
    }
    reuse(board, pool, grant, now);
}

/// Assigns a retained slot to the local account with the least service; returns false if none waits.
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
            let total = |account: AccountId| board.ledger.total(CostKey { service, account });
            total(*a).total_cmp(&total(*b))
        });
    let Some(account) = next else {
        return false;
    };
    if let Some(slot) = held_mut(board, pool, grant) {
        slot.account = account;
    }
    board.stale_since.is_none() && assign_slot(board, pool, grant, now)
}

/// Assigns a retained slot to a request that has just arrived.
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
    let retained: Option<(PoolId, GrantId)> = board
        .sessions
        .iter()
        .filter(|(_, session)| {
            !session.owner_ready || session.owner.is_some_and(|(o, _)| board.is_unreachable(o))
        })
        .find_map(|(pool, session)| {
            session
                .held
                .iter()
                .find(|(_, s)| !s.busy && board.config.share(account, s.server).is_some())
                .map(|(grant, _)| (*pool, *grant))
        });
    if let Some((pool, grant)) = retained {
        reuse(board, pool, grant, arrived);
    }
}

fn held_mut(board: &mut Blackboard, pool: PoolId, grant: GrantId) -> Option<&mut Slot> {
    board.sessions.get_mut(&pool)?.held.get_mut(&grant)
}
