//! Tracks the owner of each pool and transfers pools between owners.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::blackboard::{Blackboard, Policy};
use crate::config::FleetConfig;
use crate::events::Event;
use crate::fairness::{CostKey, Ledger};
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId};
use crate::membership::placement;
use crate::pools::entry;
use crate::pools::owner::OwnedPool;
use crate::wire::message::{EntrySlot, GrantedSlot, Handover, Message};

/// Validity of a handover that arrives before this instance becomes the owner in its own view.
const HANDOVER_VALIDITY: Duration = Duration::from_secs(1);

/// Recomputes owners after the members or the configuration changed.
pub fn update_owners(board: &mut Blackboard, now: Instant) {
    if !board.members.changed {
        return;
    }
    board.members.changed = false;
    board.reassign_at = placement::next_stable_at(&board.members, now);
    let config = Arc::clone(&board.config);
    for (id, pool) in &config.pools {
        let owner = match board.tuning.policy {
            Policy::Static => Some(board.me()),
            Policy::Pooled => placement::owner(&board.members, *id, pool, now),
        };
        update_owner(board, *id, owner, now);
    }
    board
        .owned_pools
        .retain(|id, _| config.pools.contains_key(id));
    apply_liveness_changes(board);
    // Static shares also depend on the number of live instances.
    if board.sized_revision != config.revision || board.tuning.policy == Policy::Static {
        board.sized_revision = config.revision;
        update_servers(board, &config);
    }
}

fn update_owner(board: &mut Blackboard, pool: PoolId, owner: Option<InstanceId>, now: Instant) {
    let incarnation = owner.map(|o| incarnation_of(board, o));
    let level = reported_level(board, pool);
    let session = board.sessions.entry(pool).or_default();
    let owner_run = owner.zip(incarnation);
    if let Some((id, run)) = owner_run
        && session.owner != Some((id, run))
    {
        session.switch_owner(id, run);
        board.events.push(Event::OwnerChanged(pool, id));
        let queues = board.queues.keys().copied();
        board.dirty_queues.extend(queues);
    }
    let owned_here = owner == Some(board.me());
    let ready = match board.tuning.policy {
        Policy::Static => now,
        Policy::Pooled => now + board.tuning.rebuild,
    };
    let me = board.me();
    let owned = board.owned_pools.entry(pool).or_default();
    if owned_here && !owned.active {
        if owned
            .handed_over_at
            .is_some_and(|at| now.duration_since(at) > HANDOVER_VALIDITY)
        {
            owned.deactivate();
        }
        let handed_over = owned.handed_over_at.take().is_some();
        owned.activate(if handed_over { now } else { ready });
        // Without the pool's last level, accounts that were idle would return with credit for that
        // time.
        owned.level = owned.level.max(level);
        // Pools not owned here before have no slots yet.
        board.sized_revision = 0;
        let peers: Vec<InstanceId> = board.members.live().map(|(id, _)| id).collect();
        for peer in peers.into_iter().filter(|p| *p != me) {
            let sync = Message::Sync {
                pool,
                last_seq: 0,
                ready: false,
            };
            board.outbox.push((peer, sync));
        }
    }
    if !owned_here && owned.active {
        let handover = handover(pool, owned, &board.ledger, &board.config);
        owned.deactivate();
        if let Some(to) = owner.filter(|_| board.stale_since.is_none()) {
            board.outbox.push((to, Message::Handover(handover)));
        }
    }
}

/// The state that the next owner of a pool needs to grant at once.
fn handover(pool: PoolId, owned: &OwnedPool, ledger: &Ledger, config: &FleetConfig) -> Handover {
    let held = owned.held.iter().filter_map(|((entry, grant), slot)| {
        let held = GrantedSlot {
            grant: *grant,
            account: slot.account,
            server: slot.server,
        };
        Some(EntrySlot {
            entry: *entry,
            incarnation: *owned.entries.get(entry)?,
            held,
            charged: slot.charged,
        })
    });
    let service = config.pools.get(&pool).map(|p| p.service);
    let lags = owned.accounts.iter().filter_map(|(account, queue)| {
        let account = *account;
        let total = ledger.total(CostKey {
            service: service?,
            account,
        });
        let active = queue.pending > 0 || queue.held > 0;
        active.then_some((account, owned.level - total - queue.offset))
    });
    Handover {
        pool,
        lags: lags.collect(),
        held: held.collect(),
    }
}

