//! What the store's history says about the versions that served before this instance had its first list.
//!
//! The store keeps recent changes. The states of a service follow from walking them backwards from its present one. Changes
//! carry no time, so a state counts until the latest possible time of the change that ended it, see
//! [`change_times`](super::change_times).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::change_times::{ListTime, ReadTime, earliest_times, latest_times};
use super::registry::Registration;
use super::version_history::{Capacities, PastState, ReadyServer, add_slots, remove_slots};
use crate::ident::{ServerId, ServiceId, VersionId};

/// Servers that may leave without announcing it, for each that does; about half of them do.
const SILENT_PER_ANNOUNCED: usize = 2;
/// States of one service that are taken from the store's history.
const MAX_WALKED_STATES: usize = 256;

/// A change of one entry, as the store's history tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PastChange {
    /// Server whose entry changed.
    pub server: ServerId,
    /// The store's revision of the change.
    pub revision: u64,
    /// Revision at which the entry was created; 0 when it was removed.
    pub created: u64,
    /// The new registration; `None` when the entry was removed or is unreadable.
    pub registration: Option<Registration>,
}

/// Changes of all entries that the store still keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreHistory {
    /// All changes after this revision are known.
    pub floor: u64,
    /// The store keeps no change at or before the floor.
    pub is_oldest: bool,
    /// Revision up to which changes are known.
    pub revision: u64,
    /// The changes in the order of their revisions.
    pub changes: Vec<PastChange>,
}

/// What the history says about one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePast {
    /// The service.
    pub service: ServiceId,
    /// Since when all its states are known; `None` if all are that matter.
    pub since: Option<Instant>,
    /// Its states before the first list, oldest first; several of them may stand for one that isn't known exactly.
    pub states: Vec<PastState>,
    /// Earliest possible begin of the state at the first list; `None` if nothing tells it.
    pub listed_since: Option<Instant>,
}

/// What an entry was before a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Before {
    /// There was none, or its server was draining.
    Absent,
    Ready(ReadyServer),
    /// A run of which the history tells nothing else.
    UnknownRun,
    /// There was none though its server ran, so instances may have counted it or not.
    Lapsed,
}

/// An entry that hasn't changed since the floor.
type Unchanged<'a> = (ServerId, &'a Registration);

/// A change with the times at which it can have happened.
struct DatedChange<'a> {
    change: &'a PastChange,
    before: Before,
    /// `None` if nothing tells it.
    earliest: Option<Instant>,
    latest: Instant,
}

/// What the registrations of a service say about its servers.
#[derive(Debug, Default)]
struct KnownServers {
    versions: BTreeSet<VersionId>,
    /// Most slots of a server.
    slots: u32,
}

/// Returns what the history says about each service that has servers.
///
/// `entries` are the present registrations, `list` the first one of all of them.
pub fn past_of<'a>(
    history: &StoreHistory,
    entries: impl Iterator<Item = Unchanged<'a>>,
    list: ListTime,
    read: ReadTime,
) -> Vec<ServicePast> {
    let unchanged = unchanged(history, entries);
    let HistoryDates { ends, floor, .. } = dates(history, &unchanged, list, read);
    let befores = befores(&history.changes);
    let present = present_servers(&unchanged, &history.changes);
    let at_floor = at_floor(&present, &history.changes, &befores);

    let begins = earliest_times(&history.changes, &ends, read);
    let changes: Vec<DatedChange<'_>> = history
        .changes
        .iter()
        .zip(&befores)
        .zip(begins.into_iter().zip(ends))
        .map(|((change, before), (earliest, latest))| DatedChange {
            change,
            before: *before,
            earliest,
            latest,
        })
        // No stream began before the first catalog.
        .filter(|dated| dated.change.revision > read.first_catalog)
        .collect();
    let walk = |(service, known): (ServiceId, KnownServers)| {
        let mut walk = Walk::new(service, known, &at_floor, &history.changes, floor);
        walk.listed = list.revision;
        for server in present.values().filter(|r| r.service == service) {
            add_slots(&mut walk.capacities, server.version, server.slots);
        }
        walk.back(&changes);
        ServicePast {
            service,
            since: walk.since,
            states: walk.states.into_iter().rev().collect(),
            listed_since: walk.listed_since,
        }
    };
    let services = known_servers(&unchanged, &history.changes);
    services.into_iter().map(walk).collect()
}

