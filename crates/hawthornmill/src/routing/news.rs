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
use super::digest::Member;
use super::loads::Work;
use super::registry::{Change, Doubt};
use super::shape::PrefixKey;
use super::usage::{Standing, Sums};
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
pub struct Mate {
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other instances send news and ask.
    pub peer: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

/// What an instance has to do with the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Reading {
    /// Others read for it.
    #[default]
    Idle,
    /// It reads, and the store answers it.
    Answered,
    /// It reads, and the store does not answer it.
    Lost,
}

/// How much work of one standing found no room lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Lack {
    /// Instances at which it found none.
    pub places: u16,
    /// Its cost in tokens, as it counts now.
    pub cost: u32,
}

impl Lack {
    /// Counts `other` too.
    pub const fn add(&mut self, other: Self) {
        self.places = self.places.saturating_add(other.places);
        self.cost = self.cost.saturating_add(other.cost);
    }
}

/// One instance's news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// How to reach the teller.
    pub mate: Mate,
    /// It takes requests of callers.
    pub ready: bool,
    /// It is about to stop.
    pub leaving: bool,
    /// What it has to do with the store.
    pub reading: Reading,
    /// Version of its catalog; 0 when it has none.
    pub version: u64,
    /// The store's revision up to which it knows registrations.
    pub revision: u64,
    /// Work that it has under way.
    pub work: Vec<(ServerId, Work)>,
    /// What accounts asked of it and got.
    pub usage: Vec<(AccountId, Sums)>,
    /// Shared prefixes that it sent to other servers than their homes since its last news.
    pub strays: Vec<(PrefixKey, ServerId)>,
    /// Services for which requests of the told rank found no room lately, and how much work that was.
    pub short: Vec<(ServiceId, Standing, Lack)>,
    /// Peer addresses of others that it hears.
    pub others: Vec<SocketAddr>,
}

/// Asks a mate for what it knows beyond a version and a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Version of the asker's catalog.
    pub version: u64,
    /// Revision of the asker's registrations.
    pub revision: u64,
}

/// Answers a [`Pull`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Knowledge {
    /// The catalog, if it is newer than the asker's.
    pub catalog: Option<Catalog>,
    /// All registrations, if they are newer than the asker's.
    pub servers: Option<Vec<Change>>,
    /// Those of them that were removed while the store was away, and count for a grace only.
    pub doubted: Vec<Doubt>,
    /// Revision of the registrations.
    pub revision: u64,
}

/// Another instance as this one hears it.
#[derive(Debug, Clone, Copy)]
pub struct Heard {
    /// How to reach it.
    pub mate: Mate,
    /// Its process run.
    pub incarnation: Incarnation,
    /// It takes requests of callers.
    pub ready: bool,
    /// It is about to stop; never taken back within a run.
    pub leaving: bool,
    /// What it has to do with the store.
    pub reading: Reading,
    /// Version of its catalog.
    pub version: u64,
    /// Revision of its registrations.
    pub revision: u64,
    /// When it was last heard, itself or by a relay.
    pub at: Instant,
    /// When it was last heard itself.
    pub direct: Option<Instant>,
    /// Silence after which it counts as gone.
    pub patience: Duration,
}

/// What an instance's news change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// It was not known in this run.
    Started,
    /// It was silent for a while.
    Returned,
    /// It is about to stop.
    Leaving,
}

/// The other instances.
#[derive(Debug, Clone)]
pub struct Mates {
    domain: DomainId,
    heard: BTreeMap<InstanceId, Heard>,
    contacts: BTreeMap<SocketAddr, Instant>,
    most: usize,
}

impl Mates {
    /// Nobody is heard yet by this instance of `domain`.
    pub const fn new(domain: DomainId) -> Self {
        Self {
            domain,
            heard: BTreeMap::new(),
            contacts: BTreeMap::new(),
            most: 0,
        }
    }

    /// Takes the news of `from`; tells what they change.
    pub fn hear(
        &mut self,
        from: InstanceId,
        run: Incarnation,
        news: &News,
        now: Instant,
    ) -> Option<Seen> {
        let far = self.is_large() && news.mate.domain != self.domain;
        let heard = Heard {
            mate: news.mate,
            incarnation: run,
            ready: news.ready,
            leaving: news.leaving,
            reading: news.reading,
            version: news.version,
            revision: news.revision,
            at: now,
            direct: Some(now),
            patience: if far { FAR_SILENT } else { SILENT },
        };
        for address in &news.others {
            self.contacts.insert(*address, now);
        }
        self.put(from, heard, now)
    }

