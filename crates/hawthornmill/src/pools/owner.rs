//! The owner's side of a pool: the demand and the held slots of each entry.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::blackboard::{Blackboard, Policy};
use crate::fairness::CostKey;
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId, ServerId, ServiceId};
use crate::wire::message::{
    AccountTotal, Demand, EntryState, GrantId, GrantedSlot, Message, SlotRelease,
};

/// Consecutive load readings with foreign calls after which the limit is lowered.
const MIN_FOREIGN_READINGS: u8 = 2;
/// Load readings over which a lowered limit returns to all slots.
const LIMIT_STEPS: u16 = 8;

/// Time after a penalty in which a server gets one request at a time, until one succeeds.
const PROBE_PERIOD: Duration = Duration::from_secs(2);

/// Slots of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerSlots {
    /// Slots in the configuration.
    pub total: u16,
    /// Slots that may be granted; lower while the server reports foreign calls.
    pub limit: u16,
    /// Slots granted and not returned.
    pub used: u16,
    /// Class in the configuration.
    pub class: u16,
    /// The configuration lists it as leaving, so it gets no new work.
    pub leaving: bool,
    /// Its own load report says that it is leaving.
    pub reports_leaving: bool,
    /// After a failure: no grants until then, and one at a time for `PROBE_PERIOD` after.
    pub avoid_until: Option<Instant>,
    /// Number of the last grant on this server.
    pub last_grant: u32,
    /// Most slots in use at once since the last load reading, and in the interval before it.
    pub peak: [u16; 2],
    /// Consecutive load readings that showed foreign calls.
    pub foreign_readings: u8,
}

impl ServerSlots {
    /// Applies slots, class and state of the configuration; returns true if anything changed.
    pub fn resize(&mut self, total: u16, class: u16, leaving: bool) -> bool {
        let old = (self.total, self.class, self.leaving);
        if self.total != total {
            self.total = total;
            self.limit = total;
        }
        self.class = class;
        self.leaving = leaving;
        old != (total, class, leaving)
    }

    /// Slots that may be granted now.
    pub fn available(&self, now: Instant) -> u16 {
        let free = self.limit.saturating_sub(self.used);
        match self.avoid_until {
            _ if self.leaving || self.reports_leaving => 0,
            Some(until) if now < until => 0,
            // If the server still fails, this limits the number of failed calls.
            Some(until) if now < until + PROBE_PERIOD => free.min(u16::from(self.used == 0)),
            _ => free,
        }
    }

    /// Marks a slot as used.
    pub fn acquire(&mut self) {
        self.used += 1;
        self.peak[0] = self.peak[0].max(self.used);
    }

    /// Adjusts the limit to a load reading, the number of calls that the server runs.
    ///
    /// Readings lag, so while the limit is at its maximum they are compared with the most slots in use
    /// since the reading before the last. Calls beyond that are foreign: granted by another owner, or
    /// left over from a dead entry. The limit leaves their slots free; if the server is overloaded, it
    /// is set in proportion to this owner's part of the calls. Once lowered, the limit moves in small
    /// steps: two owners that claimed all slots again as soon as the overload ended would overload
    /// the server with every other reading.
    pub fn apply_load_reading(&mut self, running: u16) {
        let shared = self.limit < self.total;
        let peak = self.peak[0].max(self.peak[1]).max(self.used);
        let own = if shared { self.used } else { peak };
        self.peak = [self.used, self.peak[0]];
        let step = (self.total / LIMIT_STEPS).max(1);
        let highest = self.total.min(self.limit + step);
        if running <= own {
            self.foreign_readings = 0;
            self.limit = highest;
            return;
        }
        self.foreign_readings = self.foreign_readings.saturating_add(1);
        if self.foreign_readings < MIN_FOREIGN_READINGS {
            return;
        }
        let target = if running > self.total {
            (u32::from(self.total) * u32::from(own) / u32::from(running)) as u16
        } else {
            self.total - (running - own)
        };
        let lowest = if shared {
            self.limit.saturating_sub(step)
        } else {
            0
        };
        self.limit = target.clamp(lowest, highest).max(1).min(self.total);
    }

    /// Resets the limit to the configured slots.
    fn reset_limit(&mut self) {
        self.limit = self.total;
        self.foreign_readings = 0;
    }
}

/// Demand of one entry for one account.
#[derive(Debug, Clone, Copy, Default)]
pub struct EntryWant {
    /// Cumulative want as last received from the entry.
    pub wanted: u32,
    /// Grants made to the entry for this account.
    pub granted: u32,
    /// Number of the last of these grants.
    pub last_grant: u32,
}

