//! The grant decision: which account gets the next free slot, on which server, at which entry.

use std::sync::Arc;
use std::time::Instant;

use smallvec::SmallVec;

use super::owner::{self, HeldSlot, OwnedPool, maker};
use crate::blackboard::Blackboard;
use crate::config::FleetConfig;
use crate::fairness::{CostKey, Ledger};
use crate::ident::{AccountId, InstanceId, PoolId, ServerId, ServiceId};
use crate::wire::message::{Grant, GrantId, Grants, Message};

/// Server classes with free slots, on the stack for up to 8 classes.
type FreeClasses = SmallVec<[(u16, usize); 8]>;

/// A server with available slots.
#[derive(Debug, Clone, Copy)]
struct FreeServer {
    id: ServerId,
    class: u16,
    free: u16,
    last_grant: u32,
}

/// Servers with available slots in the order of their IDs; under load rarely more than a few.
type FreeServers = SmallVec<[FreeServer; 16]>;

/// Totals of the waiting accounts; the stack holds those of a tenth of a large fleet's accounts.
type Totals = SmallVec<[f64; 32]>;

/// Makes all grants that are due.
pub fn grant_due(board: &mut Blackboard, now: Instant) {
    if board.stale_since.is_some() {
        return;
    }
    owner::announce_ready(board, now);
    let config = Arc::clone(&board.config);
    let mut due = Vec::new();
    for (id, owned) in &board.owned_pools {
        let ready = owned.is_ready(now);
        if owned.active && owned.dirty && ready && config.pools.contains_key(id) {
            due.push(*id);
        }
    }
    for id in due {
        grant_pool(board, &config, id, now);
    }
}

fn grant_pool(board: &mut Blackboard, config: &FleetConfig, id: PoolId, now: Instant) {
    let service = config.pools[&id].service;
    let default = config.services[&service].estimate;
    let own_maker = maker(board.incarnation);
    let Some(owned) = board.owned_pools.get_mut(&id) else {
        return;
    };
    owned.dirty = false;
    let cap = board.tuning.lag_cap * default * f64::from(total_slots(owned));
    let mut messages: Vec<(InstanceId, Grants)> = Vec::new();
    // Collected once per run: with a scan for each grant, its cost would grow with the servers.
    let mut free = free_servers(owned, now);
    while !free.is_empty() {
        let classes = free_classes(&free, config);
        let Some(pick) = pick_account(owned, config, &board.ledger, service, &classes, cap) else {
            break;
        };
        let Some(server) = pick_server(&free, pick.class) else {
            break;
        };
        let key = CostKey {
            service,
            account: pick.account,
        };
        let charge = board.ledger.estimated_cost(key, default) / pick.share;
        board.ledger.charge(key, charge);
        let entry = record_grant(owned, pick.account, server, charge, own_maker);
        push_grant(&mut messages, id, entry, owned.seq, pick.account, server);
        refresh_server(&mut free, owned, server, now);
    }
    board
        .outbox
        .extend(messages.into_iter().map(|(to, g)| (to, Message::Grants(g))));
}

fn total_slots(owned: &OwnedPool) -> u32 {
    owned.servers.values().map(|s| u32::from(s.total)).sum()
}

fn free_servers(owned: &OwnedPool, now: Instant) -> FreeServers {
    let servers = owned.servers.iter();
    servers
        .map(|(id, s)| FreeServer {
            id: *id,
            class: s.class,
            free: s.available(now),
            last_grant: s.last_grant,
        })
        .filter(|s| s.free > 0)
        .collect()
}

/// Updates the free slots of `server` after a grant.
fn refresh_server(free: &mut FreeServers, owned: &OwnedPool, server: ServerId, now: Instant) {
    let Some(slots) = owned.servers.get(&server) else {
        return;
    };
    for free_server in free.iter_mut().filter(|s| s.id == server) {
        free_server.free = slots.available(now);
        free_server.last_grant = slots.last_grant;
    }
    free.retain(|s| s.free > 0);
}

/// Classes with a free slot, those open to the fewest accounts first.
///
/// An account that may use several classes thus leaves the widely open ones to accounts that have no
/// alternative.
fn free_classes(free: &FreeServers, config: &FleetConfig) -> FreeClasses {
    let mut classes = FreeClasses::new();
    for server in free {
        if !classes.iter().any(|(c, _)| *c == server.class) {
            let accounts = config
                .classes
                .get(usize::from(server.class))
                .map_or(0, |c| c.shares.len());
            classes.push((server.class, accounts));
        }
    }
    classes.sort_by_key(|(class, accounts)| (*accounts, *class));
    classes
}

