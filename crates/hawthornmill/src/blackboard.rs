//! The blackboard that controllers read and write.
//!
//! Adapters feed events in through the controllers' functions, call [`crate::pools::run_due()`], and drain
//! what the turn left: messages for peers, dispatches of waiting requests, refusals. Nothing on the
//! board blocks, and nothing in it reads a clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::codes::Code;
use crate::config::{FleetConfig, Manifest, accept::Values, intake::Intake};
use crate::events::Event;
use crate::fairness::Ledger;
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId, ServerId, ServiceId};
use crate::limits::backlog::Backlogs;
use crate::limits::queue_rate::QueueRate;
use crate::membership::{Members, reports::Reports, roster::Roster, startup::Startup};
use crate::pools::cross_region::CrossRegionBudget;
use crate::pools::entry::OwnerSession;
use crate::pools::owner::OwnedPool;
use crate::wire::message::{Contact, GrantId, Message};

slotmap::new_key_type! {
    /// A request that waits at this entry.
    pub struct RequestKey;
}

/// Who schedules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// An owner for each pool grants slots to entries.
    Pooled,
    /// Each instance schedules alone on its part of every server's slots; a measured baseline.
    Static,
}

/// Durations and bounds of the controllers.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Who schedules.
    pub policy: Policy,
    /// Time for which a new owner only collects what entries hold.
    pub rebuild: Duration,
    /// Time between reports.
    pub report: Duration,
    /// Time for which an unreachable server gets no grants.
    pub penalty: Duration,
    /// Gap between two ticks after which the process counts as paused.
    pub pause: Duration,
    /// Longest time without dispatch after a pause when no peer answers.
    pub confirm: Duration,
    /// Requests that may wait at this instance, over all accounts.
    pub max_waiting: usize,
    /// Bytes of waiting bodies at this instance, over all accounts.
    pub max_bytes: usize,
    /// Lag behind the most served account that is remembered, in slots × estimated cost.
    pub lag_cap: f64,
    /// Bytes of calls a second that this entry may exchange with servers in other regions.
    pub cross_bytes: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            policy: Policy::Pooled,
            rebuild: Duration::from_millis(400),
            report: Duration::from_millis(250),
            penalty: Duration::from_millis(500),
            pause: Duration::from_millis(700),
            confirm: Duration::from_secs(1),
            max_waiting: 20_000,
            max_bytes: 256 << 20,
            lag_cap: 8.0,
            cross_bytes: 262_144.0,
        }
    }
}

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Service that it calls.
    pub service: ServiceId,
    /// Account that pays.
    pub account: AccountId,
    /// When it arrived.
    pub arrived: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Bytes of its body.
    pub bytes: usize,
    /// Servers that failed it already.
    pub avoid: SmallVec<[ServerId; 2]>,
    /// Grants of servers to avoid that it let go by.
    pub declined: u8,
}

/// A request that may go to a server now.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The request; it waits no longer.
    pub request: RequestKey,
    /// Pool of the slot.
    pub pool: PoolId,
    /// Grant of the slot.
    pub grant: GrantId,
    /// Server of the slot.
    pub server: ServerId,
    /// Instance that granted it.
    pub owner: InstanceId,
    /// Share of the account on that server.
    pub share: f64,
    /// When it arrived.
    pub arrived: Instant,
}