    /// Takes what a relay of another failure domain tells of one of its instances; tells what it changes.
    pub fn hear_member(&mut self, member: &Member, now: Instant) -> Option<Seen> {
        let heard = Heard {
            mate: member.mate,
            incarnation: member.run,
            ready: member.ready,
            leaving: member.leaving,
            reading: member.reading,
            version: member.version,
            revision: member.revision,
            at: now,
            direct: self.heard.get(&member.id).and_then(|h| h.direct),
            patience: FAR_SILENT,
        };
        self.put(member.id, heard, now)
    }

    /// Replaces what was known of `from`; a run that was leaving stays so.
    fn put(&mut self, from: InstanceId, mut heard: Heard, now: Instant) -> Option<Seen> {
        let known = self.heard.get(&from);
        let before = known.filter(|h| h.incarnation == heard.incarnation);
        heard.leaving |= before.is_some_and(|h| h.leaving);
        let seen = match before {
            None => Some(Seen::Started),
            Some(before) if now.duration_since(before.at) >= before.patience => {
                Some(Seen::Returned)
            }
            Some(before) if heard.leaving && !before.leaving => Some(Seen::Leaving),
            Some(_) => None,
        };
        self.contacts.remove(&heard.mate.peer);
        self.heard.insert(from, heard);
        let live = self.live(now).count() + 1;
        self.most = self.most.max(live);
        seen
    }

    /// Tells whether the fleet is so large that failure domains tell each other sums.
    pub fn is_large(&self) -> bool {
        self.heard.len() >= SMALL_FLEET
    }

    /// Live instances of the own failure domain besides this one.
    pub fn domain_mates(&self, now: Instant) -> impl Iterator<Item = (InstanceId, &Heard)> {
        self.live(now).filter(|(_, h)| h.mate.domain == self.domain)
    }

    /// Place of instance `me` among the relays of its domain; none when it is no relay.
    pub fn relay_rank(&self, me: InstanceId, now: Instant) -> Option<usize> {
        if !self.is_large() {
            return None;
        }
        let mine = mix(self.domain.0 ^ me.0);
        let others = self.domain_mates(now).filter(|(_, h)| !h.leaving);
        let before = others
            .filter(|(id, _)| mix(self.domain.0 ^ id.0) > mine)
            .count();
        (before < RELAYS).then_some(before)
    }

    /// Whom the relay of `rank` tells in `round`: one relay of each other failure domain, by turns, so that
    /// one that is cut off hides nothing for longer than two tellings.
    pub fn relays(&self, rank: usize, round: u64, now: Instant) -> Vec<SocketAddr> {
        if !(rank as u64 * RELAY_ROUNDS / 2 + round).is_multiple_of(RELAY_ROUNDS) {
            return Vec::new();
        }
        let turn = rank + (round / RELAY_ROUNDS) as usize;
        let mut domains: BTreeMap<DomainId, SmallVec<[(u64, SocketAddr); 16]>> = BTreeMap::new();
        let far = self
            .live(now)
            .filter(|(_, h)| h.mate.domain != self.domain && !h.leaving);
        for (id, heard) in far {
            let domain = heard.mate.domain;
            let ranked = domains.entry(domain).or_default();
            ranked.push((mix(domain.0 ^ id.0), heard.mate.peer));
        }
        let chosen = |mut ranked: SmallVec<[(u64, SocketAddr); 16]>| {
            ranked.sort_unstable_by(|a, b| b.cmp(a));
            ranked[turn % RELAYS.min(ranked.len())].1
        };
        domains.into_values().map(chosen).collect()
    }

    /// Tells whether `address` is that of an instance of the own failure domain.
    pub fn is_domain_mate(&self, address: SocketAddr) -> bool {
        let mut all = self.heard.values();
        all.any(|h| h.mate.domain == self.domain && h.mate.peer == address)
    }

