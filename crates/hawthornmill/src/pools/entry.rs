//! The entry's side of a pool: requests that wait, slots that are held.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::cross_region;
use super::owner::maker;
use super::queue;
pub use super::queue::{
    Arrival, cancel, check_account_limits, enqueue, expire, requeue, retry_after,
};
use super::retained::{charge_locally, record_late_cost, retain_slot, reuse};
use crate::blackboard::{Blackboard, Dispatch};
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId, ServerId, ServiceId};
use crate::wire::message::{Demand, Done, Grant, GrantId, Grants, Held, Holding, Message, Want};

/// Waiting requests of one account that one owner is told of at most.
///
/// More would only cost messages: a grant raises the want again, and an owner seldom frees more
/// slots at once.
pub const MAX_WANT: usize = 16;
/// Time for which a server's word that it leaves holds at an entry; the owner reads its load anew.
const LEAVING_VALIDITY: Duration = Duration::from_secs(5);

/// A slot that this entry holds.
#[derive(Debug, Clone, Copy)]
pub struct Slot {
    /// Account that it serves.
    pub account: AccountId,
    /// Server on which it is.
    pub server: ServerId,
    /// A request uses it; otherwise it is kept while the owner is silent.
    pub busy: bool,
    /// It was reused without a grant, so nobody has charged it yet.
    pub reused: bool,
    /// Since when its present request has it.
    pub started: Instant,
}

/// Up to which number the grants of one owner run have arrived or never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ack {
    /// Owner.
    pub owner: InstanceId,
    /// Its process run.
    pub run: Incarnation,
    /// Number of a grant.
    pub seq: u32,
}

/// Owners whose last grant number is remembered for one pool.
const RECENT_OWNERS: usize = 4;

/// Dealings with the owner of one pool.
#[derive(Debug, Clone, Default)]
pub struct OwnerSession {
    /// Owner and its process run.
    pub owner: Option<(InstanceId, Incarnation)>,
    /// Number of the last grant of each recent owner run that arrived or is known to be lost.
    ///
    /// It outlives a turn to another owner and back: the first owner may not have noticed, and would
    /// take every grant above a forgotten number for one in flight, whose slot stays taken for good.
    pub acks: SmallVec<[Ack; RECENT_OWNERS]>,
    /// Grants received per account from this owner.
    pub grants_received: BTreeMap<AccountId, u32>,
    /// Wants as last told.
    pub reported_wants: BTreeMap<AccountId, u32>,
    /// Slots to give back.
    pub released: SmallVec<[Done; 2]>,
    /// Costs of calls that ended in kept slots while the owner was silent.
    pub late_costs: Vec<Done>,
    /// Wants to tell.
    pub pending_wants: SmallVec<[Want; 2]>,
    /// Slots held.
    pub held: BTreeMap<GrantId, Slot>,
    /// The owner must be told everything.
    pub resync: bool,
    /// The owner is known to grant; until then slots that come free are kept.
    pub owner_ready: bool,
}

impl OwnerSession {
    /// Turns to a new owner, or a new run of the same one.
    pub fn switch_owner(&mut self, owner: InstanceId, run: Incarnation) {
        self.owner = Some((owner, run));
        self.grants_received.clear();
        self.reported_wants.clear();
        self.pending_wants.clear();
        self.released.clear();
        // The estimates that the earlier owner charged for these stand in its counters.
        self.late_costs.clear();
        self.held.retain(|_, slot| slot.busy);
        self.resync = true;
        self.owner_ready = false;
    }

    /// Notes that grants of `owner` up to `seq` have arrived or never will.
    pub fn acknowledge(&mut self, owner: InstanceId, run: Incarnation, seq: u32) {
        let known = self.acks.iter().position(|a| a.owner == owner);
        let mut ack = known.map_or(Ack { owner, run, seq }, |at| self.acks.remove(at));
        ack = match ack.run.cmp(&run) {
            std::cmp::Ordering::Less => Ack { owner, run, seq },
            std::cmp::Ordering::Equal => Ack {
                seq: ack.seq.max(seq),
                ..ack
            },
            std::cmp::Ordering::Greater => ack,
        };
        if self.acks.len() == RECENT_OWNERS {
            self.acks.remove(0);
        }
        self.acks.push(ack);
    }

    /// Number of the last grant of the present owner that arrived or never will.
    pub fn ack(&self) -> u32 {
        let acks = self.acks.iter();
        let known = acks.filter(|a| self.owner == Some((a.owner, a.run)));
        known.map(|a| a.seq).max().unwrap_or(0)
    }
}

/// Takes grants: each goes to the oldest waiting request of its account, or back.
pub fn on_grants(
    board: &mut Blackboard,
    from: InstanceId,
    incarnation: Incarnation,
    grants: &Grants,
    now: Instant,
) {
    for grant in &grants.grants {
        let id = GrantId {
            maker: maker(incarnation),
            seq: grant.seq,
        };
        if !accept_grant(board, from, incarnation, grants.pool, grant, now) {
            return_unused(board, from, grants.pool, id);
            continue;
        }
        // An old view must not start anything: a process that was paused may hold grants that
        // the owner has long given to others.
        if board.stale_since.is_some() || !assign_slot(board, grants.pool, id, now) {
            // An owner that has not heard yet that the server leaves would grant it over and over.
            let leaving = is_leaving(board, grant.server, now);
            return_slot(board, grants.pool, id, 0.0, leaving);
        }
    }
}

