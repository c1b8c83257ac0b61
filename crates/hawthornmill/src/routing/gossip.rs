//! What instances of the gateway tell each other.
//!
//! Each instance sends its news to the others several times a second over UDP: a lost one costs a
//! fraction of a second of accuracy. Whoever hears of a newer catalog or store revision than its own
//! asks the teller for it over TCP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::catalog::Catalog;
use super::domain_summary::Member;
use super::loads::Work;
use super::registry::{Change, Unconfirmed};
use super::shape::PrefixKey;
use super::usage::{AccountUsage, ShareStatus};
use crate::ident::{AccountId, DomainId, Incarnation, InstanceId, ServerId, ServiceId, mix};

/// Silence after which an instance is no longer named to callers; about six lost news.
const SILENT: Duration = Duration::from_millis(1_300);
/// The same for one of another failure domain in a larger fleet; a dozen lost tellings of relays.
const FAR_SILENT: Duration = Duration::from_millis(2_600);
/// Silence after which an instance is forgotten.
const FORGOTTEN: Duration = Duration::from_mins(1);
/// Rounds of which one goes to seeds, and to those of other failure domains that tell us, in a larger fleet.
const FAR_ROUNDS: u64 = 4;
/// Relays of a failure domain in a larger fleet: one may be cut off or gone, and not yet count as silent.
const RELAYS: usize = 2;
/// Rounds of which a relay tells in one; the two relays take turns, so a domain is heard every 0.2 s. Each
/// telling is passed on to every instance of each other domain.
const RELAY_ROUNDS: u64 = 2;
/// Time for which an instance of another failure domain that told us itself is told news in a larger fleet.
const DIRECT: Duration = Duration::from_secs(2);
/// Instances up to which all follow the store.
const SMALL_FLEET: usize = 12;
/// Instances of one failure domain that follow the store in a larger fleet.
///
/// While it is gone and not yet replaced, which takes 1.3 s, the domain hears from the others' readers.
const READERS: usize = 1;
/// Instances named in one piece of news, so that it stays within a packet.
const NAMED: usize = 16;

/// How to reach an instance of the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Where callers connect.
    pub client_addr: SocketAddr,
    /// Where other instances send news and ask.
    pub peer_addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

/// What an instance has to do with the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum StoreRole {
    /// Others read for it.
    #[default]
    Idle,
    /// It reads, and the store answers it.
    Connected,
    /// It reads, and the store does not answer it.
    Disconnected,
}

/// How much work of one standing found no room lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UnmetDemand {
    /// Instances at which it found none.
    pub instances: u16,
    /// Its cost in tokens, as it counts now.
    pub cost: u32,
}

impl UnmetDemand {
    /// Counts `other` too.
    pub const fn add(&mut self, other: Self) {
        self.instances = self.instances.saturating_add(other.instances);
        self.cost = self.cost.saturating_add(other.cost);
    }
}

/// One instance's news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// How to reach the teller.
    pub info: PeerInfo,
    /// It takes requests of callers.
    pub ready: bool,
    /// It is about to stop.
    pub leaving: bool,
    /// What it has to do with the store.
    pub store_role: StoreRole,
    /// Version of its catalog; 0 when it has none.
    pub catalog_version: u64,
    /// The store's revision up to which it knows registrations.
    pub revision: u64,
    /// Work that it has under way.
    pub work: Vec<(ServerId, Work)>,
    /// What accounts asked of it and got.
    pub usage: Vec<(AccountId, AccountUsage)>,
    /// Shared prefixes that it sent to other servers than their homes since its last news.
    pub spilled: Vec<(PrefixKey, ServerId)>,
    /// Services for which requests of the told rank found no room lately, and how much work that was.
    pub unmet: Vec<(ServiceId, ShareStatus, UnmetDemand)>,
    /// Peer addresses of others that it hears.
    pub known_peers: Vec<SocketAddr>,
}

/// Asks a mate for what it knows beyond a version and a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Version of the asker's catalog.
    pub catalog_version: u64,
    /// Revision of the asker's registrations.
    pub revision: u64,
}