impl EntryWant {
    /// Requests that wait for a grant.
    pub fn pending(&self) -> u32 {
        // The counters wrap after 2^32 grants, but their difference stays correct.
        let pending = self.wanted.wrapping_sub(self.granted);
        if pending > u32::MAX / 2 { 0 } else { pending }
    }
}

/// One account in one pool.
#[derive(Debug, Clone, Default)]
pub struct AccountQueue {
    /// Added to the account's fleet-wide service in this pool, so that idle time earns no credit.
    pub offset: f64,
    /// Requests that wait for a grant, over all entries.
    pub pending: u32,
    /// Slots held.
    pub held: u32,
    /// Demand by entry.
    pub entries: BTreeMap<InstanceId, EntryWant>,
}

/// A slot that an entry holds.
#[derive(Debug, Clone, Copy)]
pub struct HeldSlot {
    /// The account that uses it.
    pub account: AccountId,
    /// Its server.
    pub server: ServerId,
    /// Normalised service charged with the grant, or `None` if another owner charged it.
    pub charged: Option<f64>,
}

/// State of a pool at its owner.
#[derive(Debug, Clone, Default)]
pub struct OwnedPool {
    /// This instance is the owner in its own view.
    pub active: bool,
    /// When it starts to grant.
    pub ready_at: Option<Instant>,
    /// When the previous owner handed over the pool, if this instance was not yet active.
    pub handed_over_at: Option<Instant>,
    /// Servers of the pool.
    pub servers: BTreeMap<ServerId, ServerSlots>,
    /// Slots held, by entry and grant.
    pub held: BTreeMap<(InstanceId, GrantId), HeldSlot>,
    /// Accounts with demand or held slots.
    pub accounts: BTreeMap<AccountId, AccountQueue>,
    /// Process run of each known entry.
    pub entries: BTreeMap<InstanceId, Incarnation>,
    /// Number of the last grant.
    pub seq: u32,
    /// Number of the last grant to each entry.
    pub last_grants: BTreeMap<InstanceId, u32>,
    /// Least normalised service among waiting accounts at the last grant; never decreases.
    pub level: f64,
    /// A change that may allow further grants.
    pub dirty: bool,
    /// Entries were informed that this owner grants.
    pub announced: bool,
}

impl OwnedPool {
    /// Starts to own the pool and to grant from `ready` on.
    pub fn activate(&mut self, ready: Instant) {
        self.active = true;
        self.ready_at = Some(ready);
        self.dirty = true;
        self.announced = false;
        self.servers.values_mut().for_each(ServerSlots::reset_limit);
    }

    /// Returns true if the owner grants slots.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.ready_at.is_some_and(|ready| ready <= now)
    }

    /// Registers the process run of an entry; returns false if a later run is known.
    pub fn register_entry(&mut self, entry: InstanceId, incarnation: Incarnation) -> bool {
        match self.entries.get(&entry) {
            Some(known) if *known > incarnation => return false,
            Some(known) if *known < incarnation => self.remove_entry(entry),
            _ => {}
        }
        self.entries.insert(entry, incarnation);
        true
    }

    /// Stops owning the pool and drops its state.
    ///
    /// Grant numbers continue: entries remember the last one of this run and would ignore a reused
    /// number as already received.
    pub fn deactivate(&mut self) {
        *self = Self {
            seq: self.seq,
            ..Self::default()
        };
    }

    /// Drops the demand and the held slots of `entry`.
    pub fn remove_entry(&mut self, entry: InstanceId) {
        if self.entries.remove(&entry).is_none() {
            return;
        }
        let held: Vec<GrantId> = self.held_by(entry).collect();
        for grant in held {
            self.release(entry, grant);
        }
        for queue in self.accounts.values_mut() {
            if let Some(want) = queue.entries.remove(&entry) {
                queue.pending -= want.pending();
            }
        }
        self.last_grants.remove(&entry);
        self.dirty = true;
    }

    fn held_by(&self, entry: InstanceId) -> impl Iterator<Item = GrantId> {
        let low = GrantId {
            owner_run: 0,
            seq: 0,
        };
        self.held
            .range((entry, low)..)
            .take_while(move |((e, _), _)| *e == entry)
            .map(|((_, grant), _)| *grant)
    }

    /// Frees a held slot and returns it.
    pub fn release(&mut self, entry: InstanceId, grant: GrantId) -> Option<HeldSlot> {
        let slot = self.held.remove(&(entry, grant))?;
        if let Some(server) = self.servers.get_mut(&slot.server) {
            server.used = server.used.saturating_sub(1);
        }
        if let Some(queue) = self.accounts.get_mut(&slot.account) {
            queue.held = queue.held.saturating_sub(1);
        }
        self.dirty = true;
        Some(slot)
    }

    fn set_want(&mut self, entry: InstanceId, account: AccountId, change: impl Fn(&mut EntryWant)) {
        let queue = self.accounts.entry(account).or_default();
        let want = queue.entries.entry(entry).or_default();
        queue.pending -= want.pending();
        change(want);
        queue.pending += want.pending();
        self.dirty = true;
    }

    /// Adds a slot that an entry holds.
    pub fn add_held(&mut self, entry: InstanceId, held: &GrantedSlot, charged: Option<f64>) {
        if self.held.contains_key(&(entry, held.grant)) {
            return;
        }
        let slot = HeldSlot {
            account: held.account,
            server: held.server,
            charged,
        };
        self.held.insert((entry, held.grant), slot);
        self.servers.entry(held.server).or_default().acquire();
        self.accounts.entry(held.account).or_default().held += 1;
    }

    /// Slots that may be granted while no request waits for one.
    pub fn idle_slots(&self, now: Instant) -> u16 {
        if self.accounts.values().any(|q| q.pending > 0) {
            return 0;
        }
        self.servers.values().map(|s| s.available(now)).sum()
    }
}

