//! Registry of backend servers as they registered themselves.
//!
//! Entries come from the platform's store, read by this instance or by a peer, each with the store's revision. A newer
//! revision of an entry replaces an older one whatever their order of arrival. An entry that is missing after an outage of
//! the store is kept for a short grace period: servers register again within about two seconds of the store's return, and
//! dropping all of them meanwhile would refuse every request.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::announcements::Departure;
use super::change_times::{ListTime, ReadTime};
use super::store_history::{HistoryDates, StoreHistory, past_of};
use super::version_history::{Capacities, HISTORY_TIME, ReadyServer, VersionHistory, add_slots};
use crate::ident::{DomainId, ServerId, ServiceId, VersionId};

/// Grace period of an entry that was lost during an outage of the store.
///
/// The platform guarantees that a live server's entry is back within about two seconds.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);
/// Time for which the revision of a removed entry is kept, so that a late copy can't restore the entry.
const TOMBSTONE_TTL: Duration = Duration::from_mins(2);

/// One run of a server, which may start again under the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerRun {
    /// The server.
    pub server: ServerId,
    /// Start of the run in milliseconds of Unix time, as its registration gives it; 0 when not given.
    pub start_ms: u64,
}

/// Registration of a server, as it published it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of this run of the server.
    pub name: Box<str>,
    /// Service that it provides.
    pub service: ServiceId,
    /// Version of its software.
    pub version: VersionId,
    /// The same as the server names it, for logs.
    pub version_name: Box<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// It accepts no new work.
    pub draining: bool,
    /// Start of the run in milliseconds of Unix time; 0 when not given.
    pub start_ms: u64,
    /// Time for which it stays cold; zero when it is warm.
    pub cold_time: Duration,
    /// Number of the run's report by which it was written, from 1; 0 when not known, as from a peer.
    #[serde(skip)]
    pub sequence: u64,
}

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Server whose entry changed.
    pub server: ServerId,
    /// The store's revision of the change.
    pub revision: u64,
    /// The new registration; `None` when it was removed or is unreadable.
    pub registration: Option<Registration>,
}

impl Change {
    /// Returns the departure of the server, if the change announces one.
    pub fn departure(&self) -> Option<Departure> {
        let leaving = self.registration.as_ref().is_none_or(|e| e.draining);
        leaving.then_some(Departure {
            server: self.server,
            revision: self.revision,
        })
    }
}

/// An entry that was missing after an outage of the store and counts for a grace period only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unconfirmed {
    /// Server of the entry.
    pub server: ServerId,
    /// Remaining grace period.
    pub remaining: Duration,
}

/// A list of all entries.
#[derive(Debug, Clone)]
pub struct RegistrationList {
    /// The entries.
    pub entries: Vec<Change>,
    /// Entries that are unconfirmed for the sender of the list.
    pub unconfirmed: Vec<Unconfirmed>,
    /// The store's revision of the list.
    pub revision: u64,
    /// The store was unreachable before, so that live servers may be missing.
    pub after_outage: bool,
    /// When the store was asked for it; `None` where another instance sent it.
    pub asked_at: Option<Instant>,
}

/// A current entry.
#[derive(Debug, Clone)]
pub struct RegistryEntry {
    /// Latest registration of the server.
    pub registration: Registration,
    /// The store's revision of the registration.
    pub revision: u64,
    /// When this instance got the registration.
    pub arrival: Instant,
    /// End of the grace period; set while the entry is unconfirmed.
    pub expires_at: Option<Instant>,
}

/// A version that a server of a service had.
#[derive(Debug, Clone)]
struct LeftVersion {
    name: Box<str>,
    /// When the last server left it.
    left_at: Instant,
}

/// A version that servers of a service have or had lately.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenVersion {
    /// The version.
    pub version: VersionId,
    /// The same as its servers name it.
    pub name: Box<str>,
    /// Time since a server had it; zero while one has it.
    pub last_seen: Duration,
}

