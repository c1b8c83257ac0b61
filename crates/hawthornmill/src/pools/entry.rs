//! The entry's side of a pool: waiting requests and held slots.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::owner::maker;
pub use super::queue::{
    Arrival, cancel, check_account_limits, enqueue, expire, requeue, retry_after,
};
use super::retained::{charge_locally, record_late_cost, retain_slot, reuse};
use super::{cross_region, queue};
use crate::blackboard::{Blackboard, Dispatch};
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId, ServerId, ServiceId};
use crate::wire::message::{
    AccountTotal, Demand, EntryState, Grant, GrantId, GrantedSlot, Grants, Message, SlotRelease,
};

/// Largest number of waiting requests of one account that an owner is told of.
///
/// A larger number would only cost messages: each grant renews the want, and an owner rarely has
/// more slots to grant at once.
pub const MAX_WANT: usize = 16;
/// Time for which an entry avoids a server that announced it is leaving; the owner polls its state.
const LEAVING_VALIDITY: Duration = Duration::from_secs(5);

/// A slot that this entry holds.
#[derive(Debug, Clone, Copy)]
pub struct Slot {
    /// The account that uses it.
    pub account: AccountId,
    /// Its server.
    pub server: ServerId,
    /// A request uses it; otherwise it is retained while the owner is unreachable.
    pub busy: bool,
    /// It was reused without a grant, so no owner has charged its current request.
    pub reused: bool,
    /// When its current request got it.
    pub started: Instant,
}

/// Last grant of one owner run that is settled: it and all before it were received or are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ack {
    /// The owner.
    pub owner: InstanceId,
    /// Its process run.
    pub run: Incarnation,
    /// Number of the grant.
    pub seq: u32,
}

/// Number of recent owners whose last grant is remembered per pool.
const RECENT_OWNERS: usize = 4;

/// Session of an entry with the owner of one pool.
#[derive(Debug, Clone, Default)]
pub struct OwnerSession {
    /// The owner and its process run.
    pub owner: Option<(InstanceId, Incarnation)>,
    /// Last settled grant of each recent owner run.
    ///
    /// Kept across a switch to another owner and back: the first owner may not have noticed, and
    /// would treat every later grant as in flight, so that its slot would never be freed.
    pub acks: SmallVec<[Ack; RECENT_OWNERS]>,
    /// Grants received from this owner, by account.
    pub grants_received: BTreeMap<AccountId, u32>,
    /// Wants as last sent to the owner.
    pub reported_wants: BTreeMap<AccountId, u32>,
    /// Slots to return to the owner.
    pub released: SmallVec<[SlotRelease; 2]>,
    /// Costs of calls that ended while the owner was unreachable.
    pub late_costs: Vec<SlotRelease>,
    /// Wants to send to the owner.
    pub pending_wants: SmallVec<[AccountTotal; 2]>,
    /// Slots held.
    pub held: BTreeMap<GrantId, Slot>,
    /// The complete state must be sent to the owner.
    pub resync: bool,
    /// The owner is known to grant; until then freed slots are retained.
    pub owner_ready: bool,
}

impl OwnerSession {
    /// Switches to a new owner, or to a new run of the same one.
    pub fn switch_owner(&mut self, owner: InstanceId, run: Incarnation) {
        self.owner = Some((owner, run));
        self.grants_received.clear();
        self.reported_wants.clear();
        self.pending_wants.clear();
        self.released.clear();
        // The estimates that the previous owner charged for these remain in its counters.
        self.late_costs.clear();
        self.held.retain(|_, slot| slot.busy);
        self.resync = true;
        self.owner_ready = false;
    }

    /// Records that all grants of `owner` up to `seq` were received or are lost.
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

    /// Number of the last settled grant of the current owner.
    pub fn ack(&self) -> u32 {
        let acks = self.acks.iter();
        let known = acks.filter(|a| self.owner == Some((a.owner, a.run)));
        known.map(|a| a.seq).max().unwrap_or(0)
    }
}