fn accept_grant(
    board: &mut Blackboard,
    from: InstanceId,
    incarnation: Incarnation,
    pool: PoolId,
    grant: &Grant,
    now: Instant,
) -> bool {
    let Some(link) = board.sessions.get_mut(&pool) else {
        return false;
    };
    link.acknowledge(from, incarnation, grant.seq);
    if link.owner != Some((from, incarnation)) {
        return false;
    }
    link.owner_ready = true;
    *link.grants_received.entry(grant.account).or_default() += 1;
    let id = GrantId {
        maker: maker(incarnation),
        seq: grant.seq,
    };
    let slot = Slot {
        account: grant.account,
        server: grant.server,
        busy: false,
        reused: false,
        started: now,
    };
    link.held.insert(id, slot);
    true
}

/// Gives an idle held slot to the oldest fitting request of its account.
pub(super) fn assign_slot(
    board: &mut Blackboard,
    pool: PoolId,
    grant: GrantId,
    now: Instant,
) -> bool {
    let config = Arc::clone(&board.config);
    let Some(slot) = board.sessions.get(&pool).and_then(|l| l.held.get(&grant)) else {
        return false;
    };
    let (account, server) = (slot.account, slot.server);
    let Some(known) = config.servers.get(&server) else {
        return false;
    };
    let Some(share) = config.share(account, server) else {
        return false;
    };
    if is_leaving(board, server, now) {
        return false;
    }
    let Some(request) = queue::next_request(board, known.service, account, server, now) else {
        return false;
    };
    let Some(waiting) = cancel(board, request) else {
        return false;
    };
    let Some(link) = board.sessions.get_mut(&pool) else {
        return false;
    };
    if let Some(slot) = link.held.get_mut(&grant) {
        slot.busy = true;
        slot.started = now;
    }
    let owner = link.owner.map_or(board.members.me, |(id, _)| id);
    cross_region::spend(board, pool, waiting.bytes);
    queue::record_dispatch(board, known.service, account, now);
    board.dispatches.push(Dispatch {
        request,
        pool,
        grant,
        server,
        owner,
        share,
        arrived: waiting.arrived,
    });
    true
}

/// Tells whether the configuration or the server itself says that it is leaving.
fn is_leaving(board: &Blackboard, server: ServerId, now: Instant) -> bool {
    let listed = board.config.servers.get(&server).is_some_and(|s| s.leaving);
    let said = board.leaving_servers.get(&server);
    listed || said.is_some_and(|at| now.duration_since(*at) < LEAVING_VALIDITY)
}

/// An answer of `server` said that it is leaving.
pub fn on_server_leaving(board: &mut Blackboard, server: ServerId, now: Instant) {
    board.leaving_servers.insert(server, now);
    board
        .leaving_servers
        .retain(|_, at| now.duration_since(*at) < LEAVING_VALIDITY);
}

/// A request has left its slot: the slot goes back, or is kept while the owner is silent.
pub fn finish(
    board: &mut Blackboard,
    pool: PoolId,
    grant: GrantId,
    cost: f64,
    failed: bool,
    now: Instant,
) {
    let Some(link) = board.sessions.get(&pool) else {
        return;
    };
    let Some((owner, _)) = link.owner else {
        return;
    };
    let Some(slot) = link.held.get(&grant).copied() else {
        return;
    };
    let settled = link.owner_ready;
    if let Some(server) = board.config.servers.get(&slot.server)
        && cost > 0.0
        && !failed
    {
        let time = now.duration_since(slot.started);
        queue::record_holding_time(board, server.service, slot.account, time);
    }
    // A new owner that still collects what entries hold grants nothing, so a slot that was handed
    // back to it would idle as with a silent one.
    let silent = board.is_unreachable(owner) || !settled;
    if slot.reused {
        charge_locally(board, slot, cost);
    }
    let told = if slot.reused { 0.0 } else { cost };
    if silent && !failed {
        record_late_cost(board, pool, grant, told);
        retain_slot(board, pool, grant, now);
        return;
    }
    return_slot(board, pool, grant, told, failed);
}

fn return_slot(board: &mut Blackboard, pool: PoolId, grant: GrantId, cost: f64, failed: bool) {
    if let Some(link) = board.sessions.get_mut(&pool)
        && link.held.remove(&grant).is_some()
    {
        link.released.push(Done {
            grant,
            cost: cost as f32,
            failed,
        });
    }
}

fn return_unused(board: &mut Blackboard, owner: InstanceId, pool: PoolId, grant: GrantId) {
    let done = Done {
        grant,
        cost: 0.0,
        failed: false,
    };
    let demand = Demand {
        pool,
        wants: SmallVec::new(),
        done: SmallVec::from_iter([done]),
    };
    board.outbox.push((owner, Message::Demand(demand)));
}

