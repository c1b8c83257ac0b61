//! Message types.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::Manifest;
use crate::fairness::CostKey;
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId, ServerId};
use crate::routing::departures::Departure;
use crate::routing::domain_summary::{DomainMembers, DomainWork};
use crate::routing::fragments::{Fragment, FragmentRequest};
use crate::routing::gossip::{InstanceReport, SyncRequest, SyncResponse};
use crate::routing::loads::Work;

/// Names one grant: the owner that made it and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// Low half of the owner's incarnation.
    pub owner_run: u32,
    /// Number of the grant at that owner.
    pub seq: u32,
}

/// How much work of one account waits at an entry for one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTotal {
    /// The account.
    pub account: AccountId,
    /// Grants received from this owner so far plus requests that wait now (bounded).
    pub total: u32,
}

/// A slot that an entry gives back.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlotRelease {
    /// The grant that gave it.
    pub grant: GrantId,
    /// Cost of the call in the service's unit; 0 for a grant that was not used.
    pub cost: f32,
    /// The server could not be reached.
    pub failed: bool,
}

/// Entry to owner: what changed at the entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Pool that this is about.
    pub pool: PoolId,
    /// Accounts whose want changed.
    pub requested: SmallVec<[AccountTotal; 2]>,
    /// Slots given back.
    pub released: SmallVec<[SlotRelease; 2]>,
}

/// The right to have one request on one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the grant at its owner.
    pub seq: u32,
    /// Account for which the slot was chosen.
    pub account: AccountId,
    /// Server on which the slot is.
    pub server: ServerId,
}

/// Owner to entry: new grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// Pool that this is about.
    pub pool: PoolId,
    /// Grants in ascending order of their numbers.
    pub grants: SmallVec<[Grant; 2]>,
}

/// A slot that an entry holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedSlot {
    /// The grant that gave it, maybe of an earlier owner.
    pub grant: GrantId,
    /// Account that it serves.
    pub account: AccountId,
    /// Server on which it is.
    pub server: ServerId,
}

/// Entry to owner: everything that the entry holds and wants of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryState {
    /// Pool that this is about.
    pub pool: PoolId,
    /// Owner incarnation from whose grants `ack` and `received` count.
    pub owner: Incarnation,
    /// Grants up to this number have arrived or never will.
    pub ack: u32,
    /// Slots held.
    pub held: Vec<GrantedSlot>,
    /// Grants received per account.
    pub received: Vec<AccountTotal>,
    /// Wants of every account that waits.
    pub requested: Vec<AccountTotal>,
    /// Costs of calls that ended since the owner was last told.
    pub released: Vec<SlotRelease>,
    /// The entry knows that the owner grants; until then it keeps slots that come free.
    pub owner_ready: bool,
}

/// What an owner tells of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PoolState {
    /// The pool.
    pub pool: PoolId,
    /// Slots that nothing waits for.
    pub idle: u16,
    /// Least normalised service among the accounts that wait there.
    pub min_service: f64,
}

/// What an instance tells of itself, passed on by relays; newest version wins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Who reports.
    pub origin: InstanceId,
    /// Its process run.
    pub incarnation: Incarnation,
    /// Rises with each report.
    pub version: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// Configuration revision in force there.
    pub revision: u64,
    /// Tenths of a second for which it has been steady, as in a [`Heartbeat`].
    pub steady_tenths: u8,
    /// Pools that it owns.
    pub pools: Vec<PoolState>,
    /// Own cumulative counters that changed.
    pub costs: Vec<(CostKey, f64)>,
}

/// Cumulative counters of one owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OwnerCounters {
    /// The owner.
    pub origin: InstanceId,
    /// Its process run.
    pub incarnation: Incarnation,
    /// Normalised service that it charged, by key.
    pub values: Vec<(CostKey, f64)>,
}

/// What a peer knows of normalised service, for an instance that starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct LedgerSnapshot {
    /// Sums over earlier runs of owners.
    pub retired: Vec<(CostKey, f64)>,
    /// Counters of each owner's latest run, the teller's among them.
    pub counters: Vec<OwnerCounters>,
}

/// Asks a peer for a newer configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPull {
    /// Manifest in force at the asker; values with equal digests need not be sent.
    pub have: Manifest,
}

/// Answers a [`ConfigPull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValues {
    /// Manifest of the revision.
    pub manifest: Manifest,
    /// Values that the asker did not have.
    pub values: Vec<(Box<str>, Box<str>)>,
}