/// Answers a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// The catalog, if it is newer than the asker's.
    pub catalog: Option<Catalog>,
    /// All registrations, if they are newer than the asker's.
    pub registrations: Option<Vec<Change>>,
    /// Those of them that were removed while the store was away, and count for a grace only.
    pub unconfirmed: Vec<Unconfirmed>,
    /// Revision of the registrations.
    pub revision: u64,
}

/// Another instance as this one hears it.
#[derive(Debug, Clone, Copy)]
pub struct PeerState {
    /// How to reach it.
    pub info: PeerInfo,
    /// Its process run.
    pub incarnation: Incarnation,
    /// It takes requests of callers.
    pub ready: bool,
    /// It is about to stop; never taken back within a run.
    pub leaving: bool,
    /// What it has to do with the store.
    pub store_role: StoreRole,
    /// Version of its catalog.
    pub catalog_version: u64,
    /// Revision of its registrations.
    pub revision: u64,
    /// When it was last heard, itself or by a relay.
    pub last_seen: Instant,
    /// When it was last heard itself.
    pub last_direct: Option<Instant>,
    /// Silence after which it counts as gone.
    pub timeout: Duration,
}

/// What an instance's news change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerChange {
    /// It was not known in this run.
    Started,
    /// It was silent for a while.
    Returned,
    /// It is about to stop.
    Leaving,
}

/// The other instances.
#[derive(Debug, Clone)]
pub struct PeerTable {
    domain: DomainId,
    heard: BTreeMap<InstanceId, PeerState>,
    contacts: BTreeMap<SocketAddr, Instant>,
    max_seen: usize,
}

impl PeerTable {
    /// Nobody is heard yet by this instance of `domain`.
    pub const fn new(domain: DomainId) -> Self {
        Self {
            domain,
            heard: BTreeMap::new(),
            contacts: BTreeMap::new(),
            max_seen: 0,
        }
    }

    /// Takes the news of `from`; tells what they change.
    pub fn apply_report(
        &mut self,
        from: InstanceId,
        run: Incarnation,
        news: &InstanceReport,
        now: Instant,
    ) -> Option<PeerChange> {
        let far = self.is_large_fleet() && news.info.domain != self.domain;
        let heard = PeerState {
            info: news.info,
            incarnation: run,
            ready: news.ready,
            leaving: news.leaving,
            store_role: news.store_role,
            catalog_version: news.catalog_version,
            revision: news.revision,
            last_seen: now,
            last_direct: Some(now),
            timeout: if far { FAR_SILENT } else { SILENT },
        };
        for address in &news.known_peers {
            self.contacts.insert(*address, now);
        }
        self.put(from, heard, now)
    }

    /// Takes what a relay of another failure domain tells of one of its instances; tells what it changes.
    pub fn apply_member(&mut self, member: &Member, now: Instant) -> Option<PeerChange> {
        let heard = PeerState {
            info: member.info,
            incarnation: member.incarnation,
            ready: member.ready,
            leaving: member.leaving,
            store_role: member.store_role,
            catalog_version: member.catalog_version,
            revision: member.revision,
            last_seen: now,
            last_direct: self.heard.get(&member.id).and_then(|h| h.last_direct),
            timeout: FAR_SILENT,
        };
        self.put(member.id, heard, now)
    }

    /// Replaces what was known of `from`; a run that was leaving stays so.
    fn put(&mut self, from: InstanceId, mut heard: PeerState, now: Instant) -> Option<PeerChange> {
        let known = self.heard.get(&from);
        let before = known.filter(|h| h.incarnation == heard.incarnation);
        heard.leaving |= before.is_some_and(|h| h.leaving);
        let seen = match before {
            None => Some(PeerChange::Started),
            Some(before) if now.duration_since(before.last_seen) >= before.timeout => {
                Some(PeerChange::Returned)
            }
            Some(before) if heard.leaving && !before.leaving => Some(PeerChange::Leaving),
            Some(_) => None,
        };
        self.contacts.remove(&heard.info.peer_addr);
        self.heard.insert(from, heard);
        let live = self.live(now).count() + 1;
        self.max_seen = self.max_seen.max(live);
        seen
    }

