//! The owner's side of a pool: what each entry wants and holds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::blackboard::{Blackboard, Policy};
use crate::fairness::CostKey;
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId, ServerId, ServiceId};
use crate::wire::message::{Demand, Done, GrantId, Held, Holding, Message, Want};

/// Part of a new load reading in the owner's trust: readings over this are foreign work.
const MIN_FOREIGN_READINGS: u8 = 2;
/// Readings without work of others after which all slots are granted again.
const LIMIT_STEPS: u16 = 8;

/// Time after a penalty in which a server gets one request at a time, until one succeeds.
const PROBE_PERIOD: Duration = Duration::from_secs(2);

/// Slots of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerSlots {
    /// Slots by configuration.
    pub total: u16,
    /// Slots that may be granted: fewer while the server reports work of others.
    pub limit: u16,
    /// Slots granted and not given back.
    pub used: u16,
    /// Class in the configuration.
    pub class: u16,
    /// The configuration says that it gets no new work.
    pub leaving: bool,
    /// Its own load report says so.
    pub reports_leaving: bool,
    /// It failed; no grants until then, and one at a time for `PROBING` after.
    pub avoid_until: Option<Instant>,
    /// Number of the last grant of a slot here.
    pub last_grant: u32,
    /// Most slots granted at once since the last load reading, and before it.
    pub peak: [u16; 2],
    /// Load readings in a row that showed work of others.
    pub foreign_readings: u8,
}

impl ServerSlots {
    /// Takes slots, class and state from the configuration; true when that changed anything.
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
            // A server that still fails would otherwise cost as many calls as it has slots.
            Some(until) if now < until + PROBE_PERIOD => free.min(u16::from(self.used == 0)),
            _ => free,
        }
    }

    /// Takes a slot.
    pub fn acquire(&mut self) {
        self.used += 1;
        self.peak[0] = self.peak[0].max(self.used);
    }

    /// Takes a load reading.
    ///
    /// Readings lag, so the first is compared with the most that was granted since the reading before
    /// the last. What is above that is work of another owner, or of an entry that died. While the
    /// server is overfull the slots are shared in proportion; otherwise the other's are left to it.
    /// Two owners that took all slots back as soon as the server was no longer overfull would overfill
    /// it again with every other reading, so the limit then moves by small steps.
    pub fn apply_load_reading(&mut self, running: u16) {
        let shared = self.limit < self.total;
        let peak = self.peak[0].max(self.peak[1]).max(self.used);
        let mine = if shared { self.used } else { peak };
        self.peak = [self.used, self.peak[0]];
        let step = (self.total / LIMIT_STEPS).max(1);
        let most = self.total.min(self.limit + step);
        if running <= mine {
            self.foreign_readings = 0;
            self.limit = most;
            return;
        }
        self.foreign_readings = self.foreign_readings.saturating_add(1);
        if self.foreign_readings < MIN_FOREIGN_READINGS {
            return;
        }
        let target = if running > self.total {
            (u32::from(self.total) * u32::from(mine) / u32::from(running)) as u16
        } else {
            self.total - (running - mine)
        };
        let least = if shared {
            self.limit.saturating_sub(step)
        } else {
            0
        };
        self.limit = target.clamp(least, most).max(1).min(self.total);
    }

    /// Trusts the configured slots again.
    fn reset_limit(&mut self) {
        self.limit = self.total;
        self.foreign_readings = 0;
    }
}

/// What one entry wants for one account.
#[derive(Debug, Clone, Copy, Default)]
pub struct EntryWant {
    /// Cumulative want, as the entry told it.
    pub wanted: u32,
    /// Grants made for it.
    pub granted: u32,
    /// Number of the last of them.
    pub last_grant: u32,
}

impl EntryWant {
    /// Requests that wait for a grant.
    pub fn pending(&self) -> u32 {
        // Counters wrap after four billion grants; the difference stays right.
        let open = self.wanted.wrapping_sub(self.granted);
        if open > u32::MAX / 2 { 0 } else { open }
    }
}

/// One account in one pool.
#[derive(Debug, Clone, Default)]
pub struct AccountQueue {
    /// What is added to the account's fleet-wide service here, so that idling earns no credit.
    pub offset: f64,
    /// Requests that wait over all entries.
    pub pending: u32,
    /// Slots held.
    pub held: u32,
    /// Wants by entry.
    pub entries: BTreeMap<InstanceId, EntryWant>,
}