fn unchanged<'a>(
    history: &StoreHistory,
    entries: impl Iterator<Item = Unchanged<'a>>,
) -> Vec<Unchanged<'a>> {
    let changed: BTreeSet<ServerId> = history.changes.iter().map(|c| c.server).collect();
    entries.filter(|(id, _)| !changed.contains(id)).collect()
}

/// By when the revisions of the store's history were written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryDates {
    /// By when each change of a server's entry was written.
    ends: Vec<Instant>,
    /// The revisions of these changes.
    revisions: Vec<u64>,
    /// Since when all changes are known; `None` if all are that matter.
    floor: Option<Instant>,
    list: ListTime,
    read_at: Instant,
}

impl HistoryDates {
    /// Returns the dates of the revisions of `history`.
    ///
    /// `entries` are the present registrations, `list` the first one of all of them.
    pub fn of<'a>(
        history: &StoreHistory,
        entries: impl Iterator<Item = Unchanged<'a>>,
        list: ListTime,
        read: ReadTime,
    ) -> Self {
        dates(history, &unchanged(history, entries), list, read)
    }

    /// Returns by when a revision of any entry of the store was written.
    pub fn written(&self, revision: u64) -> Instant {
        let known = if revision <= self.list.revision {
            self.list.at
        } else {
            self.read_at
        };
        let next = self.revisions.partition_point(|r| *r < revision);
        self.ends.get(next).map_or(known, |end| known.min(*end))
    }

    /// Returns since when nothing that was written at or before the history's floor changed; `None` if that doesn't matter.
    pub const fn floor(&self) -> Option<Instant> {
        self.floor
    }
}