/// A server that has turned cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnedCold {
    /// The server.
    pub server: ServerId,
    /// It may have got requests just before: it has neither started since nor been evacuated.
    pub was_used: bool,
}

/// All registrations that this instance knows.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    entries: BTreeMap<ServerId, RegistryEntry>,
    tombstones: BTreeMap<ServerId, (u64, Instant)>,
    /// Revision of the store up to which changes are known.
    revision: u64,
    /// Revision of the newest change of any entry.
    latest_revision: u64,
    /// Cold servers, each with the end of that.
    cold: BTreeMap<ServerId, Instant>,
    /// Servers that turned cold since the last [`Self::take_turned_cold`].
    turned_cold: Vec<TurnedCold>,
    /// Versions of services that a server had.
    left_versions: BTreeMap<(ServiceId, VersionId), LeftVersion>,
    versions: VersionHistory,
    /// Servers whose entries were removed and count for a grace period only.
    unconfirmed: BTreeSet<ServerId>,
    /// The list that was applied last after changes that this instance didn't see.
    gap_list: Option<ListTime>,
    /// Servers that were removed or restarted since the last [`Self::take_lost_caches`].
    lost_caches: Vec<ServerId>,
    /// Until when live servers may be missing, because the first list was read after an outage of the store.
    incomplete_until: Option<Instant>,
}

impl Registry {
    /// Returns the store's revision up to which changes are known; 0 before the first list.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the newest change of any entry, including removals.
    pub const fn latest_revision(&self) -> u64 {
        self.latest_revision
    }

