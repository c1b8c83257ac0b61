//! The entry's side of a pool: requests that wait, slots that are held.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::owner::maker;
use super::queue;
pub use super::queue::{Arrival, cancel, check_account, enqueue, expire, requeue, retry_after};
use crate::board::{Board, Dispatch, Policy};
use crate::fairness::CostKey;
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId, ServerId, ServiceId};
use crate::wire::message::{Demand, Done, Grant, GrantId, Grants, Held, Holding, Message, Want};

/// Waiting requests of one account that one owner is told of at most.
///
/// More would only cost messages: a grant raises the want again, and an owner seldom frees more
/// slots at once.
pub const WANT_CAP: usize = 16;
/// Time for which a server's word that it leaves holds at an entry; the owner reads its load anew.
const SAID_LEAVING: Duration = Duration::from_secs(5);

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
    pub since: Instant,
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
pub struct Link {
    /// Owner and its process run.
    pub owner: Option<(InstanceId, Incarnation)>,
    /// Number of the last grant of each recent owner run that arrived or is known to be lost.
    ///
    /// It outlives a turn to another owner and back: the first owner may not have noticed, and would
    /// take every grant above a forgotten number for one in flight, whose slot stays taken for good.
    pub acks: SmallVec<[Ack; RECENT_OWNERS]>,
    /// Grants received per account from this owner.
    pub received: BTreeMap<AccountId, u32>,
    /// Wants as last told.
    pub told: BTreeMap<AccountId, u32>,
    /// Slots to give back.
    pub done: SmallVec<[Done; 2]>,
    /// Wants to tell.
    pub wants: SmallVec<[Want; 2]>,
    /// Slots held.
    pub held: BTreeMap<GrantId, Slot>,
    /// The owner must be told everything.
    pub resync: bool,
}

impl Link {
    /// Turns to a new owner, or a new run of the same one.
    pub fn turn_to(&mut self, owner: InstanceId, run: Incarnation) {
        self.owner = Some((owner, run));
        self.received.clear();
        self.told.clear();
        self.wants.clear();
        self.done.clear();
        self.held.retain(|_, slot| slot.busy);
        self.resync = true;
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
    board: &mut Board,
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
        if !accept(board, from, incarnation, grants.pool, grant, now) {
            give_back_to(board, from, grants.pool, id);
            continue;
        }
        // An old view must not start anything: a process that was paused may hold grants that
        // the owner has long given to others.
        if board.stale.is_some() || !assign(board, grants.pool, id, now) {
            // An owner that has not heard yet that the server leaves would grant it over and over.
            let leaving = takes_no_work(board, grant.server, now);
            give_back(board, grants.pool, id, 0.0, leaving);
        }
    }
}

fn accept(
    board: &mut Board,
    from: InstanceId,
    incarnation: Incarnation,
    pool: PoolId,
    grant: &Grant,
    now: Instant,
) -> bool {
    let Some(link) = board.links.get_mut(&pool) else {
        return false;
    };
    link.acknowledge(from, incarnation, grant.seq);
    if link.owner != Some((from, incarnation)) {
        return false;
    }
    *link.received.entry(grant.account).or_default() += 1;
    let id = GrantId {
        maker: maker(incarnation),
        seq: grant.seq,
    };
    let slot = Slot {
        account: grant.account,
        server: grant.server,
        busy: false,
        reused: false,
        since: now,
    };
    link.held.insert(id, slot);
    true
}

