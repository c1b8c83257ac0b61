//! Gossip between instances of the gateway.
//!
//! Each instance sends a report to the others several times a second over UDP; a lost one costs a fraction of a second of
//! accuracy. An instance that hears of a newer catalog or store revision than its own requests it from the sender.

mod targets;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::catalog::Catalog;
use super::domain_summary::Member;
use super::evacuations::Evacuation;
use super::loads::Work;
use super::registry::{Change, Unconfirmed};
use super::shape::PrefixKey;
use super::usage::{AccountUsage, ShareStatus};
use crate::ident::{AccountId, DomainId, Incarnation, InstanceId, ServerId, ServiceId};

/// Silence after which a peer is no longer listed to callers; about six lost reports.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The same for a peer of another failure domain in a large fleet; a dozen lost summaries of relays.
const REMOTE_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Time for which a relay names a member of its domain as silent; it names each member several times in it.
const SILENCE_REPORT_TTL: Duration = Duration::from_secs(4);
/// Time from the first report that an instance hears until it has heard those that it names: three rounds of reports.
const MEETING_TIME: Duration = Duration::from_millis(600);
/// Time after its start from which an instance that hears nobody counts as alone; seeds of a large fleet get a report within it.
const LONELY_TIME: Duration = Duration::from_secs(1);
/// Number of other instances from which a fleet counts as large.
pub(super) const LARGE_FLEET_PEERS: usize = 12;

/// Addresses and failure domain of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Address for callers.
    pub client_addr: SocketAddr,
    /// Address for reports and requests of other instances.
    pub peer_addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its processor, in percent of a core; 0 while it is overloaded and should have no role among the instances.
    pub cpu_percent: u16,
}

/// Role of an instance towards the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum StoreRole {
    /// Other instances follow the store for it.
    #[default]
    Idle,
    /// It follows the store and is connected.
    Connected,
    /// It follows the store, but the store doesn't respond.
    Disconnected,
}

/// Recent demand of one share status that found no capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UnmetDemand {
    /// Number of instances at which it arrived.
    pub instances: u16,
    /// Cost in tokens, after decay.
    pub cost: u32,
}

impl UnmetDemand {
    /// Adds `other`.
    pub const fn add(&mut self, other: Self) {
        self.instances = self.instances.saturating_add(other.instances);
        self.cost = self.cost.saturating_add(other.cost);
    }
}

/// Periodic report of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Addresses and failure domain of the sender.
    pub info: PeerInfo,
    /// It accepts requests of callers.
    pub ready: bool,
    /// It is about to stop.
    pub leaving: bool,
    /// Its role towards the store.
    pub store_role: StoreRole,
    /// How far it knows the store.
    pub known: KnownState,
    /// Its load is told in parts of its own, and the following lists are empty.
    pub in_parts: bool,
    /// Its work in flight by server.
    pub work: Vec<(ServerId, Work)>,
    /// Usage of accounts that it recorded.
    pub usage: Vec<(AccountId, AccountUsage)>,
    /// Shared prefixes recently sent to a server other than their home.
    pub spilled: Vec<(PrefixKey, ServerId)>,
    /// Recent unmet demand by service and share status.
    pub unmet: Vec<(ServiceId, ShareStatus, UnmetDemand)>,
    /// Peer addresses of other instances that it hears.
    pub known_peers: Vec<SocketAddr>,
}

/// How far an instance knows what it takes over from the store; a request for newer state names the requester's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct KnownState {
    /// Version of its catalog; 0 when it has none.
    pub catalog_version: u64,
    /// Revision of the store up to which it knows the registrations.
    pub revision: u64,
    /// Revision of the newest evacuation that it knows.
    pub evacuation_revision: u64,
}

impl KnownState {
    /// Returns whether any part of it is newer than in `other`.
    pub const fn is_ahead_of(self, other: Self) -> bool {
        self.catalog_version > other.catalog_version || self.has_newer_servers(other)
    }

    /// Returns whether its registrations or evacuations are newer than in `other`.
    pub const fn has_newer_servers(self, other: Self) -> bool {
        self.revision > other.revision || self.evacuation_revision > other.evacuation_revision
    }
}

