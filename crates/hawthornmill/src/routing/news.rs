//! What instances of the gateway tell each other.
//!
//! Each instance sends its news to the others several times a second over UDP: a lost one costs a
//! fraction of a second of accuracy. Whoever hears of a newer catalog or store revision than its own
//! asks the teller for it over TCP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::catalog::Catalog;
use super::loads::Work;
use super::registry::Change;
use super::shape::PrefixKey;
use super::usage::{Standing, Sums};
use crate::ident::{AccountId, DomainId, Incarnation, InstanceId, ServerId, ServiceId};

/// Silence after which an instance is no longer named to callers; about six lost news.
const SILENT: Duration = Duration::from_millis(1_300);
/// Silence after which an instance is forgotten.
const FORGOTTEN: Duration = Duration::from_mins(1);
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

/// One instance's news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// How to reach the teller.
    pub mate: Mate,
    /// It takes requests of callers.
    pub ready: bool,
    /// It is about to stop.
    pub leaving: bool,
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
    /// Services for which requests of the told rank found no room lately.
    pub short: Vec<(ServiceId, Standing)>,
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
    /// Version of its catalog.
    pub version: u64,
    /// Revision of its registrations.
    pub revision: u64,
    /// When it was last heard.
    pub at: Instant,
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
#[derive(Debug, Clone, Default)]
pub struct Mates {
    heard: BTreeMap<InstanceId, Heard>,
    contacts: BTreeMap<SocketAddr, Instant>,
    most: usize,
}

impl Mates {
    /// Takes the news of `from`; tells what they change.
    pub fn hear(
        &mut self,
        from: InstanceId,
        run: Incarnation,
        news: &News,
        now: Instant,
    ) -> Option<Seen> {
        let before = self.heard.get(&from).filter(|h| h.incarnation == run);
        let leaving = news.leaving || before.is_some_and(|h| h.leaving);
        let seen = match before {
            None => Some(Seen::Started),
            Some(before) if now.duration_since(before.at) >= SILENT => Some(Seen::Returned),
            Some(before) if leaving && !before.leaving => Some(Seen::Leaving),
            Some(_) => None,
        };
        let heard = Heard {
            mate: news.mate,
            incarnation: run,
            ready: news.ready,
            leaving,
            version: news.version,
            revision: news.revision,
            at: now,
        };
        self.heard.insert(from, heard);
        for address in &news.others {
            self.contacts.insert(*address, now);
        }
        self.contacts.remove(&news.mate.peer);
        let live = self.live(now).count() + 1;
        self.most = self.most.max(live);
        seen
    }

    /// The greatest number of instances that were heard at once, this one included.
    pub const fn most(&self) -> usize {
        self.most
    }

    /// Instances heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (InstanceId, &Heard)> {
        self.heard
            .iter()
            .filter(move |(_, h)| now.duration_since(h.at) < SILENT)
            .map(|(id, h)| (*id, h))
    }

    /// The instance with the newest knowledge beyond `version` and `revision`.
    pub fn ahead(&self, version: u64, revision: u64, now: Instant) -> Option<&Heard> {
        let live = self.live(now).map(|(_, h)| h);
        live.filter(|h| h.version > version || h.revision > revision)
            .max_by_key(|h| (h.version, h.revision))
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

    /// Where to send news: everybody heard, everybody named by others, and `seeds`.
    pub fn targets(&mut self, seeds: &[SocketAddr], now: Instant) -> Vec<SocketAddr> {
        self.heard
            .retain(|_, h| now.duration_since(h.at) < FORGOTTEN);
        self.contacts
            .retain(|_, at| now.duration_since(*at) < FORGOTTEN);
        let mut all: Vec<SocketAddr> = self.heard.values().map(|h| h.mate.peer).collect();
        all.extend(self.contacts.keys());
        all.extend(seeds);
        all.sort_unstable();
        all.dedup();
        all
    }
}