    /// Tells whether an instance that lives and takes requests has a newer catalog than `version`.
    pub fn has_newer(&self, version: u64, now: Instant) -> bool {
        let mut all = self.live(now).map(|(_, h)| h);
        all.any(|h| h.version > version && h.ready && !h.leaving)
    }

    /// Tells whether the instance at `address` was heard, itself or by a relay, after `since`.
    pub fn is_heard_since(&self, address: SocketAddr, since: Instant) -> bool {
        let mut all = self.heard.values();
        all.any(|h| h.mate.peer == address && h.at > since)
    }

    /// The greatest number of instances that were heard at once, this one included.
    pub const fn most(&self) -> usize {
        self.most
    }

    /// Instances heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (InstanceId, &Heard)> {
        self.heard
            .iter()
            .filter(move |(_, h)| now.duration_since(h.at) < h.patience)
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
    pub fn ahead(
        &self,
        version: u64,
        revision: u64,
        mute: &[SocketAddr],
        now: Instant,
    ) -> SmallVec<[Heard; 2]> {
        let live = || {
            let all = self.live(now).map(|(_, h)| h);
            all.filter(|h| !mute.contains(&h.mate.peer))
        };
        let near = |h: &Heard| h.mate.domain == self.domain;
        let catalog = live().filter(|h| h.version > version);
        let servers = live().filter(|h| h.revision > revision);
        let mut ask: SmallVec<[Heard; 2]> = SmallVec::new();
        ask.extend(
            servers
                .max_by_key(|h| (near(h), h.revision, h.version))
                .copied(),
        );
        if ask.first().is_none_or(|h| h.version <= version) {
            ask.extend(
                catalog
                    .max_by_key(|h| (near(h), h.version, h.revision))
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
    pub fn should_read(&self, me: InstanceId, now: Instant) -> bool {
        let others = || self.live(now).filter(|(_, h)| !h.leaving);
        if others().count() < SMALL_FLEET || others().all(|(_, h)| h.reading != Reading::Answered) {
            return true;
        }
        let domain = self.domain;
        let mine = mix(domain.0 ^ me.0);
        let rivals =
            others().filter(|(_, h)| h.mate.domain == domain && h.reading != Reading::Lost);
        rivals.filter(|(id, _)| mix(domain.0 ^ id.0) > mine).count() < READERS
    }

    /// Some instances to name to others, another part each `round`.
    pub fn named(&self, round: u64, now: Instant) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.live(now).map(|(_, h)| h.mate.peer).collect();
        let first = (round as usize * NAMED) % all.len().max(1);
        all.iter()
            .cycle()
            .skip(first)
            .take(NAMED.min(all.len()))
            .copied()
            .collect()
    }

    /// Whom to tell of work at once: everybody in a small fleet, the own failure domain in a larger one.
    pub fn near(&self, now: Instant) -> Vec<SocketAddr> {
        let large = self.is_large();
        let near = self
            .live(now)
            .filter(|(_, h)| !large || h.mate.domain == self.domain);
        near.map(|(_, h)| h.mate.peer).collect()
    }

    /// Where to send news in `round`: everybody heard, everybody named by others, and `seeds`.
    ///
    /// In a large fleet, the other failure domains hear from relays, and only those of their instances
    /// that tell us themselves, as one does that starts, get news now and then.
    pub fn targets(&mut self, seeds: &[SocketAddr], round: u64, now: Instant) -> Vec<SocketAddr> {
        self.heard
            .retain(|_, h| now.duration_since(h.at) < FORGOTTEN);
        self.contacts
            .retain(|_, at| now.duration_since(*at) < FORGOTTEN);
        let large = self.is_large();
        let due = |id: &InstanceId, h: &Heard| {
            let direct = h.direct.is_some_and(|at| now.duration_since(at) < DIRECT);
            !large
                || h.mate.domain == self.domain
                || (direct && (id.0 ^ round).is_multiple_of(FAR_ROUNDS))
        };
        let heard = self.heard.iter().filter(|(id, h)| due(id, h));
        let mut all: Vec<SocketAddr> = heard.map(|(_, h)| h.mate.peer).collect();
        if !large || round.is_multiple_of(FAR_ROUNDS) {
            all.extend(self.contacts.keys());
            all.extend(seeds);
        }
        all.sort_unstable();
        all.dedup();
        all
    }
}