fn dates(
    history: &StoreHistory,
    unchanged: &[Unchanged<'_>],
    list: ListTime,
    read: ReadTime,
) -> HistoryDates {
    let ends = latest_times(&history.changes, list, read);
    let is_old = !has_recent_start(history, unchanged, read);
    let floor = floor_time(history, &ends, list, read, is_old);
    HistoryDates {
        ends,
        revisions: history.changes.iter().map(|c| c.revision).collect(),
        floor,
        list,
        read_at: read.at,
    }
}

/// Returns the servers that are ready after all changes.
fn present_servers(
    unchanged: &[Unchanged<'_>],
    changes: &[PastChange],
) -> BTreeMap<ServerId, ReadyServer> {
    let ready = unchanged.iter();
    let ready = ready.filter_map(|(id, r)| Some((*id, ReadyServer::of(r)?)));
    let mut present: BTreeMap<ServerId, ReadyServer> = ready.collect();
    for change in changes {
        match change.registration.as_ref().and_then(ReadyServer::of) {
            Some(server) => present.insert(change.server, server),
            None => present.remove(&change.server),
        };
    }
    present
}

/// Returns what all registrations that are known say about the servers of each service.
fn known_servers(
    unchanged: &[Unchanged<'_>],
    changes: &[PastChange],
) -> BTreeMap<ServiceId, KnownServers> {
    let known = unchanged.iter().map(|(_, r)| *r);
    let known = known.chain(changes.iter().filter_map(|c| c.registration.as_ref()));
    let mut services: BTreeMap<ServiceId, KnownServers> = BTreeMap::new();
    for registration in known {
        let servers = services.entry(registration.service).or_default();
        servers.versions.insert(registration.version);
        servers.slots = servers.slots.max(registration.slots);
    }
    services
}

/// Walks the states of one service backwards.
struct Walk {
    service: ServiceId,
    /// Versions of the servers that are known from the floor on.
    versions: BTreeSet<VersionId>,
    /// Slots of a server of which nothing is known.
    slots: u32,
    /// Servers of which only their end is known.
    unknown: u32,
    /// Number of these up to which they are taken for servers of the known versions.
    max_unknown: usize,
    capacities: Capacities,
    since: Option<Instant>,
    /// Revision up to which changes weren't seen as they came.
    listed: u64,
    /// Earliest possible begin of the state at that revision.
    listed_since: Option<Instant>,
    /// States, newest first.
    states: Vec<PastState>,
    /// Number of these of which the change that began them was seen.
    begun: usize,
}

impl Walk {
    /// Returns a walk that begins at the present, without the servers that are ready now.
    fn new(
        service: ServiceId,
        known: KnownServers,
        at_floor: &[ReadyServer],
        changes: &[PastChange],
        since: Option<Instant>,
    ) -> Self {
        let old = at_floor.iter().filter(|r| r.service == service);
        let old_versions: BTreeSet<VersionId> = old.clone().map(|r| r.version).collect();
        let announced = changes.iter().filter(|c| c.announces(service));
        Self {
            service,
            versions: if old_versions.is_empty() {
                known.versions
            } else {
                old_versions
            },
            slots: known.slots,
            unknown: 0,
            max_unknown: old.count() / 2 + SILENT_PER_ANNOUNCED * announced.count(),
            capacities: Capacities::new(),
            since,
            listed: 0,
            listed_since: None,
            states: Vec::new(),
            begun: 0,
        }
    }

    fn back(&mut self, changes: &[DatedChange<'_>]) {
        for dated in changes.iter().rev() {
            let DatedChange { change, before, .. } = dated;
            let until = dated.latest;
            let own = |r: &ReadyServer| r.service == self.service;
            let after = change.registration.as_ref().and_then(ReadyServer::of);
            let after = after.filter(own);
            let earlier = match before {
                Before::Ready(server) => Some(*server).filter(own),
                _ => None,
            };
            self.unknown += u32::from(*before == Before::UnknownRun);
            if *before == Before::Lapsed || self.unknown as usize > self.max_unknown {
                self.since = self.since.max(Some(until));
            }
            if after == earlier && *before != Before::UnknownRun {
                continue;
            }
            let was_seen = change.revision > self.listed;
            if !was_seen {
                self.record_begin(dated.earliest);
            }
            if let Some(server) = after {
                remove_slots(&mut self.capacities, server);
            }
            if let Some(server) = earlier {
                add_slots(&mut self.capacities, server.version, server.slots);
            }
            if was_seen {
                continue;
            }
            if self.states.len() >= MAX_WALKED_STATES {
                self.since = self.since.max(Some(until));
                return;
            }
            let follows_run = earlier.is_some() || *before == Before::UnknownRun;
            if let Some(later) = after.filter(|_| follows_run) {
                self.states
                    .extend(PastState::of_unregistered(earlier, later, until));
            }
            self.push_state(until);
        }
    }

    /// Records that the state after the present change began at `earliest` or later.
    fn record_begin(&mut self, earliest: Option<Instant>) {
        if self.states.is_empty() {
            self.listed_since = earliest;
        }
        let begun = self.states[self.begun..].iter_mut();
        for state in begun.filter(|s| !s.is_unregistered) {
            state.since = earliest;
        }
        self.begun = self.states.len();
    }

    /// Adds the state; once for each version that the unknown servers may have had.
    ///
    /// Where a choice by hash is the same with all of them at either version, it is the same with any mix.
    fn push_state(&mut self, until: Instant) {
        let versions: Vec<_> = self.versions.iter().copied().collect();
        let unknown_slots = self.slots.saturating_mul(self.unknown);
        for version in versions {
            let mut capacities = self.capacities.clone();
            if unknown_slots > 0 {
                add_slots(&mut capacities, version, unknown_slots);
            }
            self.states.push(PastState {
                since: None,
                until,
                capacities,
                is_unregistered: false,
            });
            if unknown_slots == 0 {
                return;
            }
        }
    }
}

/// Returns the time since which all changes are known; `None` if all are that matter.
///
/// Changes tell by when the floor was. The store usually keeps them for a known time, but may drop them sooner. That is believed
/// where `is_old`: no run that was registered at the floor started within that time, so that no release was under way.
fn floor_time(
    history: &StoreHistory,
    ends: &[Instant],
    list: ListTime,
    read: ReadTime,
    is_old: bool,
) -> Option<Instant> {
    if history.floor <= read.first_catalog.max(1) {
        return None;
    }
    let known_at = if history.floor <= list.revision {
        list.at
    } else {
        read.at
    };
    let by_change = ends.first().map_or(known_at, |end| (*end).min(known_at));
    let is_kept = is_old && history.is_oldest && history.revision > history.floor;
    let kept = read.kept_since().filter(|_| is_kept);
    Some(kept.map_or(by_change, |since| since.min(by_change)))
}

/// Returns whether a run that was registered at the floor started within the time for which the store usually keeps changes.
fn has_recent_start(history: &StoreHistory, unchanged: &[Unchanged<'_>], read: ReadTime) -> bool {
    let mut seen = BTreeSet::new();
    let first = history.changes.iter().filter(|c| seen.insert(c.server));
    let older = first.filter(|c| !c.creates());
    let older = older.filter_map(|c| c.registration.as_ref());
    let mut all = unchanged.iter().map(|(_, r)| *r).chain(older);
    all.any(|r| read.is_recent(r))
}

/// Returns what each entry was before each change.
fn befores(changes: &[PastChange]) -> Vec<Before> {
    let mut last: BTreeMap<ServerId, &PastChange> = BTreeMap::new();
    let befores = changes.iter().map(|change| {
        let earlier = last.insert(change.server, change);
        before(change, earlier)
    });
    befores.collect()
}

impl PastChange {
    /// Returns whether a server of `service` announces that it leaves.
    fn announces(&self, service: ServiceId) -> bool {
        let registration = self.registration.as_ref();
        registration.is_some_and(|r| r.draining && r.service == service)
    }

    /// Returns whether its server announces that it leaves.
    pub fn is_draining(&self) -> bool {
        self.registration.as_ref().is_some_and(|r| r.draining)
    }

    /// Returns whether it removes its entry.
    pub const fn removes(&self) -> bool {
        self.created == 0 && self.registration.is_none()
    }

    /// Returns whether the entry of a run that was there before is back, as after an outage of the store.
    pub fn is_return(&self) -> bool {
        let registration = self.registration.as_ref();
        self.creates() && registration.is_some_and(|r| r.sequence > 1)
    }

    /// Returns whether it creates its entry.
    pub const fn creates(&self) -> bool {
        self.created > 0 && self.created == self.revision
    }
}

fn before(change: &PastChange, earlier: Option<&PastChange>) -> Before {
    let Some(registration) = &change.registration else {
        return match earlier {
            Some(earlier) => ready_before(earlier),
            None if change.creates() => Before::Absent,
            None => Before::UnknownRun,
        };
    };
    // A run that was there before, and whose entry is new, could not renew it meanwhile.
    if change.is_return() {
        return Before::Lapsed;
    }
    if let Some(earlier) = earlier {
        return ready_before(earlier);
    }
    if change.creates() {
        return Before::Absent;
    }
    let same_run = (registration.sequence > 1).then_some(Registration {
        draining: false,
        ..registration.clone()
    });
    let same_run = same_run.as_ref().and_then(ReadyServer::of);
    same_run.map_or(Before::UnknownRun, Before::Ready)
}

fn ready_before(earlier: &PastChange) -> Before {
    let ready = earlier.registration.as_ref().and_then(ReadyServer::of);
    ready.map_or(Before::Absent, Before::Ready)
}

/// Returns the ready servers at the floor, as far as they are known.
fn at_floor(
    present: &BTreeMap<ServerId, ReadyServer>,
    changes: &[PastChange],
    befores: &[Before],
) -> Vec<ReadyServer> {
    let mut all = present.clone();
    for (change, before) in changes.iter().zip(befores).rev() {
        match before {
            Before::Ready(server) => all.insert(change.server, *server),
            _ => all.remove(&change.server),
        };
    }
    all.into_values().collect()
}
