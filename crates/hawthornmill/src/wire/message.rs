//! Messages between instances.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::Manifest;
use crate::fairness::CostKey;
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId, ServerId};
use crate::quarantine::report::QuarantineReport;
use crate::routing::announcements::Announcements;
use crate::routing::domain_summary::DomainMembers;
use crate::routing::fragments::{Fragment, FragmentRequest};
use crate::routing::gossip::{InstanceReport, KnownState, SyncResponse};
use crate::routing::load_parts::{DemandPart, WorkPart};
use crate::routing::loads::Work;
use crate::routing::server_speed::SpeedReport;
use crate::routing::stream_versions::{StreamAnswers, StreamQuestions, StreamRecords};

/// Identifies a grant: the owner that issued it and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// Low half of the owner's incarnation.
    pub owner_run: u32,
    /// Number of the grant at that owner.
    pub seq: u32,
}

/// A cumulative count of one account at an entry and one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTotal {
    /// The account.
    pub account: AccountId,
    /// Grants received from this owner so far; for demand, plus the requests that wait now (bounded).
    pub total: u32,
}

/// A slot that an entry releases.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlotRelease {
    /// The grant of the slot.
    pub grant: GrantId,
    /// Cost of the call in the service's unit; 0 for an unused grant.
    pub cost: f32,
    /// The server could not be reached.
    pub failed: bool,
}

/// Entry to owner: changes since the last message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Pool that the message concerns.
    pub pool: PoolId,
    /// Accounts whose demand changed, with the new totals.
    pub requested: SmallVec<[AccountTotal; 2]>,
    /// Released slots.
    pub released: SmallVec<[SlotRelease; 2]>,
}

/// Permission to run one request on one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the grant at its owner.
    pub seq: u32,
    /// Account that the slot is granted to.
    pub account: AccountId,
    /// Server of the slot.
    pub server: ServerId,
}

/// Owner to entry: new grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// Pool that the message concerns.
    pub pool: PoolId,
    /// Grants in ascending order of their numbers.
    pub grants: SmallVec<[Grant; 2]>,
}

/// A slot that an entry holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedSlot {
    /// The grant of the slot, possibly by an earlier owner.
    pub grant: GrantId,
    /// Account that uses the slot.
    pub account: AccountId,
    /// Server of the slot.
    pub server: ServerId,
}

/// Entry to owner: the complete state of the entry for a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryState {
    /// Pool that the message concerns.
    pub pool: PoolId,
    /// Incarnation of the owner whose grants `ack` and `received` count.
    pub owner: Incarnation,
    /// Grants up to this number have arrived or are lost.
    pub ack: u32,
    /// Slots held.
    pub held: Vec<GrantedSlot>,
    /// Grants received per account.
    pub received: Vec<AccountTotal>,
    /// Demand of every account with waiting requests.
    pub requested: Vec<AccountTotal>,
    /// Slots released since the last message to the owner.
    pub released: Vec<SlotRelease>,
    /// Whether the entry knows that the owner issues grants; until then it keeps slots that become
    /// free.
    pub owner_ready: bool,
}

/// State of a pool, reported by its owner.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PoolState {
    /// The pool.
    pub pool: PoolId,
    /// Free slots without waiting requests.
    pub idle: u16,
    /// Lowest normalised service of the accounts that wait for the pool.
    pub min_service: f64,
}

/// State of an instance, forwarded by relays; the newest version wins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Instance that the report is about.
    pub origin: InstanceId,
    /// Process run of that instance.
    pub incarnation: Incarnation,
    /// Increases with each report.
    pub version: u32,
    /// The instance takes no new work.
    pub leaving: bool,
    /// Configuration revision in force at the sender.
    pub revision: u64,
    /// Tenths of a second without interruption, as in a [`Heartbeat`].
    pub steady_tenths: u8,
    /// Pools that it owns.
    pub pools: Vec<PoolState>,
    /// The instance's own cumulative counters that changed.
    pub costs: Vec<(CostKey, f64)>,
}

/// Cumulative counters of one owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OwnerCounters {
    /// The owner.
    pub origin: InstanceId,
    /// Process run of that instance.
    pub incarnation: Incarnation,
    /// Normalised service that it charged, by key.
    pub values: Vec<(CostKey, f64)>,
}

/// A peer's view of normalised service, for an instance that starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct LedgerSnapshot {
    /// Sums over earlier process runs of owners.
    pub retired: Vec<(CostKey, f64)>,
    /// Counters of each owner's latest process run, including the sender's.
    pub counters: Vec<OwnerCounters>,
}

/// Requests a newer configuration from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPull {
    /// Manifest in force at the requester; values with equal digests are not sent again.
    pub have: Manifest,
}

/// Response to a [`ConfigPull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValues {
    /// Manifest of the revision.
    pub manifest: Manifest,
    /// Values that the requester does not have.
    pub values: Vec<(Box<str>, Box<str>)>,
}