/// The owner asks what this entry holds, and tells up to which number its grants are settled.
pub fn on_sync(
    board: &mut Blackboard,
    from: InstanceId,
    incarnation: Incarnation,
    pool: PoolId,
    last: u32,
    ready: bool,
) {
    if let Some(link) = board.sessions.get_mut(&pool)
        && link.owner == Some((from, incarnation))
    {
        link.acknowledge(from, incarnation, last);
        link.owner_ready |= ready;
        link.resync = true;
    }
}

/// The connection to `peer` was renewed: say everything again.
pub fn on_reconnected(board: &mut Blackboard, peer: InstanceId) {
    board.broken_peers.remove(&peer);
    resync(board, peer);
}

/// Says everything again to `peer` as an owner, and asks it to do the same as an entry.
pub fn resync(board: &mut Blackboard, peer: InstanceId) {
    for link in board.sessions.values_mut() {
        if link.owner.is_some_and(|(o, _)| o == peer) {
            link.resync = true;
        }
    }
    let owned = board.owned_pools.iter().filter(|(_, o)| o.active);
    let syncs: Vec<Message> = owned
        .map(|(pool, o)| Message::Sync {
            pool: *pool,
            last: o.last_grants.get(&peer).copied().unwrap_or(0),
            ready: o.announced,
        })
        .collect();
    board.outbox.extend(syncs.into_iter().map(|s| (peer, s)));
}

/// Tells owners what changed since they were last told.
pub fn notify_owners(board: &mut Blackboard, now: Instant) {
    let dirty = std::mem::take(&mut board.dirty_queues);
    for (service, account) in dirty {
        update_wants(board, service, account);
    }
    let me = board.me();
    let pools: Vec<PoolId> = board
        .sessions
        .iter()
        .filter(|(_, l)| l.resync || !l.released.is_empty() || !l.pending_wants.is_empty())
        .map(|(id, _)| *id)
        .collect();
    for pool in pools {
        let Some(owner) = board.sessions.get(&pool).and_then(|l| l.owner) else {
            continue;
        };
        if owner.0 != me && board.broken_peers.contains(&owner.0) {
            continue;
        }
        let message = message_for(board, pool, owner.1, now);
        board.outbox.push((owner.0, message));
    }
}

fn message_for(board: &mut Blackboard, pool: PoolId, run: Incarnation, now: Instant) -> Message {
    let link = board.sessions.entry(pool).or_default();
    if !link.resync {
        return Message::Demand(Demand {
            pool,
            wants: std::mem::take(&mut link.pending_wants),
            done: std::mem::take(&mut link.released),
        });
    }
    link.resync = false;
    // What the list of held slots leaves out is free, so slots kept for want of an owner go back.
    let kept: Vec<GrantId> = link
        .held
        .iter()
        .filter(|(_, s)| !s.busy)
        .map(|(id, _)| *id)
        .collect();
    for grant in kept {
        if !reuse(board, pool, grant, now)
            && let Some(link) = board.sessions.get_mut(&pool)
        {
            link.held.remove(&grant);
        }
    }
    holding_message(board, pool, run)
}

fn holding_message(board: &mut Blackboard, pool: PoolId, run: Incarnation) -> Message {
    let link = board.sessions.entry(pool).or_default();
    let held = link
        .held
        .iter()
        .map(|(grant, slot)| Held {
            grant: *grant,
            account: slot.account,
            server: slot.server,
        })
        .collect();
    let list = |map: &BTreeMap<AccountId, u32>| {
        map.iter()
            .map(|(account, wanted)| Want {
                account: *account,
                wanted: *wanted,
            })
            .collect()
    };
    let message = Holding {
        pool,
        owner: run,
        ack: link.ack(),
        held,
        received: list(&link.grants_received),
        wants: list(&link.reported_wants),
        done: link
            .late_costs
            .drain(..)
            .chain(link.released.drain(..))
            .collect(),
        settled: link.owner_ready,
    };
    link.pending_wants.clear();
    Message::Holding(message)
}

fn update_wants(board: &mut Blackboard, service: ServiceId, account: AccountId) {
    let waiting = board
        .queues
        .get(&(service, account))
        .map_or(0, std::collections::VecDeque::len)
        .min(MAX_WANT) as u32;
    let config = Arc::clone(&board.config);
    let Some(pools) = config.by_service.get(&service) else {
        return;
    };
    let chosen = cross_region::select_pools(board, service, account, pools);
    for pool in pools {
        let Some(link) = board.sessions.get_mut(pool) else {
            continue;
        };
        let base = link
            .grants_received
            .get(&account)
            .copied()
            .unwrap_or_default();
        let open = if chosen.contains(pool) { waiting } else { 0 };
        let wanted = base.wrapping_add(open);
        let told = link.reported_wants.get(&account).copied();
        if told == Some(wanted) || (told.is_none() && wanted == 0) {
            continue;
        }
        link.reported_wants.insert(account, wanted);
        link.pending_wants.retain(|w| w.account != account);
        link.pending_wants.push(Want { account, wanted });
    }
}