    /// Tells whether the fleet is so large that failure domains tell each other sums.
    pub fn is_large_fleet(&self) -> bool {
        self.heard.len() >= SMALL_FLEET
    }

    /// Live instances of the own failure domain besides this one.
    pub fn domain_peers(&self, now: Instant) -> impl Iterator<Item = (InstanceId, &PeerState)> {
        self.live(now).filter(|(_, h)| h.info.domain == self.domain)
    }

    /// Place of instance `me` among the relays of its domain; none when it is no relay.
    pub fn relay_rank(&self, me: InstanceId, now: Instant) -> Option<usize> {
        if !self.is_large_fleet() {
            return None;
        }
        let mine = mix(self.domain.0 ^ me.0);
        let others = self.domain_peers(now).filter(|(_, h)| !h.leaving);
        let before = others
            .filter(|(id, _)| mix(self.domain.0 ^ id.0) > mine)
            .count();
        (before < RELAYS).then_some(before)
    }

    /// Whom the relay of `rank` tells in `round`: one relay of each other failure domain, by turns, so that
    /// one that is cut off hides nothing for longer than two tellings.
    pub fn relay_targets(&self, rank: usize, round: u64, now: Instant) -> Vec<SocketAddr> {
        if !(rank as u64 * RELAY_ROUNDS / 2 + round).is_multiple_of(RELAY_ROUNDS) {
            return Vec::new();
        }
        let turn = rank + (round / RELAY_ROUNDS) as usize;
        let mut domains: BTreeMap<DomainId, SmallVec<[(u64, SocketAddr); 16]>> = BTreeMap::new();
        let far = self
            .live(now)
            .filter(|(_, h)| h.info.domain != self.domain && !h.leaving);
        for (id, heard) in far {
            let domain = heard.info.domain;
            let ranked = domains.entry(domain).or_default();
            ranked.push((mix(domain.0 ^ id.0), heard.info.peer_addr));
        }
        let chosen = |mut ranked: SmallVec<[(u64, SocketAddr); 16]>| {
            ranked.sort_unstable_by(|a, b| b.cmp(a));
            ranked[turn % RELAYS.min(ranked.len())].1
        };
        domains.into_values().map(chosen).collect()
    }

    /// Tells whether `address` is that of an instance of the own failure domain.
    pub fn is_domain_peer(&self, address: SocketAddr) -> bool {
        let mut all = self.heard.values();
        all.any(|h| h.info.domain == self.domain && h.info.peer_addr == address)
    }

    /// Tells whether an instance that lives and takes requests has a newer catalog than `version`.
    pub fn has_newer_catalog(&self, version: u64, now: Instant) -> bool {
        let mut all = self.live(now).map(|(_, h)| h);
        all.any(|h| h.catalog_version > version && h.ready && !h.leaving)
    }

    /// Tells whether the instance at `address` was heard, itself or by a relay, after `since`.
    pub fn is_seen_since(&self, address: SocketAddr, since: Instant) -> bool {
        let mut all = self.heard.values();
        all.any(|h| h.info.peer_addr == address && h.last_seen > since)
    }

    /// The greatest number of instances that were heard at once, this one included.
    pub const fn max_seen(&self) -> usize {
        self.max_seen
    }