/// A slot that an entry holds.
#[derive(Debug, Clone, Copy)]
pub struct HeldSlot {
    /// Account that it serves.
    pub account: AccountId,
    /// Server on which it is.
    pub server: ServerId,
    /// Normalised service charged when it was granted; none where another owner charged it.
    pub charged: Option<f64>,
}

/// A pool as its owner keeps it.
#[derive(Debug, Clone, Default)]
pub struct OwnedPool {
    /// This instance takes itself for the owner.
    pub active: bool,
    /// From when on it grants.
    pub ready_at: Option<Instant>,
    /// When the old owner handed the pool over, before this instance took itself for the owner.
    pub handed_over_at: Option<Instant>,
    /// Servers.
    pub servers: BTreeMap<ServerId, ServerSlots>,
    /// Slots held, by entry and grant.
    pub held: BTreeMap<(InstanceId, GrantId), HeldSlot>,
    /// Accounts with wants or slots.
    pub accounts: BTreeMap<AccountId, AccountQueue>,
    /// Process run of each entry that spoke.
    pub entries: BTreeMap<InstanceId, Incarnation>,
    /// Number of the last grant.
    pub seq: u32,
    /// Number of the last grant to each entry.
    pub last_grants: BTreeMap<InstanceId, u32>,
    /// Normalised service of the account served last; it never falls.
    pub level: f64,
    /// Something changed that a grant may follow from.
    pub dirty: bool,
    /// Entries were told that grants are made from now on.
    pub announced: bool,
}

impl OwnedPool {
    /// Starts to own the pool; grants are made from `ready` on.
    pub fn activate(&mut self, ready: Instant) {
        self.active = true;
        self.ready_at = Some(ready);
        self.dirty = true;
        self.announced = false;
        self.servers.values_mut().for_each(ServerSlots::reset_limit);
    }

    /// Tells whether grants are made.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.ready_at.is_some_and(|ready| ready <= now)
    }

    /// Notes the process run of an entry that speaks; false when that run is over.
    pub fn register_entry(&mut self, entry: InstanceId, incarnation: Incarnation) -> bool {
        match self.entries.get(&entry) {
            Some(known) if *known > incarnation => return false,
            Some(known) if *known < incarnation => self.remove_entry(entry),
            _ => {}
        }
        self.entries.insert(entry, incarnation);
        true
    }

    /// Stops to own the pool and drops what was known of it.
    ///
    /// The numbers of grants go on: entries remember the last one of this run, and would take a
    /// number that is used again for a grant that has long arrived.
    pub fn deactivate(&mut self) {
        *self = Self {
            seq: self.seq,
            ..Self::default()
        };
    }

    /// Drops everything that `entry` wants and holds.
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
        let low = GrantId { maker: 0, seq: 0 };
        self.held
            .range((entry, low)..)
            .take_while(move |((e, _), _)| *e == entry)
            .map(|((_, grant), _)| *grant)
    }

    /// Frees a slot and returns what was known of it.
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

    /// Books a slot that an entry holds.
    pub fn add_held(&mut self, entry: InstanceId, held: &Held, charged: Option<f64>) {
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

    /// Slots that may be granted and that nothing waits for.
    pub fn idle_slots(&self, now: Instant) -> u16 {
        if self.accounts.values().any(|q| q.pending > 0) {
            return 0;
        }
        self.servers.values().map(|s| s.available(now)).sum()
    }
}

/// Low half of an incarnation, as grants carry it.
pub const fn maker(incarnation: Incarnation) -> u32 {
    incarnation.0 as u32
}

/// Takes what changed at an entry.
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
    for want in &demand.wants {
        raise_idle_account(board, demand.pool, service, want.account);
        let owned = board.owned_pools.entry(demand.pool).or_default();
        owned.set_want(from, want.account, |w| w.wanted = want.wanted);
    }
    for done in &demand.done {
        release_slot(board, demand.pool, service, from, done, now);
    }
}

/// Lifts an account that was idle here to the level of those that are served.
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

/// Takes a slot back and corrects the charge to what the call cost.
fn release_slot(
    board: &mut Blackboard,
    pool: PoolId,
    service: ServiceId,
    from: InstanceId,
    done: &Done,
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
    // The estimate of an owner that is gone stays in its counters; the cost on top of it would
    // count the call twice.
    if let Some(charged) = slot.charged {
        let corrected = cost / share.unwrap_or(1.0) - charged;
        board.ledger.charge(key, corrected);
    }
    if cost > 0.0 {
        board.ledger.record_cost(key, cost);
    }
}