/// Response to a request for what is newer than a [`KnownState`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// The catalog, if newer than the requester's.
    pub catalog: Option<Catalog>,
    /// All registrations, if newer than the requester's.
    pub registrations: Option<Vec<Change>>,
    /// Those that were removed during an outage of the store and count for a grace period only.
    pub unconfirmed: Vec<Unconfirmed>,
    /// Revision of the responder's registrations.
    pub revision: u64,
    /// All evacuations that the responder knows of, whether active or taken back.
    pub evacuations: Vec<Evacuation>,
    /// Whether live servers may be missing, as the registrations were first read after an outage of the store; `None` from the
    /// build before, which doesn't say.
    pub after_outage: Option<bool>,
    /// Gap targets of the catalog's routes, see [`Catalog::gap_targets`]; empty from the build before.
    pub gap_targets: Vec<u32>,
}

/// State of another instance, as last heard.
#[derive(Debug, Clone, Copy)]
pub struct PeerState {
    /// Its addresses and failure domain.
    pub info: PeerInfo,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// It accepts requests of callers.
    pub ready: bool,
    /// It is about to stop; never reset within an incarnation.
    pub leaving: bool,
    /// Its role towards the store.
    pub store_role: StoreRole,
    /// How far it knows the store.
    pub known: KnownState,
    /// Last report, direct or through a relay.
    pub last_seen: Instant,
    /// Last direct report of its current incarnation.
    pub last_direct: Option<Instant>,
    /// Last report of a relay on its current incarnation.
    pub last_relayed: Option<Instant>,
    /// Silence after which it counts as gone.
    pub timeout: Duration,
    /// Whether its current incarnation was sent a report.
    pub reported_to: bool,
    /// When a relay of its domain said that it is silent, if it did so since the last report.
    pub silent_at: Option<Instant>,
}

impl PeerState {
    fn member(&self, id: InstanceId, now: Instant) -> Member {
        Member {
            id,
            incarnation: self.incarnation,
            info: self.info,
            ready: self.ready,
            leaving: self.leaving,
            silent: !self.is_live(now),
            store_role: self.store_role,
            known: self.known,
        }
    }

    fn is_live(&self, now: Instant) -> bool {
        self.silent_at.is_none() && now.duration_since(self.last_seen) < self.timeout
    }
}

/// Change of a peer that its report shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerChange {
    /// It is a new incarnation.
    Started,
    /// It was silent for longer than its timeout.
    Returned,
    /// It is about to stop.
    Leaving,
}

/// An address that a peer named and from which nothing was heard.
#[derive(Debug, Clone, Copy)]
struct Contact {
    named_at: Instant,
    /// Whether a report was sent there.
    reported: bool,
}

/// Table of the other instances.
#[derive(Debug, Clone)]
pub struct PeerTable {
    pub(super) domain: DomainId,
    /// Processor of this instance, in percent of a core.
    pub cpu_percent: u16,
    /// Whether this instance is fast enough for a role that others depend on.
    pub is_fit: bool,
    pub(super) peers: BTreeMap<InstanceId, PeerState>,
    contacts: BTreeMap<SocketAddr, Contact>,
    max_seen: usize,
    first_heard: Option<Instant>,
}

impl PeerTable {
    /// Creates an empty table for an instance of `domain` with a processor of `cpu_percent` percent of a core.
    pub const fn new(domain: DomainId, cpu_percent: u16) -> Self {
        Self {
            domain,
            cpu_percent,
            is_fit: true,
            peers: BTreeMap::new(),
            contacts: BTreeMap::new(),
            max_seen: 0,
            first_heard: None,
        }
    }

    /// Returns the processor by which the others rank this instance for roles, in percent of a core.
    pub const fn offered_cpu(&self) -> u16 {
        if self.is_fit { self.cpu_percent } else { 0 }
    }