/// The level that the last owner of `pool` reported, or 0.
fn reported_level(board: &Blackboard, pool: PoolId) -> f64 {
    let owner = board.sessions.get(&pool).and_then(|s| s.owner);
    owner
        .and_then(|(id, _)| board.reports.pool_state(pool, id))
        .map_or(0.0, |state| state.min_service)
}

fn incarnation_of(board: &Blackboard, id: InstanceId) -> Incarnation {
    board
        .members
        .map
        .get(&id)
        .map_or(Incarnation::default(), |m| m.incarnation)
}

/// Drops the state of entries that died, and resyncs entries that returned.
///
/// Requests of a dead entry may still run on a server; the server's load report keeps the owner from
/// granting those slots twice. An entry that was only unreachable doesn't know that its state was
/// dropped and would never send it again, so both sides resend everything.
fn apply_liveness_changes(board: &mut Blackboard) {
    let dead = std::mem::take(&mut board.members.newly_dead);
    for owned in board.owned_pools.values_mut() {
        for id in &dead {
            owned.remove_entry(*id);
        }
    }
    board
        .events
        .extend(dead.into_iter().map(Event::InstanceDown));
    for id in std::mem::take(&mut board.members.newly_live) {
        board.reports.forget_sent(id);
        board.events.push(Event::InstanceUp(id));
        entry::resync(board, id);
    }
}

/// Takes over a pool from its previous owner.
///
/// Without a handover, a new owner has to collect the held slots from every entry first, while free
/// slots idle. Entries that have already sent their state may be more recent than the handover, or
/// may have switched back to the previous owner since; their slots count as held, and they are
/// synced again. An owner that already grants has collected all entries, so it ignores a late
/// handover from an instance that was partitioned or paused.
pub fn on_handover(board: &mut Blackboard, handover: &Handover, now: Instant) {
    let Some(service) = board.config.pools.get(&handover.pool).map(|p| p.service) else {
        return;
    };
    let owned = board.owned_pools.entry(handover.pool).or_default();
    if owned.active && owned.ready_at.is_some_and(|ready| ready <= now) {
        return;
    }
    for entry in owned.entries.keys() {
        let last = owned.last_grants.get(entry).copied().unwrap_or(0);
        let sync = Message::Sync {
            pool: handover.pool,
            last_seq: last,
            ready: false,
        };
        board.outbox.push((*entry, sync));
    }
    let members = &board.members;
    for by in handover.held.iter().filter(|h| members.is_live(h.entry)) {
        if owned.register_entry(by.entry, by.incarnation) {
            owned.add_held(by.entry, &by.held, by.charged);
        }
    }
    let ledger = &board.ledger;
    let total = |account: AccountId| ledger.total(CostKey { service, account });
    for (account, lag) in &handover.lags {
        owned.level = owned.level.max(total(*account) + lag);
    }
    for (account, lag) in &handover.lags {
        let offset = owned.level - lag - total(*account);
        owned.accounts.entry(*account).or_default().offset = offset;
    }
    if owned.active {
        owned.activate(now);
    } else {
        owned.handed_over_at = Some(now);
    }
}

/// Applies servers and slots of the configuration to the owned pools.
fn update_servers(board: &mut Blackboard, config: &FleetConfig) {
    let live: Vec<InstanceId> = board.members.live().map(|(id, _)| id).collect();
    let rank = live.iter().position(|id| *id == board.me()).unwrap_or(0);
    let policy = board.tuning.policy;
    // Only pools owned here: for all pools, time and memory would grow with the whole fleet.
    for (id, owned) in board.owned_pools.iter_mut().filter(|(_, o)| o.active) {
        let Some(pool) = config.pools.get(id) else {
            continue;
        };
        owned.servers.retain(|s, _| pool.servers.contains(s));
        for server in &pool.servers {
            let server_config = &config.servers[server];
            let slots = match policy {
                Policy::Pooled => server_config.slots,
                Policy::Static => static_share(server_config.slots, rank, live.len(), server.0),
            };
            let server_slots = owned.servers.entry(*server).or_default();
            owned.dirty |= server_slots.resize(slots, server_config.class, server_config.leaving);
        }
    }
}

/// The static share of `slots` for the instance with `rank` among `count`.
fn static_share(slots: u16, rank: usize, count: usize, salt: u64) -> u16 {
    let slots = usize::from(slots);
    // Remainders rotate by server, so that they don't all go to the first instances.
    let rank = (rank + (salt % count.max(1) as u64) as usize) % count.max(1);
    let end = |r: usize| slots * r / count.max(1);
    (end(rank + 1) - end(rank)) as u16
}