/// The blackboard.
#[derive(Debug)]
pub struct Blackboard {
    /// This process run.
    pub incarnation: Incarnation,
    /// Durations and bounds.
    pub tuning: Tuning,
    /// Configuration in force; revision 0 until one is accepted.
    pub config: Arc<FleetConfig>,
    /// Manifest of the configuration in force.
    pub manifest: Manifest,
    /// Texts of the configuration in force, for peers that ask.
    pub values: Arc<Values>,
    /// Revisions that are not held.
    pub intake: Intake,
    /// What this instance was told at its start.
    pub startup: Startup,
    /// The platform's instance list.
    pub roster: Roster,
    /// Instances.
    pub members: Members,
    /// Reports of all instances.
    pub reports: Reports,
    /// Fairness counters.
    pub ledger: Ledger,
    /// Peers that were asked for their counters since the start.
    pub counter_requests: u32,
    /// Requests that wait at this entry.
    pub waiting: SlotMap<RequestKey, Waiting>,
    /// How much waits, by account.
    pub backlogs: Backlogs,
    /// How fast each queue is served.
    pub queue_rates: BTreeMap<(ServiceId, AccountId), QueueRate>,
    /// Order of waiting requests.
    pub queues: BTreeMap<(ServiceId, AccountId), VecDeque<RequestKey>>,
    /// Queues that changed since their demand was last told.
    pub dirty_queues: BTreeSet<(ServiceId, AccountId)>,
    /// Dealings of this entry with the owner of each pool.
    pub sessions: BTreeMap<PoolId, OwnerSession>,
    /// Pools for which other entries or this one have sent demand here.
    pub owned_pools: BTreeMap<PoolId, OwnedPool>,
    /// Servers whose answers said that they are leaving, and when.
    pub leaving_servers: BTreeMap<ServerId, Instant>,
    /// Connections to these instances broke and have not been renewed.
    pub broken_peers: BTreeSet<InstanceId>,
    /// A pause made this instance's view old; nothing is dispatched until it is confirmed.
    pub stale_since: Option<Instant>,
    /// When the last pause was noticed.
    pub resumed_at: Option<Instant>,
    /// Numbers of the pause, to tell confirmations apart.
    pub pause_count: u64,
    /// Revision that a peer named after the pause; the view is old until it is in force.
    pub awaited_revision: Option<u64>,
    /// Messages that wait to be sent.
    pub outbox: Vec<(InstanceId, Message)>,
    /// Requests that may go to a server.
    pub dispatches: Vec<Dispatch>,
    /// Events that operators should read in the log.
    pub events: Vec<Event>,
    /// Requests that are given up.
    pub refusals: Vec<(RequestKey, Code)>,
    /// Bytes of calls that may still cross to other regions.
    pub cross_region: CrossRegionBudget,
    /// Last tick.
    pub last_tick: Instant,
    /// When owners must be worked out anew although nothing changed.
    pub reassign_at: Option<Instant>,
    /// Revision whose servers and slots the owned pools have.
    pub sized_revision: u64,
}

impl Blackboard {
    /// An empty board for one process run.
    pub fn new(contact: Contact, incarnation: Incarnation, tuning: Tuning, now: Instant) -> Self {
        let me = InstanceId::of(&contact.name);
        let cross_region = CrossRegionBudget::new(tuning.cross_bytes, now);
        let ledger = match tuning.policy {
            Policy::Pooled => Ledger::default(),
            Policy::Static => Ledger::local_only(),
        };
        Self {
            incarnation,
            tuning,
            config: Arc::new(FleetConfig::default()),
            manifest: Manifest::default(),
            values: Arc::new(Values::new()),
            intake: Intake::default(),
            startup: Startup::default(),
            roster: Roster::default(),
            members: Members::new(me, contact, incarnation, now),
            reports: Reports::default(),
            ledger,
            counter_requests: 0,
            waiting: SlotMap::with_key(),
            backlogs: Backlogs::default(),
            queue_rates: BTreeMap::new(),
            queues: BTreeMap::new(),
            dirty_queues: BTreeSet::new(),
            sessions: BTreeMap::new(),
            owned_pools: BTreeMap::new(),
            leaving_servers: BTreeMap::new(),
            broken_peers: BTreeSet::new(),
            stale_since: None,
            resumed_at: None,
            pause_count: 0,
            awaited_revision: None,
            outbox: Vec::new(),
            dispatches: Vec::new(),
            events: Vec::new(),
            refusals: Vec::new(),
            cross_region,
            last_tick: now,
            reassign_at: None,
            sized_revision: 0,
        }
    }

    /// This instance.
    pub fn me(&self) -> InstanceId {
        self.members.me
    }

    /// Puts a checked configuration in force; false when it is not newer.
    pub fn install(&mut self, config: FleetConfig, manifest: Manifest, values: Values) -> bool {
        if config.revision <= self.config.revision {
            return false;
        }
        let known = |(service, account): &(ServiceId, AccountId)| {
            config.services.contains_key(service) && config.accounts.contains_key(account)
        };
        self.queue_rates.retain(|key, _| known(key));
        self.config = Arc::new(config);
        self.manifest = manifest;
        self.values = Arc::new(values);
        self.members.changed = true;
        let keys: Vec<_> = self.queues.keys().copied().collect();
        self.dirty_queues.extend(keys);
        true
    }

    /// Tells whether nothing may be expected of `owner` now, so that held slots are kept.
    pub fn is_unreachable(&self, owner: InstanceId) -> bool {
        owner != self.me()
            && (self.broken_peers.contains(&owner)
                || !self.members.map.get(&owner).is_some_and(|m| m.live))
    }
}