    /// Instances heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (InstanceId, &PeerState)> {
        self.heard
            .iter()
            .filter(move |(_, h)| now.duration_since(h.last_seen) < h.timeout)
            .map(|(id, h)| (*id, h))
    }

    /// Whom to ask for what is newer than `version` and `revision`: the instance with the newest
    /// catalog and the one with the newest registrations, once where both are the same.
    ///
    /// While catalogs come in quick succession, the one with the newest catalog changes all the time
    /// and may be behind in registrations; asked alone, it would hide for seconds that a server drains.
    ///
    /// One of the own failure domain goes before others that are further ahead: bytes between domains
    /// are billed, and the domain asks elsewhere as soon as none of its own knows more.
    ///
    /// Those in `mute` did not answer lately: one that was stopped right after it had told of a change
    /// counts as live for a second more, and would be asked again and again.
    pub fn sync_candidates(
        &self,
        version: u64,
        revision: u64,
        mute: &[SocketAddr],
        now: Instant,
    ) -> SmallVec<[PeerState; 2]> {
        let live = || {
            let all = self.live(now).map(|(_, h)| h);
            all.filter(|h| !mute.contains(&h.info.peer_addr))
        };
        let near = |h: &PeerState| h.info.domain == self.domain;
        let catalog = live().filter(|h| h.catalog_version > version);
        let servers = live().filter(|h| h.revision > revision);
        let mut ask: SmallVec<[PeerState; 2]> = SmallVec::new();
        ask.extend(
            servers
                .max_by_key(|h| (near(h), h.revision, h.catalog_version))
                .copied(),
        );
        if ask.first().is_none_or(|h| h.catalog_version <= version) {
            ask.extend(
                catalog
                    .max_by_key(|h| (near(h), h.catalog_version, h.revision))
                    .copied(),
            );
        }
        ask
    }

    /// Tells whether instance `me` should follow the store.
    ///
    /// In a small fleet every instance does: they are few, and each hears of a change at once. In a
    /// larger one some of each failure domain do, and the others hear from them; an instance that the
    /// store does not answer is not counted, so another one takes its part.
    pub fn should_follow_store(&self, me: InstanceId, now: Instant) -> bool {
        let others = || self.live(now).filter(|(_, h)| !h.leaving);
        if others().count() < SMALL_FLEET
            || others().all(|(_, h)| h.store_role != StoreRole::Connected)
        {
            return true;
        }
        let domain = self.domain;
        let mine = mix(domain.0 ^ me.0);
        let rivals = others()
            .filter(|(_, h)| h.info.domain == domain && h.store_role != StoreRole::Disconnected);
        rivals.filter(|(id, _)| mix(domain.0 ^ id.0) > mine).count() < READERS
    }

    /// Some instances to name to others, another part each `round`.
    pub fn peer_sample(&self, round: u64, now: Instant) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.live(now).map(|(_, h)| h.info.peer_addr).collect();
        let first = (round as usize * NAMED) % all.len().max(1);
        all.iter()
            .cycle()
            .skip(first)
            .take(NAMED.min(all.len()))
            .copied()
            .collect()
    }

    /// Whom to tell of work at once: everybody in a small fleet, the own failure domain in a larger one.
    pub fn broadcast_targets(&self, now: Instant) -> Vec<SocketAddr> {
        let large = self.is_large_fleet();
        let near = self
            .live(now)
            .filter(|(_, h)| !large || h.info.domain == self.domain);
        near.map(|(_, h)| h.info.peer_addr).collect()
    }

    /// Where to send news in `round`: everybody heard, everybody named by others, and `seeds`.
    ///
    /// In a large fleet, the other failure domains hear from relays, and only those of their instances
    /// that tell us themselves, as one does that starts, get news now and then.
    pub fn gossip_targets(
        &mut self,
        seeds: &[SocketAddr],
        round: u64,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.heard
            .retain(|_, h| now.duration_since(h.last_seen) < FORGOTTEN);
        self.contacts
            .retain(|_, at| now.duration_since(*at) < FORGOTTEN);
        let large = self.is_large_fleet();
        let due = |id: &InstanceId, h: &PeerState| {
            let direct = h
                .last_direct
                .is_some_and(|at| now.duration_since(at) < DIRECT);
            !large
                || h.info.domain == self.domain
                || (direct && (id.0 ^ round).is_multiple_of(FAR_ROUNDS))
        };
        let heard = self.heard.iter().filter(|(id, h)| due(id, h));
        let mut all: Vec<SocketAddr> = heard.map(|(_, h)| h.info.peer_addr).collect();
        if !large || round.is_multiple_of(FAR_ROUNDS) {
            all.extend(self.contacts.keys());
            all.extend(seeds);
        }
        all.sort_unstable();
        all.dedup();
        all
    }
}