/// Low half of an incarnation, which identifies the owner run in a grant.
pub const fn maker(incarnation: Incarnation) -> u32 {
    incarnation.0 as u32
}

/// Handles a change of an entry's demand.
pub fn on_demand(
    board: &mut Blackboard,
    from: InstanceId,
    incarnation: Incarnation,
    demand: &Demand,
    now: Instant,
) {
    let Some(service) = board.config.pools.get(&demand.pool).map(|p| p.service) else {
        return;
    };
    let owned = board.owned_pools.entry(demand.pool).or_default();
    if !owned.register_entry(from, incarnation) {
        return;
    }
    for want in &demand.requested {
        raise_idle_account(board, demand.pool, service, want.account);
        let owned = board.owned_pools.entry(demand.pool).or_default();
        owned.set_want(from, want.account, |w| w.wanted = want.total);
    }
    for done in &demand.released {
        release_slot(board, demand.pool, service, from, done, now);
    }
}

/// Raises an account that was idle to the level of the accounts that are served.
fn raise_idle_account(
    board: &mut Blackboard,
    pool: PoolId,
    service: ServiceId,
    account: AccountId,
) {
    let total = board.ledger.total(CostKey { service, account });
    let owned = board.owned_pools.entry(pool).or_default();
    let level = owned.level;
    let queue = owned.accounts.entry(account).or_default();
    if queue.pending == 0 {
        queue.offset = queue.offset.max(level - total);
    }
}

/// Frees a returned slot and corrects the charge to the actual cost of the call.
fn release_slot(
    board: &mut Blackboard,
    pool: PoolId,
    service: ServiceId,
    from: InstanceId,
    done: &SlotRelease,
    now: Instant,
) {
    let penalty = now + board.tuning.penalty;
    let Some(owned) = board.owned_pools.get_mut(&pool) else {
        return;
    };
    let Some(slot) = owned.release(from, done.grant) else {
        return;
    };
    if let Some(server) = owned.servers.get_mut(&slot.server) {
        if done.failed {
            server.avoid_until = Some(penalty);
        } else if done.cost > 0.0 {
            server.avoid_until = server.avoid_until.filter(|until| now < *until);
        }
    }
    let key = CostKey {
        service,
        account: slot.account,
    };
    let cost = f64::from(done.cost);
    let share = board.config.share(slot.account, slot.server);
    // If another owner charged an estimate, it remains in that owner's counters; charging the cost
    // as well would count the call twice.
    if let Some(charged) = slot.charged {
        let corrected = cost / share.unwrap_or(1.0) - charged;
        board.ledger.charge(key, corrected);
    }
    if cost > 0.0 {
        board.ledger.record_cost(key, cost);
    }
}

/// Handles the complete state of an entry.
pub fn on_holding(
    board: &mut Blackboard,
    from: InstanceId,
    incarnation: Incarnation,
    holding: &EntryState,
    now: Instant,
) {
    if holding.owner != board.incarnation {
        return;
    }
    let Some(service) = board.config.pools.get(&holding.pool).map(|p| p.service) else {
        return;
    };
    let own_maker = maker(board.incarnation);
    let owned = board.owned_pools.entry(holding.pool).or_default();
    if !owned.register_entry(from, incarnation) {
        return;
    }
    // Costs are settled first: a slot that is neither held nor listed here was never used, and its
    // charge is refunded.
    for done in &holding.released {
        release_slot(board, holding.pool, service, from, done, now);
    }
    let owned = board.owned_pools.entry(holding.pool).or_default();
    let returned: Vec<GrantId> = owned
        .held_by(from)
        .filter(|g| g.owner_run != own_maker || g.seq <= holding.ack)
        .filter(|g| !holding.held.iter().any(|h| h.grant == *g))
        .collect();
    let mut refunds = Vec::new();
    for grant in returned {
        refunds.extend(owned.release(from, grant));
    }
    for held in &holding.held {
        owned.add_held(from, held, None);
    }
    // Every grant up to `ack` was received or is lost; only later ones are in flight.
    let in_flight: Vec<AccountId> = owned
        .held
        .iter()
        .filter(|((e, g), _)| *e == from && g.owner_run == own_maker && g.seq > holding.ack)
        .map(|(_, slot)| slot.account)
        .collect();
    reset_wants(owned, from, &holding.received, &in_flight);
    for slot in refunds {
        let account = slot.account;
        let charged = slot.charged.unwrap_or(0.0);
        board.ledger.charge(CostKey { service, account }, -charged);
    }
    for want in &holding.requested {
        raise_idle_account(board, holding.pool, service, want.account);
        let owned = board.owned_pools.entry(holding.pool).or_default();
        owned.set_want(from, want.account, |w| w.wanted = want.total);
    }
    sync_returning_entry(board, from, holding, now);
}