    /// Applies the report of `from`; returns the change that it shows, if any.
    pub fn apply_report(
        &mut self,
        from: InstanceId,
        run: Incarnation,
        report: &InstanceReport,
        now: Instant,
    ) -> Option<PeerChange> {
        let remote = self.is_large_fleet() && report.info.domain != self.domain;
        let state = PeerState {
            info: report.info,
            incarnation: run,
            ready: report.ready,
            leaving: report.leaving,
            store_role: report.store_role,
            known: report.known,
            last_seen: now,
            last_direct: Some(now),
            last_relayed: None,
            timeout: if remote { REMOTE_TIMEOUT } else { PEER_TIMEOUT },
            reported_to: false,
            silent_at: None,
        };
        for address in &report.known_peers {
            let contact = self.contacts.entry(*address).or_insert(Contact {
                named_at: now,
                reported: false,
            });
            contact.named_at = now;
        }
        self.update(from, state, now)
    }

    /// Applies a relay's report on an instance; returns the change that it shows, if any.
    pub fn apply_member(&mut self, member: &Member, now: Instant) -> Option<PeerChange> {
        if member.silent {
            self.mark_silent(member, now);
            return None;
        }
        let state = PeerState {
            info: member.info,
            incarnation: member.incarnation,
            ready: member.ready,
            leaving: member.leaving,
            store_role: member.store_role,
            known: member.known,
            last_seen: now,
            last_direct: None,
            last_relayed: Some(now),
            timeout: REMOTE_TIMEOUT,
            reported_to: false,
            silent_at: None,
        };
        self.update(member.id, state, now)
    }

    /// Records that `from`, if it is known, has just sent something itself.
    pub fn mark_heard(&mut self, from: InstanceId, now: Instant) {
        if let Some(peer) = self.peers.get_mut(&from) {
            (peer.last_seen, peer.last_direct, peer.silent_at) = (now, Some(now), None);
        }
    }

    /// Records that a relay hears nothing of `member`, unless it has reported here since.
    fn mark_silent(&mut self, member: &Member, now: Instant) {
        let Some(peer) = self.peers.get_mut(&member.id) else {
            return;
        };
        let heard = peer.last_direct;
        let is_heard = heard.is_some_and(|at| now.duration_since(at) < PEER_TIMEOUT);
        if peer.incarnation == member.incarnation && !is_heard {
            peer.silent_at = Some(now);
        }
    }

    /// Returns the other instances of the own failure domain that are live or were so lately.
    ///
    /// None is named as silent while most of them are: then it is this instance that was paused or cut off.
    pub fn domain_members(&self, now: Instant) -> Vec<Member> {
        let known = self.peers.iter().filter(|(_, p)| {
            let silence = now.duration_since(p.last_seen);
            p.info.domain == self.domain && silence < p.timeout + SILENCE_REPORT_TTL
        });
        let mut members: Vec<Member> = known.map(|(id, p)| p.member(*id, now)).collect();
        let silent = members.iter().filter(|m| m.silent).count();
        if 2 * silent > members.len() {
            members.retain(|m| !m.silent);
        }
        members
    }

    /// Replaces the state of `from`; within an incarnation, `leaving` stays set.
    fn update(
        &mut self,
        from: InstanceId,
        mut state: PeerState,
        now: Instant,
    ) -> Option<PeerChange> {
        let current = self.peers.get(&from);
        let previous = current.filter(|p| p.incarnation == state.incarnation);
        state.leaving |= previous.is_some_and(|p| p.leaving);
        state.reported_to = previous.is_some_and(|p| p.reported_to);
        if previous.is_some_and(|p| p.timeout == REMOTE_TIMEOUT && p.last_relayed.is_some()) {
            // Its relay names it less often than it would report itself.
            state.timeout = REMOTE_TIMEOUT;
        }
        state.last_direct = state.last_direct.or(previous.and_then(|p| p.last_direct));
        state.last_relayed = state.last_relayed.or(previous.and_then(|p| p.last_relayed));
        let change = match previous {
            None => Some(PeerChange::Started),
            Some(previous) if !previous.is_live(now) => Some(PeerChange::Returned),
            Some(previous) if state.leaving && !previous.leaving => Some(PeerChange::Leaving),
            Some(_) => None,
        };
        self.peers.insert(from, state);
        self.first_heard.get_or_insert(now);
        change
    }

    /// Returns whether this instance, which started `age` ago, has had the time to hear the others, or is alone.
    pub fn has_met_others(&self, age: Duration, now: Instant) -> bool {
        match self.first_heard {
            Some(at) => now.duration_since(at) >= MEETING_TIME,
            None => age >= LONELY_TIME,
        }
    }