/// The account that gets the next slot, and the server class to take it from.
struct Pick {
    account: AccountId,
    class: u16,
    share: f64,
}

/// The waiting account with the least normalised service that may use a server with a free slot.
fn pick_account(
    owned: &mut OwnedPool,
    config: &FleetConfig,
    ledger: &Ledger,
    service: ServiceId,
    free: &FreeClasses,
    cap: f64,
) -> Option<Pick> {
    // One ledger lookup per account: these make up most of the cost of a grant.
    let totals: Totals = owned
        .accounts
        .iter()
        .filter(|(_, q)| q.pending > 0)
        .map(|(account, _)| {
            let account = *account;
            ledger.total(CostKey { service, account })
        })
        .collect();
    let mut lowest = f64::INFINITY;
    let mut highest = f64::NEG_INFINITY;
    let waiting = owned.accounts.values().filter(|q| q.pending > 0);
    for (queue, total) in waiting.zip(&totals) {
        let received = total + queue.offset;
        lowest = lowest.min(received);
        highest = highest.max(received);
    }
    let mut best: Option<(f64, Pick)> = None;
    let waiting = owned.accounts.iter_mut().filter(|(_, q)| q.pending > 0);
    for ((account, queue), total) in waiting.zip(&totals) {
        // Lag beyond the cap is dropped: an account that was restricted to a few servers could
        // otherwise block the others until it had caught up.
        queue.offset = queue.offset.max(highest - cap - total);
        let received = total + queue.offset;
        if best.as_ref().is_some_and(|(s, _)| *s <= received) {
            continue;
        }
        let usable = free
            .iter()
            .find_map(|(class, _)| Some((*class, config.class_share(*account, *class)?)));
        if let Some((class, share)) = usable {
            let account = *account;
            best = Some((
                received,
                Pick {
                    account,
                    class,
                    share,
                },
            ));
        }
    }
    if lowest.is_finite() {
        owned.level = owned.level.max(lowest);
    }
    best.map(|(_, pick)| pick)
}

/// The server of `class` with the most free slots; with several, the least recently granted one.
///
/// Without the second rule an idle pool would grant the same server to every call, including the
/// retry of a call that failed there.
fn pick_server(free: &FreeServers, class: u16) -> Option<ServerId> {
    free.iter()
        .filter(|s| s.class == class)
        .max_by_key(|s| (s.free, std::cmp::Reverse(s.last_grant)))
        .map(|s| s.id)
}

/// Records a grant and returns the entry that gets it: the waiting one least recently granted.
fn record_grant(
    owned: &mut OwnedPool,
    account: AccountId,
    server: ServerId,
    charged: f64,
    maker: u32,
) -> InstanceId {
    owned.seq += 1;
    let seq = owned.seq;
    let queue = owned.accounts.entry(account).or_default();
    let (entry, want) = queue
        .entries
        .iter_mut()
        .filter(|(_, w)| w.pending() > 0)
        .min_by_key(|(_, w)| w.last_grant)
        .expect("an account with pending requests has an entry that waits");
    want.granted = want.granted.wrapping_add(1);
    want.last_grant = seq;
    let entry = *entry;
    queue.pending -= 1;
    queue.held += 1;
    let slot = HeldSlot {
        account,
        server,
        charged: Some(charged),
    };
    owned.held.insert(
        (
            entry,
            GrantId {
                owner_run: maker,
                seq,
            },
        ),
        slot,
    );
    owned.last_grants.insert(entry, seq);
    if let Some(slots) = owned.servers.get_mut(&server) {
        slots.acquire();
        slots.last_grant = seq;
    }
    entry
}

fn push_grant(
    messages: &mut Vec<(InstanceId, Grants)>,
    pool: PoolId,
    entry: InstanceId,
    seq: u32,
    account: AccountId,
    server: ServerId,
) {
    let grant = Grant {
        seq,
        account,
        server,
    };
    if let Some((_, grants)) = messages.iter_mut().find(|(to, _)| *to == entry) {
        grants.grants.push(grant);
        return;
    }
    let grants = SmallVec::from_iter([grant]);
    messages.push((entry, Grants { pool, grants }));
}