/// Syncs an entry that switched to another owner and back, after the grants in flight to it.
///
/// Such an entry may have forgotten which grants it received, so grants that it dropped meanwhile
/// would count as in flight forever and their slots would idle. Messages arrive in order, so its
/// response to this message accounts for all earlier grants. An entry that switched to this owner
/// late must also learn that the owner already grants.
fn sync_returning_entry(
    board: &mut Blackboard,
    from: InstanceId,
    holding: &EntryState,
    now: Instant,
) {
    let pool = holding.pool;
    let Some(owned) = board.owned_pools.get(&pool).filter(|o| o.active) else {
        return;
    };
    let last = owned.last_grants.get(&from).copied().unwrap_or(0);
    let ready = owned.is_ready(now);
    if (holding.ack == 0 && last > 0) || (ready && !holding.owner_ready) {
        let sync = Message::Sync {
            pool,
            last_seq: last,
            ready,
        };
        board.outbox.push((from, sync));
    }
}

/// Informs all entries of owned pools that have just become ready to grant.
pub fn announce_ready(board: &mut Blackboard, now: Instant) {
    let due: Vec<PoolId> = board
        .owned_pools
        .iter()
        .filter(|(_, o)| o.active && !o.announced && o.is_ready(now))
        .map(|(id, _)| *id)
        .collect();
    let live: Vec<InstanceId> = board.members.live().map(|(id, _)| id).collect();
    for pool in due {
        let Some(owned) = board.owned_pools.get_mut(&pool) else {
            continue;
        };
        owned.announced = true;
        for entry in &live {
            let last = owned.last_grants.get(entry).copied().unwrap_or(0);
            let ready = true;
            board.outbox.push((
                *entry,
                Message::Sync {
                    pool,
                    last_seq: last,
                    ready,
                },
            ));
        }
    }
}

fn reset_wants(
    owned: &mut OwnedPool,
    from: InstanceId,
    received: &[AccountTotal],
    in_flight: &[AccountId],
) {
    let known: Vec<AccountId> = owned
        .accounts
        .iter()
        .filter(|(_, q)| q.entries.contains_key(&from))
        .map(|(a, _)| *a)
        .collect();
    let reported = received.iter().map(|w| w.account);
    let mut accounts: Vec<AccountId> = known.into_iter().chain(reported).collect();
    accounts.sort_unstable();
    accounts.dedup();
    for account in accounts {
        let base = received
            .iter()
            .find(|w| w.account == account)
            .map_or(0, |w| w.total);
        let in_flight = in_flight.iter().filter(|a| **a == account).count() as u32;
        owned.set_want(from, account, |w| {
            w.granted = base.wrapping_add(in_flight);
            w.wanted = w.granted;
        });
    }
}

/// Handles the leaving state in a server's load report.
pub fn on_leaving_reading(board: &mut Blackboard, pool: PoolId, server: ServerId, leaving: bool) {
    if let Some(owned) = board.owned_pools.get_mut(&pool)
        && let Some(slots) = owned.servers.get_mut(&server)
        && slots.reports_leaving != leaving
    {
        slots.reports_leaving = leaving;
        owned.dirty = true;
    }
}

/// Handles a server's load reading.
///
/// Ignored while an owner still collects held slots, and under the static policy: in both cases
/// calls of other entries or instances would be mistaken for foreign calls.
pub fn on_load_reading(board: &mut Blackboard, pool: PoolId, server: ServerId, running: u16) {
    if board.tuning.policy == Policy::Static {
        return;
    }
    if let Some(owned) = board.owned_pools.get_mut(&pool).filter(|o| o.announced)
        && let Some(slots) = owned.servers.get_mut(&server)
    {
        slots.apply_load_reading(running);
        owned.dirty = true;
    }
}
