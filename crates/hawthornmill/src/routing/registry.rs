//! Backend servers as they have registered themselves.
//!
//! Entries come from the platform's store, read here or by a peer, each with the store's revision.
//! A newer revision of an entry replaces an older one whatever the order of arrival. An entry that
//! is missing after the store was away is kept for a short grace: servers register anew within
//! about two seconds of its return, and dropping all of them meanwhile would refuse every request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::departures::Departure;
use crate::ident::{DomainId, ServerId, ServiceId};

/// Time for which an entry that was lost while the store was away still counts.
///
/// The platform promises that a live server's entry is back within about two seconds.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);
/// Time for which the revision of a removed entry is remembered, so that a late copy can't revive it.
const REMEMBER_GONE: Duration = Duration::from_mins(2);

/// What a server says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of this run of the server.
    pub name: Box<str>,
    /// Service that it offers.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It takes no new work.
    pub draining: bool,
    /// Start of the run in milliseconds of Unix time; 0 where it isn't said.
    pub start_ms: u64,
}

/// One change of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Entry that changed.
    pub server: ServerId,
    /// The store's revision of the change.
    pub revision: u64,
    /// The entry now; none when it was removed or can't be used.
    pub registration: Option<Registration>,
}

impl Change {
    /// The word that the server leaves, if the change says so.
    pub fn departure(&self) -> Option<Departure> {
        let leaves = self.registration.as_ref().is_none_or(|e| e.draining);
        leaves.then_some(Departure {
            server: self.server,
            revision: self.revision,
        })
    }
}

/// An entry that was found missing after the store was away, and counts for a grace only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unconfirmed {
    /// The entry.
    pub server: ServerId,
    /// What is left of its grace.
    pub remaining: Duration,
}

/// A whole list of entries.
#[derive(Debug, Clone)]
pub struct RegistrationList {
    /// The entries.
    pub entries: Vec<Change>,
    /// Those of them that whoever made the list doubts.
    pub unconfirmed: Vec<Unconfirmed>,
    /// The store's revision of the list.
    pub revision: u64,
    /// The store was out of reach before, so that live servers may be missing.
    pub after_outage: bool,
}

/// An entry in force.
#[derive(Debug, Clone)]
pub struct RegistryEntry {
    /// What the server said last.
    pub registration: Registration,
    /// The store's revision of that.
    pub revision: u64,
    /// Set when the entry was found missing after the store was away: when it ceases to count.
    pub expires_at: Option<Instant>,
}

/// Every registration that this instance knows of.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    known: BTreeMap<ServerId, RegistryEntry>,
    gone: BTreeMap<ServerId, (u64, Instant)>,
    /// Revision of the store up to which changes are known.
    revision: u64,
    /// Revision of the newest change of any entry.
    latest_revision: u64,
    /// Servers that are gone or have started anew since [`Self::take_lost`] was last asked.
    lost: Vec<ServerId>,
}

impl Registry {
    /// Revision of the store up to which changes are known; 0 before the first list.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the newest change of any entry, removals included.
    pub const fn latest_revision(&self) -> u64 {
        self.latest_revision
    }

    /// Entries in force.
    pub fn entries(&self) -> impl Iterator<Item = (ServerId, &RegistryEntry)> {
        self.known.iter().map(|(id, known)| (*id, known))
    }

    /// An entry in force.
    pub fn get(&self, id: ServerId) -> Option<&RegistryEntry> {
        self.known.get(&id)
    }

    /// Takes one change; false when it is older than what is known.
    pub fn apply(&mut self, change: Change, now: Instant) -> bool {
        let known = self.known.get(&change.server).map_or(0, |k| k.revision);
        let gone = self.gone.get(&change.server).map_or(0, |(r, _)| *r);
        if change.revision <= known.max(gone) {
            return false;
        }
        self.latest_revision = self.latest_revision.max(change.revision);
        let before = self
            .known
            .get(&change.server)
            .map(|k| k.registration.start_ms);
        let after = change.registration.as_ref().map(|e| e.start_ms);
        if before.is_some() && before != after {
            self.lost.push(change.server);
        }
        if let Some(entry) = change.registration {
            self.gone.remove(&change.server);
            let known = RegistryEntry {
                registration: entry,
                revision: change.revision,
                expires_at: None,
            };
            self.known.insert(change.server, known);
        } else {
            self.known.remove(&change.server);
            self.gone.insert(change.server, (change.revision, now));
        }
        true
    }

    /// Another instance knows that a server leaves: it takes no new work; false when that, or newer, is known here.
    ///
    /// The entry stays as it is known otherwise, until its own change comes.
    pub fn mark_draining(&mut self, leaving: Departure) -> bool {
        let known = self.known.get_mut(&leaving.server);
        let Some(known) = known.filter(|k| k.revision < leaving.revision) else {
            return false;
        };
        !std::mem::replace(&mut known.registration.draining, true)
    }