/// Name, location and addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Name of the instance in its settings.
    pub name: Box<str>,
    /// Failure domain by name.
    pub domain: Box<str>,
    /// Region by name.
    pub region: Box<str>,
    /// `IP:port` for clients.
    pub http: Box<str>,
    /// `IP:port` for peers, both UDP and TCP.
    pub peer: Box<str>,
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender takes no new work.
    pub leaving: bool,
    /// Configuration revision in force at the sender.
    pub revision: u64,
    /// Milliseconds until the next heartbeat; 0 if this is the last one to the receiver.
    pub interval_ms: u16,
    /// Tenths of a second since the sender started, resumed after a pause or was isolated; at most
    /// 255.
    pub steady_tenths: u8,
    /// Whether the platform responded to the sender in the last seconds.
    pub platform_reachable: bool,
    /// Digest of the instance list that the sender holds.
    pub roster_digest: u32,
    /// The sender's contact; sent in some heartbeats only.
    pub contact: Option<Box<Contact>>,
}

/// Response to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAck {
    /// Number of the probe.
    pub number: u64,
    /// Configuration revision in force at the responder.
    pub revision: u64,
    /// Whether the responder serves clients, and so has confirmed its own revision.
    pub serving: bool,
}

/// An entry of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Contact of the instance.
    pub contact: Contact,
    /// Whether the instance is leaving the fleet.
    pub leaving: bool,
}

/// Requests the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterPull {
    /// Digest of the list that the requester holds.
    pub have: u32,
}

/// Changes of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDelta {
    /// Digest of the list after the changes.
    pub digest: u32,
    /// Digest of the list before the changes; 0 for the empty one.
    pub base: u32,
    /// Added and changed entries.
    pub changed: Vec<RosterEntry>,
    /// Instances that are no longer listed.
    pub removed: Vec<InstanceId>,
}

/// A slot held by an entry, as known to the old owner.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EntrySlot {
    /// The entry.
    pub entry: InstanceId,
    /// Process run of that instance.
    pub incarnation: Incarnation,
    /// The slot.
    pub held: GrantedSlot,
    /// Normalised service charged for it; `None` if an earlier owner charged it.
    pub charged: Option<f64>,
}

/// Old owner to new owner: state that the new owner would otherwise have to collect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Pool that the message concerns.
    pub pool: PoolId,
    /// Normalised service by which each waiting or running account is behind the one served last.
    ///
    /// Totals of two instances can't be compared, since each starts counting at the first value
    /// that it receives.
    pub lags: Vec<(AccountId, f64)>,
    /// Slots held.
    pub held: Vec<EntrySlot>,
}

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat within a failure domain, over UDP.
    Heartbeat(Heartbeat),
    /// Requests an immediate [`Message::ProbeAck`], over UDP.
    Probe(u64),
    /// Response to a probe.
    ProbeAck(ProbeAck),
    /// Own and forwarded reports, over UDP.
    Reports(Vec<Report>),
    /// Entry to owner.
    Demand(Demand),
    /// Owner to entry.
    Grants(Grants),
    /// Entry to owner.
    EntryState(EntryState),
    /// Owner to entry on a new connection: grants up to this number have arrived or are lost.
    Sync {
        /// Pool that the message concerns.
        pool: PoolId,
        /// Number of the last grant for the entry.
        last_seq: u32,
        /// Whether the owner has collected enough state to issue grants.
        ready: bool,
    },
    /// Requests a [`Message::LedgerSnapshot`].
    LedgerPull,
    /// Normalised service as known to a peer, for an instance that starts.
    LedgerSnapshot(LedgerSnapshot),
    /// Requests a newer configuration.
    ConfigPull(ConfigPull),
    /// Response with a newer configuration.
    ConfigValues(ConfigValues),
    /// Requests the instance list.
    RosterPull(RosterPull),
    /// Response with the changes of the instance list.
    RosterDelta(RosterDelta),
    /// Old owner to new owner.
    Handover(Handover),
    /// State of a gateway instance for the others, over UDP.
    InstanceReport(Box<InstanceReport>),
    /// Requests that a gateway instance has in flight, between two full updates, over UDP.
    Work(Vec<(ServerId, Work)>),
    /// Members of a failure domain of a large fleet, over UDP.
    DomainMembers(Box<DomainMembers>),
    /// Work in flight of an instance, a failure domain or the rest of the fleet, over UDP.
    WorkPart(Box<WorkPart>),
    /// Demand that came to an instance, a failure domain or the rest of the fleet, over UDP.
    DemandPart(Box<DemandPart>),
    /// Requests newer state from a gateway instance.
    SyncRequest(KnownState),
    /// Response with that state.
    SyncResponse(Box<SyncResponse>),
    /// Recent changes of servers and failure domains that a gateway instance knows of, over UDP.
    Announcements(Box<Announcements>),
    /// Requests newer state from a gateway instance in parts, over UDP.
    FragmentRequest(FragmentRequest),
    /// Response with one part of it.
    Fragment(Fragment),
    /// Versions at which streams began at the sender, over UDP.
    StreamVersions(StreamRecords),
    /// Requests the versions at which streams began, over UDP.
    StreamQuery(StreamQuestions),
    /// Response with these versions.
    StreamAnswer(StreamAnswers),
    /// Servers that ended and quarantined requests, over UDP.
    QuarantineReport(Box<QuarantineReport>),
    /// How long work takes at the servers, over UDP.
    SpeedReport(Box<SpeedReport>),
}
