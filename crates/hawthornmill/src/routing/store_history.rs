//! What the store's history says about the versions that served before this instance had its first list.
//!
//! The store keeps recent changes. The states of a service follow from walking them backwards from its present one. Most
//! changes carry no time: the first registration of a run was written just after the run's start, and the others are only
//! ordered by revision, so their latest possible time is that of the next registration that is dated.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::registry::Registration;
use super::version_history::{
    Capacities, HISTORY_TIME, PastState, ReadyServer, add_slots, remove_slots,
};
use crate::ident::{ServerId, ServiceId, VersionId};

/// Time from the start of a run within which its first registration is written.
const REGISTRATION_LAG: Duration = Duration::from_millis(200);
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

/// When the history was read, by both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTime {
    /// By this process's clock.
    pub at: Instant,
    /// In milliseconds of Unix time.
    pub unix_ms: u64,
    /// Time for which the store keeps changes.
    pub kept: Duration,
}

impl ReadTime {
    /// Returns the instant of a Unix time, not before that of the oldest states that are kept.
    fn instant(&self, unix_ms: u64) -> Instant {
        let age = Duration::from_millis(self.unix_ms.saturating_sub(unix_ms));
        self.at
            .checked_sub(age.min(HISTORY_TIME))
            .unwrap_or(self.at)
    }
}

/// What the history says about one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePast {
    /// The service.
    pub service: ServiceId,
    /// Since when all its states are known.
    pub since: Instant,
    /// Its states, oldest first; several of them may stand for one that isn't known exactly.
    pub states: Vec<PastState>,
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

/// An entry that hasn't changed since the floor, with its revision.
type Unchanged<'a> = (ServerId, u64, &'a Registration);

/// What the registrations of a service say about its servers.
#[derive(Debug, Default)]
struct KnownServers {
    versions: BTreeSet<VersionId>,
    /// Most slots of a server.
    slots: u32,
}

/// Returns what the history says about each service that has servers.
///
/// `entries` are the present registrations with their revisions.
pub fn past_of<'a>(
    history: &StoreHistory,
    entries: impl Iterator<Item = Unchanged<'a>>,
    read: ReadTime,
) -> Vec<ServicePast> {
    let changed: BTreeSet<ServerId> = history.changes.iter().map(|c| c.server).collect();
    let unchanged: Vec<Unchanged<'_>> = entries.filter(|(id, ..)| !changed.contains(id)).collect();
    let starts = LatestStarts::of(history, &unchanged, read);
    let ends = latest_times(&history.changes, &starts, read);
    let floor_ms = floor_time(history, &unchanged, &ends, &starts, read);
    let befores = befores(&history.changes);
    let present = present_servers(&unchanged, &history.changes);
    let at_floor = at_floor(&present, &history.changes, &befores);

    let walk = |(service, known): (ServiceId, KnownServers)| {
        let mut walk = Walk::new(service, known, &at_floor, &history.changes, floor_ms);
        for server in present.values().filter(|r| r.service == service) {
            add_slots(&mut walk.capacities, server.version, server.slots);
        }
        walk.back(&history.changes, &befores, &ends, read);
        ServicePast {
            service,
            since: read.instant(walk.since_ms),
            states: walk.states.into_iter().rev().collect(),
        }
    };
    let services = known_servers(&unchanged, &history.changes);
    services.into_iter().map(walk).collect()
}

/// Returns the servers that are ready after all changes.
fn present_servers(
    unchanged: &[Unchanged<'_>],
    changes: &[PastChange],
) -> BTreeMap<ServerId, ReadyServer> {
    let ready = unchanged.iter();
    let ready = ready.filter_map(|(id, _, r)| Some((*id, ReadyServer::of(r)?)));
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
    let known = unchanged.iter().map(|(_, _, r)| *r);
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
    since_ms: u64,
    /// States, newest first.
    states: Vec<PastState>,
}

impl Walk {
    /// Returns a walk that begins at the present, without the servers that are ready now.
    fn new(
        service: ServiceId,
        known: KnownServers,
        at_floor: &[ReadyServer],
        changes: &[PastChange],
        since_ms: u64,
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
            since_ms,
            states: Vec::new(),
        }
    }

    fn back(&mut self, changes: &[PastChange], befores: &[Before], ends: &[u64], read: ReadTime) {
        for ((change, before), end) in changes.iter().zip(befores).zip(ends).rev() {
            let own = |r: &ReadyServer| r.service == self.service;
            let after = change.registration.as_ref().and_then(ReadyServer::of);
            let after = after.filter(own);
            let earlier = match before {
                Before::Ready(server) => Some(*server).filter(own),
                _ => None,
            };
            self.unknown += u32::from(*before == Before::UnknownRun);
            if *before == Before::Lapsed || self.unknown as usize > self.max_unknown {
                self.since_ms = self.since_ms.max(*end);
            }
            if after == earlier && *before != Before::UnknownRun {
                continue;
            }
            if let Some(server) = after {
                remove_slots(&mut self.capacities, server);
            }
            if let Some(server) = earlier {
                add_slots(&mut self.capacities, server.version, server.slots);
            }
            if *end <= self.since_ms && self.since_ms == read.unix_ms {
                continue;
            }
            if self.states.len() >= MAX_WALKED_STATES {
                self.since_ms = self.since_ms.max(*end);
                return;
            }
            let until = read.instant(*end);
            let follows_run = earlier.is_some() || *before == Before::UnknownRun;
            if let Some(later) = after.filter(|_| follows_run) {
                self.states
                    .extend(PastState::of_unregistered(earlier, later, until));
            }
            self.push_state(until);
        }
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
            self.states.push(PastState { until, capacities });
            if unknown_slots == 0 {
                return;
            }
        }
    }
}