/// Gives an idle held slot to the oldest fitting request of its account.
fn assign(board: &mut Board, pool: PoolId, grant: GrantId, now: Instant) -> bool {
    let config = Arc::clone(&board.config);
    let Some(slot) = board.links.get(&pool).and_then(|l| l.held.get(&grant)) else {
        return false;
    };
    let (account, server) = (slot.account, slot.server);
    let Some(known) = config.servers.get(&server) else {
        return false;
    };
    let Some(share) = config.share(account, server) else {
        return false;
    };
    if takes_no_work(board, server, now) {
        return false;
    }
    let Some(request) = queue::next(board, known.service, account, server, now) else {
        return false;
    };
    let Some(waiting) = cancel(board, request) else {
        return false;
    };
    let Some(link) = board.links.get_mut(&pool) else {
        return false;
    };
    if let Some(slot) = link.held.get_mut(&grant) {
        slot.busy = true;
        slot.since = now;
    }
    let owner = link.owner.map_or(board.members.me, |(id, _)| id);
    queue::note_served(board, known.service, account, now);
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
fn takes_no_work(board: &Board, server: ServerId, now: Instant) -> bool {
    let listed = board.config.servers.get(&server).is_some_and(|s| s.leaving);
    let said = board.said_leaving.get(&server);
    listed || said.is_some_and(|at| now.duration_since(*at) < SAID_LEAVING)
}

/// An answer of `server` said that it is leaving.
pub fn on_server_leaving(board: &mut Board, server: ServerId, now: Instant) {
    board.said_leaving.insert(server, now);
    board
        .said_leaving
        .retain(|_, at| now.duration_since(*at) < SAID_LEAVING);
}

/// A request has left its slot: the slot goes back, or is kept while the owner is silent.
pub fn finish(
    board: &mut Board,
    pool: PoolId,
    grant: GrantId,
    cost: f64,
    failed: bool,
    now: Instant,
) {
    let Some(link) = board.links.get(&pool) else {
        return;
    };
    let Some((owner, _)) = link.owner else {
        return;
    };
    let Some(slot) = link.held.get(&grant).copied() else {
        return;
    };
    if let Some(server) = board.config.servers.get(&slot.server)
        && cost > 0.0
        && !failed
    {
        let time = now.duration_since(slot.since);
        queue::note_held(board, server.service, slot.account, time);
    }
    let silent = board.silent(owner);
    if silent || slot.reused {
        charge_own(board, slot, cost);
    }
    if silent && !failed {
        keep(board, pool, grant, now);
        return;
    }
    let told = if slot.reused { 0.0 } else { cost };
    give_back(board, pool, grant, told, failed);
}

/// Charges a call that no owner will hear of.
fn charge_own(board: &mut Board, slot: Slot, cost: f64) {
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
fn keep(board: &mut Board, pool: PoolId, grant: GrantId, now: Instant) {
    if let Some(slot) = held_mut(board, pool, grant) {
        slot.busy = false;
        slot.reused = true;
    }
    reuse(board, pool, grant, now);
}

fn reuse(board: &mut Board, pool: PoolId, grant: GrantId, now: Instant) -> bool {
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
    board.stale.is_none() && assign(board, pool, grant, now)
}

/// Gives a kept slot to a request that has just arrived.
pub(super) fn use_kept(board: &mut Board, service: ServiceId, account: AccountId) {
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
        .links
        .iter()
        .filter(|(_, link)| link.owner.is_some_and(|(o, _)| board.silent(o)))
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

fn held_mut(board: &mut Board, pool: PoolId, grant: GrantId) -> Option<&mut Slot> {
    board.links.get_mut(&pool)?.held.get_mut(&grant)
}

fn give_back(board: &mut Board, pool: PoolId, grant: GrantId, cost: f64, failed: bool) {
    if let Some(link) = board.links.get_mut(&pool)
        && link.held.remove(&grant).is_some()
    {
        link.done.push(Done {
            grant,
            cost: cost as f32,
            failed,
        });
    }
}

fn give_back_to(board: &mut Board, owner: InstanceId, pool: PoolId, grant: GrantId) {
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
    board: &mut Board,
    from: InstanceId,
    incarnation: Incarnation,
    pool: PoolId,
    last: u32,
) {
    if let Some(link) = board.links.get_mut(&pool)
        && link.owner == Some((from, incarnation))
    {
        link.acknowledge(from, incarnation, last);
        link.resync = true;
    }
}

/// The connection to `peer` was renewed: say everything again.
pub fn on_link(board: &mut Board, peer: InstanceId) {
    board.broken.remove(&peer);
    resync(board, peer);
}

/// Says everything again to `peer` as an owner, and asks it to do the same as an entry.
pub fn resync(board: &mut Board, peer: InstanceId) {
    for link in board.links.values_mut() {
        if link.owner.is_some_and(|(o, _)| o == peer) {
            link.resync = true;
        }
    }
    let owned = board.owned.iter().filter(|(_, o)| o.active);
    let syncs: Vec<(PoolId, u32)> = owned
        .map(|(pool, o)| (*pool, o.last.get(&peer).copied().unwrap_or(0)))
        .collect();
    for (pool, last) in syncs {
        board.outbox.push((peer, Message::Sync { pool, last }));
    }
}

/// Tells owners what changed since they were last told.
pub fn tell(board: &mut Board, now: Instant) {
    let dirty = std::mem::take(&mut board.dirty);
    for (service, account) in dirty {
        update_wants(board, service, account);
    }
    let me = board.me();
    let pools: Vec<PoolId> = board
        .links
        .iter()
        .filter(|(_, l)| l.resync || !l.done.is_empty() || !l.wants.is_empty())
        .map(|(id, _)| *id)
        .collect();
    for pool in pools {
        let Some(owner) = board.links.get(&pool).and_then(|l| l.owner) else {
            continue;
        };
        if owner.0 != me && board.broken.contains(&owner.0) {
            continue;
        }
        let message = message_for(board, pool, owner.1, now);
        board.outbox.push((owner.0, message));
    }
}

fn message_for(board: &mut Board, pool: PoolId, run: Incarnation, now: Instant) -> Message {
    let link = board.links.entry(pool).or_default();
    if !link.resync {
        return Message::Demand(Demand {
            pool,
            wants: std::mem::take(&mut link.wants),
            done: std::mem::take(&mut link.done),
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
            && let Some(link) = board.links.get_mut(&pool)
        {
            link.held.remove(&grant);
        }
    }
    holding(board, pool, run)
}

fn holding(board: &mut Board, pool: PoolId, run: Incarnation) -> Message {
    let link = board.links.entry(pool).or_default();
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
        received: list(&link.received),
        wants: list(&link.told),
    };
    link.wants.clear();
    link.done.clear();
    Message::Holding(message)
}

fn update_wants(board: &mut Board, service: ServiceId, account: AccountId) {
    let waiting = board
        .queues
        .get(&(service, account))
        .map_or(0, std::collections::VecDeque::len)
        .min(WANT_CAP) as u32;
    let config = Arc::clone(&board.config);
    let Some(pools) = config.by_service.get(&service) else {
        return;
    };
    let chosen = choose_pools(board, account, pools);
    for pool in pools {
        let Some(link) = board.links.get_mut(pool) else {
            continue;
        };
        let base = link.received.get(&account).copied().unwrap_or_default();
        let open = if chosen.contains(pool) { waiting } else { 0 };
        let wanted = base.wrapping_add(open);
        let told = link.told.get(&account).copied();
        if told == Some(wanted) || (told.is_none() && wanted == 0) {
            continue;
        }
        link.told.insert(account, wanted);
        link.wants.retain(|w| w.account != account);
        link.wants.push(Want { account, wanted });
    }
}

/// The pools to ask: those at home, and others when home has nothing or lags behind them.
fn choose_pools(board: &Board, account: AccountId, pools: &[PoolId]) -> SmallVec<[PoolId; 4]> {
    let config = &board.config;
    let region = board.members.own().region;
    let open = pools
        .iter()
        .copied()
        .filter(|p| config.pool_open(account, *p));
    let (home, away): (SmallVec<[PoolId; 4]>, SmallVec<[PoolId; 4]>) =
        open.partition(|p| config.pools[p].region == region);
    if board.tuning.policy == Policy::Static {
        return home.into_iter().chain(away).collect();
    }
    if home.is_empty() {
        return away;
    }
    let idle_home = home
        .iter()
        .any(|p| state(board, *p).is_some_and(|s| s.idle > 0));
    let mut chosen = home;
    if !idle_home {
        let idle = away
            .into_iter()
            .filter(|p| state(board, *p).is_some_and(|s| s.idle > 0));
        chosen.extend(idle);
    }
    chosen
}

fn state(board: &Board, pool: PoolId) -> Option<crate::wire::message::PoolState> {
    let (owner, _) = board.links.get(&pool)?.owner?;
    board.reports.pool(pool, owner)
}