    /// Returns whether the fleet is so large that failure domains exchange summaries.
    pub fn is_large_fleet(&self) -> bool {
        self.peers.len() >= LARGE_FLEET_PEERS
    }

    /// Returns the live peers of the own failure domain.
    pub fn domain_peers(&self, now: Instant) -> impl Iterator<Item = (InstanceId, &PeerState)> {
        self.live(now).filter(|(_, p)| p.info.domain == self.domain)
    }

    /// Returns whether `address` belongs to an instance of the own failure domain.
    pub fn is_domain_peer(&self, address: SocketAddr) -> bool {
        let mut all = self.peers.values();
        all.any(|p| p.info.domain == self.domain && p.info.peer_addr == address)
    }

    /// Returns whether a live instance that accepts requests has a newer catalog than `version`.
    pub fn has_newer_catalog(&self, version: u64, now: Instant) -> bool {
        let mut all = self.live(now).map(|(_, p)| p);
        all.any(|p| p.known.catalog_version > version && p.ready && !p.leaving)
    }

    /// Returns whether a remembered peer, live or silent, listens at `address` for callers or for reports.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        let mut all = self.peers.values().map(|p| p.info);
        all.any(|info| info.client_addr == address || info.peer_addr == address)
    }

    /// Returns whether the instance at `address` was heard, directly or through a relay, after `since`.
    pub fn is_seen_since(&self, address: SocketAddr, since: Instant) -> bool {
        let mut all = self.peers.values();
        all.any(|p| p.info.peer_addr == address && p.last_seen > since)
    }

    /// Returns the largest number of instances that were live at once, including this one.
    pub const fn max_seen(&self) -> usize {
        self.max_seen
    }

    /// Returns the remembered peers, live or silent, with their failure domains.
    pub fn known_domains(&self) -> Vec<(InstanceId, DomainId)> {
        let peers = self.peers.iter();
        peers.map(|(id, p)| (*id, p.info.domain)).collect()
    }

    /// Returns the live peers.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (InstanceId, &PeerState)> {
        self.peers
            .iter()
            .filter(move |(_, p)| p.is_live(now))
            .map(|(id, p)| (*id, p))
    }

    /// Returns the peers from which to request what is newer than what `request` names.
    ///
    /// These are the peer with the newest catalog and the one with the newest registrations and evacuations, or one peer that
    /// is both. While
    /// catalogs change in quick succession, the peer with the newest one changes all the time and may be behind in
    /// registrations; asked alone, it would hide for seconds that a server drains.
    ///
    /// A peer of the own failure domain is preferred to others that are further ahead: bytes between domains are billed, and
    /// the domain asks elsewhere once none of its members knows more.
    ///
    /// Peers in `unresponsive` recently failed to respond. One that stopped right after it announced a change counts as live
    /// for another second and would be asked again and again.
    pub fn sync_candidates(
        &self,
        request: KnownState,
        unresponsive: &[SocketAddr],
        now: Instant,
    ) -> SmallVec<[PeerState; 2]> {
        let live = || {
            let all = self.live(now).map(|(_, p)| p);
            all.filter(|p| !unresponsive.contains(&p.info.peer_addr))
        };
        let is_local = |p: &PeerState| p.info.domain == self.domain;
        let has_newer_catalog = |p: &PeerState| p.known.catalog_version > request.catalog_version;
        let catalog = live().filter(|p| has_newer_catalog(p));
        let servers = live().filter(|p| p.known.has_newer_servers(request));
        let mut selected: SmallVec<[PeerState; 2]> = SmallVec::new();
        selected.extend(
            servers
                .max_by_key(|p| {
                    let newest = p.known.revision.max(p.known.evacuation_revision);
                    (is_local(p), newest, p.known.catalog_version)
                })
                .copied(),
        );
        if selected.first().is_none_or(|p| !has_newer_catalog(p)) {
            selected.extend(
                catalog
                    .max_by_key(|p| (is_local(p), p.known.catalog_version, p.known.revision))
                    .copied(),
            );
        }
        selected
    }
}