/// Returns the Unix time at which the first registration of a run was written at the latest; `None` for other changes.
///
/// A start in the future dates nothing: its server's clock is wrong.
fn first_written(registration: &Registration, read: ReadTime) -> Option<u64> {
    let is_first = registration.sequence == 1 && registration.start_ms > 0;
    let is_dated = is_first && registration.start_ms <= read.unix_ms;
    is_dated.then(|| {
        let lag = REGISTRATION_LAG.as_millis() as u64;
        (registration.start_ms + lag).min(read.unix_ms)
    })
}

/// Returns the latest possible Unix time of each change.
fn latest_times(changes: &[PastChange], starts: &LatestStarts, read: ReadTime) -> Vec<u64> {
    let written = |c: &PastChange| first_written(c.registration.as_ref()?, read);
    let mut end = read.unix_ms;
    let mut ends: Vec<u64> = changes
        .iter()
        .rev()
        .map(|change| {
            end = written(change).unwrap_or(end);
            end
        })
        .collect();
    ends.reverse();
    // A change that follows a registration came after that run's start, whatever a later server's clock says.
    for (change, end) in changes.iter().zip(&mut ends) {
        *end = (*end).max(starts.until(change.revision));
    }
    ends
}

/// Returns the Unix time since which all changes are known.
///
/// An empty history can't be told from one that was just dropped, unless an entry at its floor is dated. A floor is at least as
/// late as the latest start of a run that was registered by then, also where the store dropped its history sooner than it should.
fn floor_time(
    history: &StoreHistory,
    unchanged: &[Unchanged<'_>],
    ends: &[u64],
    starts: &LatestStarts,
    read: ReadTime,
) -> u64 {
    if history.floor <= 1 {
        return 0;
    }
    let at_floor = unchanged.iter().filter(|(_, r, _)| *r >= history.floor);
    let dated = at_floor.filter_map(|(_, revision, registration)| {
        Some(first_written(registration, read)?.max(starts.until(*revision)))
    });
    let is_dated = |c: &PastChange| first_written(c.registration.as_ref()?, read);
    let later = history.changes.iter().zip(ends);
    let later = later.filter_map(|(change, end)| is_dated(change).map(|_| *end));
    let is_kept = history.is_oldest && history.revision > history.floor;
    let kept_since = read.unix_ms.saturating_sub(read.kept.as_millis() as u64);
    let kept = is_kept.then(|| kept_since.max(starts.until(history.floor)));
    dated.chain(later).chain(kept).min().unwrap_or(read.unix_ms)
}

/// The latest start of the runs that were registered by each revision.
struct LatestStarts(BTreeMap<u64, u64>);

impl LatestStarts {
    fn of(history: &StoreHistory, unchanged: &[Unchanged<'_>], read: ReadTime) -> Self {
        let mut seen = BTreeSet::new();
        let changed = history.changes.iter().filter_map(|change| {
            let is_first = seen.insert(change.server);
            let registration = change.registration.as_ref()?;
            // A later report over an earlier entry, whose first one isn't among the changes.
            let is_older = is_first && registration.sequence > 1 && !change.creates();
            let revision = if is_older {
                history.floor
            } else {
                change.revision
            };
            Some((revision, registration))
        });
        let unchanged = unchanged.iter().map(|(_, revision, r)| (*revision, *r));
        let mut starts: BTreeMap<u64, u64> = BTreeMap::new();
        for (revision, registration) in changed.chain(unchanged) {
            if registration.start_ms <= read.unix_ms {
                let latest = starts.entry(revision).or_default();
                *latest = (*latest).max(registration.start_ms);
            }
        }
        let mut latest = 0;
        for start in starts.values_mut() {
            latest = latest.max(*start);
            *start = latest;
        }
        Self(starts)
    }

    /// Returns the latest start of the runs that were registered by `revision`; 0 without any.
    fn until(&self, revision: u64) -> u64 {
        let last = self.0.range(..=revision).next_back();
        last.map_or(0, |(_, start)| *start)
    }
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

    const fn creates(&self) -> bool {
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
    if change.creates() && registration.sequence > 1 {
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