/// Takes everything that an entry holds and wants.
pub fn on_holding(
    board: &mut Blackboard,
    from: InstanceId,
    incarnation: Incarnation,
    holding: &Holding,
    now: Instant,
) {
    if holding.owner != board.incarnation {
        return;
    }
    let Some(service) = board.config.pools.get(&holding.pool).map(|p| p.service) else {
        return;
    };
    let made = maker(board.incarnation);
    let owned = board.owned_pools.entry(holding.pool).or_default();
    if !owned.register_entry(from, incarnation) {
        return;
    }
    // Costs come first: what is not held and not listed here was never run, and is refunded.
    for done in &holding.done {
        release_slot(board, holding.pool, service, from, done, now);
    }
    let owned = board.owned_pools.entry(holding.pool).or_default();
    let gone: Vec<GrantId> = owned
        .held_by(from)
        .filter(|g| g.maker != made || g.seq <= holding.ack)
        .filter(|g| !holding.held.iter().any(|h| h.grant == *g))
        .collect();
    let mut refunds = Vec::new();
    for grant in gone {
        refunds.extend(owned.release(from, grant));
    }
    for held in &holding.held {
        owned.add_held(from, held, None);
    }
    // Every grant up to `ack` has arrived or is lost, so what is granted counts from there.
    let in_flight: Vec<AccountId> = owned
        .held
        .iter()
        .filter(|((e, g), _)| *e == from && g.maker == made && g.seq > holding.ack)
        .map(|(_, slot)| slot.account)
        .collect();
    reset_wants(owned, from, &holding.received, &in_flight);
    for slot in refunds {
        let account = slot.account;
        let charged = slot.charged.unwrap_or(0.0);
        board.ledger.charge(CostKey { service, account }, -charged);
    }
    for want in &holding.wants {
        raise_idle_account(board, holding.pool, service, want.account);
        let owned = board.owned_pools.entry(holding.pool).or_default();
        owned.set_want(from, want.account, |w| w.wanted = want.wanted);
    }
    sync_returning_entry(board, from, holding, now);
}

/// Asks an entry that comes back to this owner once more, after the grants that are on their way.
///
/// An entry that turned to another owner and back has forgotten up to which number grants arrived,
/// so those that it dropped meanwhile would count as on their way for good and their slots idle.
/// Messages keep their order: what it says after this number has arrived is the whole truth. One
/// that turns here late must also learn that grants are made already.
fn sync_returning_entry(board: &mut Blackboard, from: InstanceId, holding: &Holding, now: Instant) {
    let pool = holding.pool;
    let Some(owned) = board.owned_pools.get(&pool).filter(|o| o.active) else {
        return;
    };
    let last = owned.last_grants.get(&from).copied().unwrap_or(0);
    let ready = owned.is_ready(now);
    if (holding.ack == 0 && last > 0) || (ready && !holding.settled) {
        let sync = Message::Sync { pool, last, ready };
        board.outbox.push((from, sync));
    }
}

/// Tells every entry that the owned pools which have just become ready grant from now on.
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
            board
                .outbox
                .push((*entry, Message::Sync { pool, last, ready }));
        }
    }
}

fn reset_wants(
    owned: &mut OwnedPool,
    from: InstanceId,
    received: &[Want],
    in_flight: &[AccountId],
) {
    let known: Vec<AccountId> = owned
        .accounts
        .iter()
        .filter(|(_, q)| q.entries.contains_key(&from))
        .map(|(a, _)| *a)
        .collect();
    let told = received.iter().map(|w| w.account);
    let mut accounts: Vec<AccountId> = known.into_iter().chain(told).collect();
    accounts.sort_unstable();
    accounts.dedup();
    for account in accounts {
        let base = received
            .iter()
            .find(|w| w.account == account)
            .map_or(0, |w| w.wanted);
        let in_flight = in_flight.iter().filter(|a| **a == account).count() as u32;
        owned.set_want(from, account, |w| {
            w.granted = base.wrapping_add(in_flight);
            w.wanted = w.granted;
        });
    }
}

/// Takes a server's own word, in its load report, on whether it is leaving.
pub fn on_leaving_reading(board: &mut Blackboard, pool: PoolId, server: ServerId, leaving: bool) {
    if let Some(owned) = board.owned_pools.get_mut(&pool)
        && let Some(slots) = owned.servers.get_mut(&server)
        && slots.reports_leaving != leaving
    {
        slots.reports_leaving = leaving;
        owned.dirty = true;
    }
}

/// Takes a server's load reading.
///
/// An owner that still collects what entries hold would take their work for another owner's, and an
/// instance that schedules alone would take the work of all others for it.
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