    /// Changes up to `revision` have been taken.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes a whole list; entries that it lacks are gone, at once or after a grace.
    ///
    /// A list that is older than what is known says nothing of missing entries.
    pub fn replace_all(&mut self, list: RegistrationList, now: Instant) {
        let RegistrationList {
            entries,
            unconfirmed: doubted,
            revision,
            after_outage: away,
        } = list;
        if self.revision == 0 {
            // Removals before the first list are in it by their absence.
            self.latest_revision = self
                .latest_revision
                .max(entries.iter().map(|c| c.revision).max().unwrap_or(0));
        }
        let stale = revision < self.revision;
        let listed: Vec<ServerId> = entries.iter().map(|c| c.server).collect();
        for change in entries {
            if doubted.iter().all(|d| d.server != change.server) {
                self.confirm(change.server);
            }
            self.apply(change, now);
        }
        for doubt in doubted {
            self.doubt(doubt, now);
        }
        if stale {
            return;
        }
        let missing: Vec<ServerId> = self
            .known
            .iter()
            .filter(|(id, known)| !listed.contains(id) && known.revision <= revision)
            .map(|(id, _)| *id)
            .collect();
        if !missing.is_empty() {
            // No change of an entry tells others of these removals.
            self.latest_revision = self.latest_revision.max(revision);
        }
        for server in missing {
            if away {
                self.mark_unconfirmed(server, revision, now);
            } else {
                self.remove(server, revision, now);
            }
        }
        self.advance(revision);
    }

    /// Servers that are gone or have started anew, and so keep nothing of what they had read.
    pub fn take_lost_caches(&mut self) -> Vec<ServerId> {
        std::mem::take(&mut self.lost)
    }

    /// Entries that count for a grace only, and what is left of it at `now`.
    pub fn unconfirmed(&self, now: Instant) -> Vec<Unconfirmed> {
        let doubt = |(server, known): (&ServerId, &RegistryEntry)| {
            let left = known.expires_at?.saturating_duration_since(now);
            Some(Unconfirmed {
                server: *server,
                remaining: left,
            })
        };
        self.known.iter().filter_map(doubt).collect()
    }

    /// Changes up to `revision` were taken from another instance's list, removals included.
    ///
    /// A list names no removals. Without this, an instance that was told of one would seem to be behind
    /// for ever and ask for the whole list again and again.
    pub fn advance_latest(&mut self, revision: u64) {
        self.latest_revision = self.latest_revision.max(revision);
    }

    /// Entries whose grace is over are removed.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerId> {
        let over = |k: &RegistryEntry| k.expires_at.is_some_and(|until| until <= now);
        let ids: Vec<ServerId> = self
            .known
            .iter()
            .filter(|(_, known)| over(known))
            .map(|(id, _)| *id)
            .collect();
        for id in &ids {
            self.remove(*id, self.revision, now);
        }
        self.gone
            .retain(|_, (_, at)| now.duration_since(*at) < REMEMBER_GONE);
        ids
    }

    /// Every entry, for a peer that knows less.
    pub fn snapshot(&self) -> Vec<Change> {
        self.known
            .iter()
            .map(|(id, known)| Change {
                server: *id,
                revision: known.revision,
                registration: Some(known.registration.clone()),
            })
            .collect()
    }

    /// An entry was removed at `revision`, maybe since the store was away: it counts until a new grace is over.
    ///
    /// The revision is told to others as that of any change, so that they come to doubt the entry too.
    pub fn mark_unconfirmed(&mut self, server: ServerId, revision: u64, now: Instant) {
        let left = REREGISTRATION_GRACE;
        self.doubt(
            Unconfirmed {
                server,
                remaining: left,
            },
            now,
        );
        self.latest_revision = self.latest_revision.max(revision);
    }

    /// Takes another instance's doubt, with what is left of its grace; one that runs here isn't prolonged.
    fn doubt(&mut self, doubt: Unconfirmed, now: Instant) {
        if let Some(known) = self.known.get_mut(&doubt.server) {
            let until = now + doubt.remaining;
            known.expires_at = Some(known.expires_at.map_or(until, |u| u.min(until)));
        }
    }

    fn confirm(&mut self, id: ServerId) {
        if let Some(known) = self.known.get_mut(&id) {
            known.expires_at = None;
        }
    }

    fn remove(&mut self, id: ServerId, revision: u64, now: Instant) {
        if let Some(known) = self.known.remove(&id) {
            self.gone.insert(id, (revision.max(known.revision), now));
            self.lost.push(id);
        }
    }
}
