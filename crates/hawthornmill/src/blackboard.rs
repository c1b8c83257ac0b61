//! The blackboard: state that all controllers share.
//!
//! Adapters pass events to the controllers' functions, call [`crate::pools::run_due()`], and drain the
//! results: messages for peers, dispatches of waiting requests, rejections. Nothing here blocks or
//! reads a clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::codes::Code;
use crate::config::accept::Values;
use crate::config::revisions::RevisionTracker;
use crate::config::{FleetConfig, Manifest};
use crate::events::Event;
use crate::fairness::Ledger;
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId, ServerId, ServiceId};
use crate::limits::backlog::Backlogs;
use crate::limits::queue_rate::QueueRate;
use crate::membership::Members;
use crate::membership::reports::Reports;
use crate::membership::roster::Roster;
use crate::membership::startup::Startup;
use crate::pools::cross_region::CrossRegionBudget;
use crate::pools::entry::OwnerSession;
use crate::pools::owner::OwnedPool;
use crate::wire::message::{Contact, GrantId, Message};

slotmap::new_key_type! {
    /// Identifies a request that waits at this entry.
    pub struct RequestKey;
}

/// How slots are scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// An owner for each pool grants slots to entries.
    Pooled,
    /// Each instance schedules its fixed share of every server's slots; a baseline for measurements.
    Static,
}

/// Tunable durations and limits of the controllers.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// How slots are scheduled.
    pub policy: Policy,
    /// Time for which a new owner collects held slots from entries before it grants.
    pub rebuild: Duration,
    /// Interval between reports.
    pub report: Duration,
    /// Time for which a failed server gets no grants.
    pub penalty: Duration,
    /// Gap between two ticks after which the process counts as paused.
    pub pause: Duration,
    /// Longest time without dispatching after a pause if no peer responds.
    pub confirm: Duration,
    /// Largest number of requests that wait at this instance, over all accounts.
    pub max_waiting: usize,
    /// Largest total size of waiting bodies at this instance, over all accounts.
    pub max_bytes: usize,
    /// Largest lag behind the most served account that is made up for, in slots × estimated cost.
    pub lag_cap: f64,
    /// Bytes per second that this entry may exchange with servers in other regions.
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

/// A waiting request.
#[derive(Debug, Clone)]
pub struct WaitingRequest {
    /// The service called.
    pub service: ServiceId,
    /// The account charged.
    pub account: AccountId,
    /// Time of arrival.
    pub arrived: Instant,
    /// Deadline of the caller.
    pub deadline: Instant,
    /// Size of its body.
    pub bytes: usize,
    /// Servers that failed this request.
    pub avoid: SmallVec<[ServerId; 2]>,
    /// Declined grants for servers in `avoid`.
    pub declined: u8,
}

/// A request to send to a server.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The request, which is no longer waiting.
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
    /// Time of arrival of the request.
    pub arrived: Instant,
}

/// Shared state of all controllers of one instance.
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
    /// Configuration revisions that are being fetched.
    pub revisions: RevisionTracker,
    /// What peers and the platform reported during startup.
    pub startup: Startup,
    /// The platform's instance list.
    pub roster: Roster,
    /// All known instances.
    pub members: Members,
    /// Reports of all instances.
    pub reports: Reports,
    /// Fairness counters.
    pub ledger: Ledger,
    /// Requests for fairness counters sent since startup.
    pub counter_requests: u32,
    /// Waiting requests.
    pub waiting: SlotMap<RequestKey, WaitingRequest>,
    /// Backlog of each account.
    pub backlogs: Backlogs,
    /// Service rate of each queue.
    pub queue_rates: BTreeMap<(ServiceId, AccountId), QueueRate>,
    /// Waiting requests in order of arrival.
    pub queues: BTreeMap<(ServiceId, AccountId), VecDeque<RequestKey>>,
    /// Queues that changed since their demand was last sent to owners.
    pub dirty_queues: BTreeSet<(ServiceId, AccountId)>,
    /// Session of this entry with the owner of each pool.
    pub sessions: BTreeMap<PoolId, OwnerSession>,
    /// Pools that this instance owns, or for which entries have sent demand here.
    pub owned_pools: BTreeMap<PoolId, OwnedPool>,
    /// Servers that announced in a response that they are leaving, and when.
    pub leaving_servers: BTreeMap<ServerId, Instant>,
    /// Instances to which the connection broke and is not re-established.
    pub broken_peers: BTreeSet<InstanceId>,
    /// Since when the view is stale after a pause; nothing is dispatched until it is confirmed.
    pub stale_since: Option<Instant>,
    /// When the last pause was detected.
    pub resumed_at: Option<Instant>,
    /// Number of pauses so far; probes carry it so that responses can be matched to a pause.
    pub pause_count: u64,
    /// Revision that a peer reported after the pause; the view is stale until it is in force.
    pub awaited_revision: Option<u64>,
    /// Messages to send.
    pub outbox: Vec<(InstanceId, Message)>,
    /// Requests to send to servers.
    pub dispatches: Vec<Dispatch>,
    /// Events to log.
    pub events: Vec<Event>,
    /// Rejected requests.
    pub rejections: Vec<(RequestKey, Code)>,
    /// Budget of bytes for calls to other regions.
    pub cross_region: CrossRegionBudget,
    /// Time of the last tick.
    pub last_tick: Instant,
    /// When owners must be recomputed because an instance becomes stable.
    pub reassign_at: Option<Instant>,
    /// Configuration revision from which the servers and slots of the owned pools were taken.
    pub sized_revision: u64,
}

impl Blackboard {
    /// Creates the initial state for one process run.
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
            revisions: RevisionTracker::default(),
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
            rejections: Vec::new(),
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

    /// Puts a validated configuration in force; returns false if it is not newer.
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

    /// Returns true if `owner` can't be reached now, so that held slots are retained.
    pub fn is_unreachable(&self, owner: InstanceId) -> bool {
        owner != self.me()
            && (self.broken_peers.contains(&owner)
                || !self.members.map.get(&owner).is_some_and(|m| m.live))
    }
}