/// How to reach an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Name in its settings.
    pub name: Box<str>,
    /// Failure domain by name.
    pub domain: Box<str>,
    /// Region by name.
    pub region: Box<str>,
    /// `IP:port` for callers.
    pub http: Box<str>,
    /// `IP:port` for peers, UDP and TCP alike.
    pub peer: Box<str>,
}

/// A sign of life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender takes no new work.
    pub leaving: bool,
    /// Configuration revision in force there.
    pub revision: u64,
    /// Milliseconds until the next heartbeat is due; 0 when the receiver needs none any more.
    pub interval_ms: u16,
    /// Tenths of a second since the sender started, woke from a pause or was cut off; 255 at most.
    pub steady_tenths: u8,
    /// The platform answered the sender in the last seconds.
    pub platform_reachable: bool,
    /// Digest of the instance list that the sender holds.
    pub roster_digest: u32,
    /// How to reach the sender; sent now and then.
    pub contact: Option<Box<Contact>>,
}

/// Answers a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAck {
    /// Number of the probe.
    pub number: u64,
    /// Configuration revision in force at the giver.
    pub revision: u64,
    /// The giver serves callers, so it has itself made sure of its revision.
    pub serving: bool,
}

/// An instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// How to reach it.
    pub contact: Contact,
    /// It is about to go.
    pub leaving: bool,
}

/// Asks for the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterPull {
    /// Digest of the list that the asker holds.
    pub have: u32,
}

/// What changed in the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDelta {
    /// Digest of the list that this leads to.
    pub digest: u32,
    /// Digest of the list that this starts from; 0 for the empty one.
    pub base: u32,
    /// Entries that are new or different.
    pub changed: Vec<RosterEntry>,
    /// Instances that are listed no longer.
    pub removed: Vec<InstanceId>,
}

/// A slot that an entry holds, as the old owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EntrySlot {
    /// The entry.
    pub entry: InstanceId,
    /// Its process run.
    pub incarnation: Incarnation,
    /// The slot.
    pub held: GrantedSlot,
    /// Normalised service that was charged for it; none where an earlier owner charged it.
    pub charged: Option<f64>,
}

/// Old owner to new owner: what the new one would otherwise have to wait for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Pool that this is about.
    pub pool: PoolId,
    /// Normalised service by which each account that waits or runs is behind the one served last.
    ///
    /// Totals of two instances can't be compared, since each counts from what it heard first.
    pub lags: Vec<(AccountId, f64)>,
    /// Slots held.
    pub held: Vec<EntrySlot>,
}

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sign of life inside a failure domain, over UDP.
    Heartbeat(Heartbeat),
    /// Asks for an immediate [`Message::ProbeAck`], over UDP.
    Probe(u64),
    /// Answers a probe.
    ProbeAck(ProbeAck),
    /// Reports, own and passed on, over UDP.
    Reports(Vec<Report>),
    /// Entry to owner.
    Demand(Demand),
    /// Owner to entry.
    Grants(Grants),
    /// Entry to owner.
    EntryState(EntryState),
    /// Owner to entry after a new link: grants up to this number arrived or never will.
    Sync {
        /// Pool that this is about.
        pool: PoolId,
        /// Last grant number made for the entry.
        last_seq: u32,
        /// The owner has heard enough to grant.
        ready: bool,
    },
    /// Asks for a [`Message::LedgerSnapshot`].
    LedgerPull,
    /// What a peer knows, for an instance that starts.
    LedgerSnapshot(LedgerSnapshot),
    /// Asks for a newer configuration.
    ConfigPull(ConfigPull),
    /// Answers with a newer configuration.
    ConfigValues(ConfigValues),
    /// Asks for the instance list.
    RosterPull(RosterPull),
    /// Answers with what changed in the instance list.
    RosterDelta(RosterDelta),
    /// Old owner to new owner.
    Handover(Handover),
    /// What an instance of the gateway tells the others, over UDP.
    News(Box<InstanceReport>),
    /// Work that an instance of the gateway has under way, between two pieces of news, over UDP.
    Work(Vec<(ServerId, Work)>),
    /// Who is in a failure domain of a large fleet, over UDP.
    Members(Box<DomainMembers>),
    /// What such a domain has under way, over UDP.
    DomainWork(Box<DomainWork>),
    /// Asks an instance of the gateway for newer knowledge.
    Pull(SyncRequest),
    /// Answers with it.
    Knowledge(Box<SyncResponse>),
    /// Servers that leave, as an instance of the gateway knows for sure, over UDP.
    Leaving(Vec<Departure>),
    /// Asks an instance of the gateway for newer knowledge in parts, over UDP.
    Wanted(FragmentRequest),
    /// Answers with one part of it.
    Part(Fragment),
}