/// Handles grants: each is assigned to the oldest waiting request of its account, or returned.
pub fn on_grants(
    board: &mut Blackboard,
    from: InstanceId,
    incarnation: Incarnation,
    grants: &Grants,
    now: Instant,
) {
    for grant in &grants.grants {
        let id = GrantId {
            owner_run: maker(incarnation),
            seq: grant.seq,
        };
        if !accept_grant(board, from, incarnation, grants.pool, grant, now) {
            return_unused(board, from, grants.pool, id);
            continue;
        }
        // Nothing is started on a stale view: a process that was paused may hold grants whose slots
        // the owner has since granted to others.
        if board.stale_since.is_some() || !assign_slot(board, grants.pool, id, now) {
            // Otherwise an owner that doesn't know yet that the server is leaving would grant the
            // slot again and again.
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
    let Some(session) = board.sessions.get_mut(&pool) else {
        return false;
    };
    session.acknowledge(from, incarnation, grant.seq);
    if session.owner != Some((from, incarnation)) {
        return false;
    }
    session.owner_ready = true;
    *session.grants_received.entry(grant.account).or_default() += 1;
    let id = GrantId {
        owner_run: maker(incarnation),
        seq: grant.seq,
    };
    let slot = Slot {
        account: grant.account,
        server: grant.server,
        busy: false,
        reused: false,
        started: now,
    };
    session.held.insert(id, slot);
    true
}

/// Assigns an idle held slot to the oldest suitable request of its account.
pub(super) fn assign_slot(
    board: &mut Blackboard,
    pool: PoolId,
    grant: GrantId,
    now: Instant,
) -> bool {
    let config = Arc::clone(&board.config);
    let Some(slot) = board.sessions.get(&pool).and_then(|s| s.held.get(&grant)) else {
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
    let Some(session) = board.sessions.get_mut(&pool) else {
        return false;
    };
    if let Some(slot) = session.held.get_mut(&grant) {
        slot.busy = true;
        slot.started = now;
    }
    let owner = session.owner.map_or(board.members.me, |(id, _)| id);
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

/// Returns true if the configuration or the server itself says that the server is leaving.
pub fn is_leaving(board: &Blackboard, server: ServerId, now: Instant) -> bool {
    let listed = board.config.servers.get(&server).is_some_and(|s| s.leaving);
    let announced = board.leaving_servers.get(&server);
    listed || announced.is_some_and(|at| now.duration_since(*at) < LEAVING_VALIDITY)
}

/// Records that `server` announced in a response that it is leaving.
pub fn on_server_leaving(board: &mut Blackboard, server: ServerId, now: Instant) {
    board.leaving_servers.insert(server, now);
    board
        .leaving_servers
        .retain(|_, at| now.duration_since(*at) < LEAVING_VALIDITY);
}

/// Frees the slot of a finished request: returns it, or retains it while the owner is unreachable.
pub fn finish(
    board: &mut Blackboard,
    pool: PoolId,
    grant: GrantId,
    cost: f64,
    failed: bool,
    now: Instant,
) {
    let Some(session) = board.sessions.get(&pool) else {
        return;
    };
    let Some((owner, _)) = session.owner else {
        return;
    };
    let Some(slot) = session.held.get(&grant).copied() else {
        return;
    };
    let owner_ready = session.owner_ready;
    if let Some(server) = board.config.servers.get(&slot.server)
        && cost > 0.0
        && !failed
    {
        let time = now.duration_since(slot.started);
        queue::record_holding_time(board, server.service, slot.account, time);
    }
    // A new owner that is still collecting held slots doesn't grant, so a slot returned to it would
    // idle as with an unreachable owner.
    let retain = board.is_unreachable(owner) || !owner_ready;
    if slot.reused {
        charge_locally(board, slot, cost);
    }
    let reported_cost = if slot.reused { 0.0 } else { cost };
    if retain && !failed {
        record_late_cost(board, pool, grant, reported_cost);
        retain_slot(board, pool, grant, now);
        return;
    }
    return_slot(board, pool, grant, reported_cost, failed);
}

fn return_slot(board: &mut Blackboard, pool: PoolId, grant: GrantId, cost: f64, failed: bool) {
    if let Some(session) = board.sessions.get_mut(&pool)
        && session.held.remove(&grant).is_some()
    {
        session.released.push(SlotRelease {
            grant,
            cost: cost as f32,
            failed,
        });
    }
}

fn return_unused(board: &mut Blackboard, owner: InstanceId, pool: PoolId, grant: GrantId) {
    let done = SlotRelease {
        grant,
        cost: 0.0,
        failed: false,
    };
    let demand = Demand {
        pool,
        requested: SmallVec::new(),
        released: SmallVec::from_iter([done]),
    };
    board.outbox.push((owner, Message::Demand(demand)));
}

/// Handles an owner's request for the held slots, which also settles its grants up to `last`.
pub fn on_sync(
    board: &mut Blackboard,
    from: InstanceId,
    incarnation: Incarnation,
    pool: PoolId,
    last: u32,
    ready: bool,
) {
    if let Some(session) = board.sessions.get_mut(&pool)
        && session.owner == Some((from, incarnation))
    {
        session.acknowledge(from, incarnation, last);
        session.owner_ready |= ready;
        session.resync = true;
    }
}

/// Resends the complete state after the connection to `peer` was re-established.
pub fn on_reconnected(board: &mut Blackboard, peer: InstanceId) {
    board.broken_peers.remove(&peer);
    resync(board, peer);
}

/// Schedules the complete state for `peer` as an owner, and requests the same from it as an entry.
pub fn resync(board: &mut Blackboard, peer: InstanceId) {
    for session in board.sessions.values_mut() {
        if session.owner.is_some_and(|(o, _)| o == peer) {
            session.resync = true;
        }
    }
    let owned = board.owned_pools.iter().filter(|(_, o)| o.active);
    let syncs: Vec<Message> = owned
        .map(|(pool, o)| Message::Sync {
            pool: *pool,
            last_seq: o.last_grants.get(&peer).copied().unwrap_or(0),
            ready: o.announced,
        })
        .collect();
    board.outbox.extend(syncs.into_iter().map(|s| (peer, s)));
}

/// Sends owners what changed since the last message to them.
pub fn notify_owners(board: &mut Blackboard, now: Instant) {
    let dirty = std::mem::take(&mut board.dirty_queues);
    for (service, account) in dirty {
        update_wants(board, service, account);
    }
    let me = board.me();
    let pools: Vec<PoolId> = board
        .sessions
        .iter()
        .filter(|(_, s)| s.resync || !s.released.is_empty() || !s.pending_wants.is_empty())
        .map(|(id, _)| *id)
        .collect();
    for pool in pools {
        let Some(owner) = board.sessions.get(&pool).and_then(|s| s.owner) else {
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
    let session = board.sessions.entry(pool).or_default();
    if !session.resync {
        return Message::Demand(Demand {
            pool,
            requested: std::mem::take(&mut session.pending_wants),
            released: std::mem::take(&mut session.released),
        });
    }
    session.resync = false;
    // Slots missing from the list of held ones count as free, which returns the unused ones.
    let unused: Vec<GrantId> = session
        .held
        .iter()
        .filter(|(_, s)| !s.busy)
        .map(|(id, _)| *id)
        .collect();
    for grant in unused {
        if !reuse(board, pool, grant, now)
            && let Some(session) = board.sessions.get_mut(&pool)
        {
            session.held.remove(&grant);
        }
    }
    holding_message(board, pool, run)
}

fn holding_message(board: &mut Blackboard, pool: PoolId, run: Incarnation) -> Message {
    let session = board.sessions.entry(pool).or_default();
    let held = session
        .held
        .iter()
        .map(|(grant, slot)| GrantedSlot {
            grant: *grant,
            account: slot.account,
            server: slot.server,
        })
        .collect();
    let list = |map: &BTreeMap<AccountId, u32>| {
        map.iter()
            .map(|(account, wanted)| AccountTotal {
                account: *account,
                total: *wanted,
            })
            .collect()
    };
    let message = EntryState {
        pool,
        owner: run,
        ack: session.ack(),
        held,
        received: list(&session.grants_received),
        requested: list(&session.reported_wants),
        released: session
            .late_costs
            .drain(..)
            .chain(session.released.drain(..))
            .collect(),
        owner_ready: session.owner_ready,
    };
    session.pending_wants.clear();
    Message::EntryState(message)
}

fn update_wants(board: &mut Blackboard, service: ServiceId, account: AccountId) {
    let waiting = board
        .queues
        .get(&(service, account))
        .map_or(0, std::collections::VecDeque::len)
        .min(MAX_WANT) as u32;
    let config = Arc::clone(&board.config);
    let Some(pools) = config.pools_by_service.get(&service) else {
        return;
    };
    let chosen = cross_region::select_pools(board, service, account, pools);
    for pool in pools {
        let Some(session) = board.sessions.get_mut(pool) else {
            continue;
        };
        let base = session
            .grants_received
            .get(&account)
            .copied()
            .unwrap_or_default();
        let pending = if chosen.contains(pool) { waiting } else { 0 };
        let wanted = base.wrapping_add(pending);
        let reported = session.reported_wants.get(&account).copied();
        if reported == Some(wanted) || (reported.is_none() && wanted == 0) {
            continue;
        }
        session.reported_wants.insert(account, wanted);
        session.pending_wants.retain(|w| w.account != account);
        session.pending_wants.push(AccountTotal {
            account,
            total: wanted,
        });
    }
}