    /// Returns the current entries.
    pub fn entries(&self) -> impl Iterator<Item = (ServerId, &RegistryEntry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// Returns the current entry of a server.
    pub fn get(&self, id: ServerId) -> Option<&RegistryEntry> {
        self.entries.get(&id)
    }

    /// Applies one change; returns false when it is older than the current entry.
    pub fn apply(&mut self, change: Change, now: Instant) -> bool {
        let current = self.entries.get(&change.server).map_or(0, |e| e.revision);
        let tombstone = self.tombstones.get(&change.server).map_or(0, |(r, _)| *r);
        if change.revision <= current.max(tombstone) {
            return false;
        }
        self.latest_revision = self.latest_revision.max(change.revision);
        let ready = change.registration.as_ref().and_then(ReadyServer::of);
        self.versions.set(change.server, ready, now);
        self.unconfirmed.remove(&change.server);
        self.record_left_version(change.server, now);
        let old_start = self
            .entries
            .get(&change.server)
            .map(|e| e.registration.start_ms);
        let new_start = change.registration.as_ref().map(|e| e.start_ms);
        if old_start.is_some() && old_start != new_start {
            self.lost_caches.push(change.server);
            self.cold.remove(&change.server);
        }
        if let Some(registration) = change.registration {
            let was_used = old_start == new_start;
            self.mark_cold(change.server, registration.cold_time, was_used, now);
            self.tombstones.remove(&change.server);
            let entry = RegistryEntry {
                registration,
                revision: change.revision,
                arrival: now,
                expires_at: None,
            };
            self.entries.insert(change.server, entry);
        } else {
            self.entries.remove(&change.server);
            self.cold.remove(&change.server);
            self.tombstones
                .insert(change.server, (change.revision, now));
        }
        true
    }

    /// Records the version that a server has until now, before its entry changes.
    fn record_left_version(&mut self, server: ServerId, now: Instant) {
        if let Some(entry) = self.entries.get(&server) {
            let of = (entry.registration.service, entry.registration.version);
            let left = LeftVersion {
                name: entry.registration.version_name.clone(),
                left_at: now,
            };
            self.left_versions.insert(of, left);
        }
    }

    /// Returns the versions of the servers over the last minutes.
    pub const fn versions(&self) -> &VersionHistory {
        &self.versions
    }

    /// Returns the slots of a service by version among which a new stream's is chosen.
    ///
    /// Servers whose entries were removed count only where no others are left. `None` where all servers have one version.
    pub fn choice(&self, service: ServiceId) -> Option<Capacities> {
        let current = self.versions.current(service);
        if self.unconfirmed.is_empty() {
            return (current.len() > 1).then(|| current.into());
        }
        if !current.is_empty() {
            return Some(current.into());
        }
        let mut removed = Capacities::new();
        for entry in self
            .unconfirmed
            .iter()
            .filter_map(|id| self.entries.get(id))
        {
            let server = ReadyServer::of(&entry.registration);
            if let Some(server) = server.filter(|s| s.service == service) {
                add_slots(&mut removed, server.version, server.slots);
            }
        }
        (removed.len() > 1).then_some(removed)
    }

    /// Adds what the store's history says about the time before; returns false when it doesn't fit what this instance knows.
    pub fn learn_past(&mut self, history: &StoreHistory, read: ReadTime) -> bool {
        let Some(list) = self.gap_list else {
            return false;
        };
        let told: BTreeSet<ServerId> = history.changes.iter().map(|c| c.server).collect();
        let entries = self.entries.iter().map(|(id, e)| (*id, e.revision));
        let removed = self.tombstones.iter().map(|(id, (r, _))| (*id, *r));
        // A list that lacks an entry gives its own revision to the removal.
        let removed = removed.filter(|(_, revision)| *revision > history.revision);
        let is_untold =
            |(id, revision): (ServerId, u64)| revision > history.floor && !told.contains(&id);
        if entries.chain(removed).any(is_untold) {
            return false;
        }
        let entries = self.entries.iter();
        let entries = entries.map(|(id, e)| (*id, &e.registration));
        for past in past_of(history, entries, list, read) {
            self.versions.add_past(past);
        }
        true
    }

    /// Returns by when the revisions of the store's history were written; `None` before the first list.
    pub fn date_past(&self, history: &StoreHistory, read: ReadTime) -> Option<HistoryDates> {
        let entries = self.entries.iter();
        let entries = entries.map(|(id, e)| (*id, &e.registration));
        Some(HistoryDates::of(history, entries, self.gap_list?, read))
    }

    /// Returns the numbers of versions that left, and of services of which versions are remembered.
    pub fn remembered(&self) -> (usize, usize) {
        (self.left_versions.len(), self.versions.service_count())
    }

    /// Returns the versions that servers of a service have, and had since this process started.
    pub fn seen_versions(&self, service: ServiceId, now: Instant) -> Vec<SeenVersion> {
        let left = self
            .left_versions
            .iter()
            .filter(|((s, _), _)| *s == service);
        let left = left.map(|((_, version), left)| SeenVersion {
            version: *version,
            name: left.name.clone(),
            last_seen: now.duration_since(left.left_at),
        });
        let current = self.entries.values().map(|e| &e.registration);
        let current = current.filter(|r| r.service == service);
        let current = current.map(|r| SeenVersion {
            version: r.version,
            name: r.version_name.clone(),
            last_seen: Duration::ZERO,
        });
        let all = left.chain(current).map(|seen| (seen.version, seen));
        all.collect::<BTreeMap<_, _>>().into_values().collect()
    }

    /// Marks a server that another instance knows to leave as draining; returns false when nothing changed.
    ///
    /// The entry stays otherwise unchanged until its own change arrives.
    pub fn mark_draining(&mut self, departure: Departure, now: Instant) -> bool {
        let entry = self.entries.get_mut(&departure.server);
        let Some(entry) = entry.filter(|e| e.revision < departure.revision) else {
            return false;
        };
        self.versions.set(departure.server, None, now);
        !std::mem::replace(&mut entry.registration.draining, true)
    }

    /// Records that a server stays cold for `time`, or longer if more is known already.
    ///
    /// `was_used` tells whether it may have got requests just before.
    pub fn mark_cold(&mut self, server: ServerId, time: Duration, was_used: bool, now: Instant) {
        if time.is_zero() {
            return;
        }
        if self.cold_time(server, now).is_zero() {
            self.turned_cold.push(TurnedCold { server, was_used });
        }
        let until = self.cold.entry(server).or_insert(now + time);
        *until = (*until).max(now + time);
    }

    /// Returns the servers that have turned cold, and clears the list.
    pub fn take_turned_cold(&mut self) -> Vec<TurnedCold> {
        std::mem::take(&mut self.turned_cold)
    }

    /// Returns the time for which a server stays cold; zero when it is warm.
    pub fn cold_time(&self, server: ServerId, now: Instant) -> Duration {
        let until = self.cold.get(&server);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the cold servers.
    pub fn cold_servers(&self, now: Instant) -> impl Iterator<Item = (ServerId, &RegistryEntry)> {
        let cold = self.cold.iter().filter(move |(_, until)| now < **until);
        cold.filter_map(|(id, _)| Some((*id, self.entries.get(id)?)))
    }

    /// Forgets servers that are cold no longer, and returns them.
    pub fn take_warm(&mut self, now: Instant) -> Vec<ServerId> {
        let warm = self.cold.iter().filter(|(_, until)| now >= **until);
        let warm: Vec<ServerId> = warm.map(|(id, _)| *id).collect();
        self.cold.retain(|_, until| now < *until);
        warm
    }

    /// Records that all changes up to `revision` were applied.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Applies a whole list; entries missing from it are removed, at once or after a grace period.
    ///
    /// A list that is older than the registry removes nothing, and restores nothing that was removed since.
    pub fn replace_all(&mut self, list: RegistrationList, now: Instant) {
        let RegistrationList {
            entries,
            unconfirmed,
            revision,
            after_outage,
            asked_at,
        } = list;
        // Of a list in pages, entries may be newer than changes that it lacks.
        let max_latest = self.latest_revision.max(revision);
        if self.revision == 0 {
            // Entries removed before the first list are missing from it.
            self.latest_revision = self
                .latest_revision
                .max(entries.iter().map(|c| c.revision).max().unwrap_or(0));
            self.incomplete_until = after_outage.then(|| now + REREGISTRATION_GRACE);
        }
        let outdated = revision < self.revision;
        let (is_first, mut is_changed) = (self.versions.gaps() == 0, false);
        let listed: Vec<ServerId> = entries.iter().map(|c| c.server).collect();
        for change in entries {
            if outdated && self.is_missing_since(&change) {
                continue;
            }
            if unconfirmed.iter().all(|d| d.server != change.server) {
                self.confirm(change.server, now);
            }
            is_changed |= self.apply(change, now);
        }
        self.latest_revision = self.latest_revision.min(max_latest);
        for item in unconfirmed {
            self.apply_unconfirmed(item, now);
        }
        if is_first || (is_changed && !outdated) {
            // Between the last change that was seen and the list, servers may have come and gone.
            self.versions
                .begin(self.incomplete_until.unwrap_or(now).max(now), asked_at);
            self.gap_list = Some(ListTime { revision, at: now });
        }
        if outdated {
            return;
        }
        let missing: Vec<ServerId> = self
            .entries
            .iter()
            .filter(|(id, entry)| !listed.contains(id) && entry.revision <= revision)
            .map(|(id, _)| *id)
            .collect();
        if !missing.is_empty() {
            // No change of an entry announces these removals to others.
            self.latest_revision = self.latest_revision.max(revision);
            self.versions.begin(now, asked_at);
            self.gap_list = Some(ListTime { revision, at: now });
        }
        for server in missing {
            if after_outage {
                self.mark_unconfirmed(server, revision, now);
            } else {
                self.remove(server, revision, now);
            }
        }
        self.advance(revision);
    }

    /// Returns whether the server of a listed entry isn't registered any more as of this registry's revision.
    ///
    /// No removal is remembered that came before the first list.
    fn is_missing_since(&self, listed: &Change) -> bool {
        listed.revision <= self.revision && !self.entries.contains_key(&listed.server)
    }

    /// Returns servers that were removed or restarted, and so have lost their caches, and clears the list.
    pub fn take_lost_caches(&mut self) -> Vec<ServerId> {
        std::mem::take(&mut self.lost_caches)
    }

    /// Returns whether live servers may be missing that were registered before this registry's first list.
    pub fn is_incomplete(&self, now: Instant) -> bool {
        self.incomplete_until.is_some_and(|until| now < until)
    }

    /// Returns the unconfirmed entries and their remaining grace period at `now`.
    pub fn unconfirmed(&self, now: Instant) -> Vec<Unconfirmed> {
        let unconfirmed = |(server, entry): (&ServerId, &RegistryEntry)| {
            let remaining = entry.expires_at?.saturating_duration_since(now);
            Some(Unconfirmed {
                server: *server,
                remaining,
            })
        };
        self.entries.iter().filter_map(unconfirmed).collect()
    }

    /// Records that another instance's list up to `revision` was applied, including removals.
    ///
    /// A list names no removals. Without this call, an instance that heard of a removal would seem to be behind forever and
    /// request the whole list again and again.
    pub fn advance_latest(&mut self, revision: u64) {
        self.latest_revision = self.latest_revision.max(revision);
    }

    /// Removes the entries whose grace period is over, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerId> {
        let expired = |e: &RegistryEntry| e.expires_at.is_some_and(|until| until <= now);
        let ids: Vec<ServerId> = self
            .entries
            .iter()
            .filter(|(_, entry)| expired(entry))
            .map(|(id, _)| *id)
            .collect();
        for id in &ids {
            self.remove(*id, self.revision, now);
        }
        if !ids.is_empty() {
            // Others stopped counting them earlier or later.
            self.versions.begin(now, None);
            let revision = self.revision;
            self.gap_list = Some(ListTime { revision, at: now });
        }
        self.tombstones
            .retain(|_, (_, at)| now.duration_since(*at) < TOMBSTONE_TTL);
        self.left_versions
            .retain(|_, left| now.duration_since(left.left_at) < HISTORY_TIME);
        self.versions.forget(now);
        ids
    }

    /// Returns all entries, for a peer that is behind; cold servers with what is left of that at `now`.
    pub fn snapshot(&self, now: Instant) -> Vec<Change> {
        self.entries
            .iter()
            .map(|(id, entry)| Change {
                server: *id,
                revision: entry.revision,
                registration: Some(Registration {
                    cold_time: self.cold_time(*id, now),
                    ..entry.registration.clone()
                }),
            })
            .collect()
    }

    /// Marks an entry removed at `revision` as unconfirmed: it counts until a new grace period is over.
    ///
    /// The revision is announced like that of any change, so that others mark the entry too.
    pub fn mark_unconfirmed(&mut self, server: ServerId, revision: u64, now: Instant) {
        let remaining = REREGISTRATION_GRACE;
        self.apply_unconfirmed(Unconfirmed { server, remaining }, now);
        self.latest_revision = self.latest_revision.max(revision);
    }

    /// Applies another instance's remaining grace period; one that already runs here is never extended.
    ///
    /// The server counts for no version meanwhile: instances that heard of the removal in time count it no longer.
    fn apply_unconfirmed(&mut self, item: Unconfirmed, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&item.server) {
            let until = now + item.remaining.min(REREGISTRATION_GRACE);
            entry.expires_at = Some(entry.expires_at.map_or(until, |u| u.min(until)));
            self.versions.set(item.server, None, now);
            self.unconfirmed.insert(item.server);
        }
    }

    fn confirm(&mut self, id: ServerId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&id)
            && self.unconfirmed.remove(&id)
        {
            entry.expires_at = None;
            let ready = ReadyServer::of(&entry.registration);
            self.versions.set(id, ready, now);
        }
    }

    fn remove(&mut self, id: ServerId, revision: u64, now: Instant) {
        self.cold.remove(&id);
        self.versions.set(id, None, now);
        self.unconfirmed.remove(&id);
        self.record_left_version(id, now);
        if let Some(entry) = self.entries.remove(&id) {
            self.tombstones
                .insert(id, (revision.max(entry.revision), now));
            self.lost_caches.push(id);
        }
    }
}
