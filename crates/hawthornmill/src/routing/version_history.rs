//! Versions of the servers of each service over the last minutes.
//!
//! A stream goes on only at the version at which it began. Where no instance remembers that, the version follows from how a
//! new stream's version is chosen: every instance chooses it by a hash of the stream's key, weighted with the slots of each
//! version's servers. So a stream whose key gives one version for every state that the service had since its caller first
//! asked began at that version. States that this instance hasn't seen come from the store's history, see
//! [`store_history`](super::store_history).

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::registry::Registration;
use super::stream_versions::StreamKey;
use crate::ident::{ServerId, ServiceId, VersionId, mix};

/// Time within which every instance of a small fleet hears of a change: each reads the store.
pub const VIEW_LAG: Duration = Duration::from_millis(300);
/// Time within which every instance of a large fleet hears of a change: most ask others, once they have been behind for a while.
pub const VIEW_LAG_LARGE: Duration = Duration::from_millis(1_200);
/// Time for which states are kept; no caller comes back for its stream after it.
pub const HISTORY_TIME: Duration = Duration::from_mins(2);
/// States of one service that are kept; beyond them, the oldest is dropped.
const MAX_STATES: usize = 512;

/// Slots of a service's ready servers by version, in the order of the versions.
pub type Capacities = SmallVec<[(VersionId, u32); 2]>;

/// What a ready server adds to its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyServer {
    /// Its service.
    pub service: ServiceId,
    /// Its version.
    pub version: VersionId,
    /// Requests that it runs concurrently.
    pub slots: u32,
}

impl ReadyServer {
    /// Returns what a registered server adds; `None` while it drains.
    pub fn of(registration: &Registration) -> Option<Self> {
        (!registration.draining).then_some(Self {
            service: registration.service,
            version: registration.version,
            slots: registration.slots,
        })
    }
}

/// A state that a service no longer has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PastState {
    /// Its latest possible end.
    pub until: Instant,
    /// Slots of its ready servers.
    pub capacities: Capacities,
}

impl PastState {
    /// Returns the state in which the run of `new` listened and its entry had not come, until `until`; `None` if it has the version
    /// of `old`, the registered run.
    ///
    /// Whatever their keys give, streams that begin there meanwhile begin at the later version.
    pub fn of_unregistered(
        old: Option<ReadyServer>,
        new: ReadyServer,
        until: Instant,
    ) -> Option<Self> {
        let is_same = old.is_some_and(|o| o.service == new.service && o.version == new.version);
        let capacities = Capacities::from_slice(&[(new.version, new.slots)]);
        (!is_same).then_some(Self { until, capacities })
    }
}

/// What is known of a stream's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeginVersion {
    /// It began at this version.
    Certain(VersionId),
    /// It may have begun at one of several versions.
    Doubtful,
    /// Not all states since then are known.
    Unknown,
}

#[derive(Debug, Clone, Default)]
struct ServiceHistory {
    current: Capacities,
    past: VecDeque<PastState>,
    /// Since when all states are known, where that differs from the other services.
    complete_since: Option<Instant>,
}

/// Versions of the servers of all services over the last minutes.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    servers: BTreeMap<ServerId, ReadyServer>,
    services: BTreeMap<ServiceId, ServiceHistory>,
    /// Since when all states are known; `None` before the first list.
    complete_since: Option<Instant>,
    gaps: u32,
}

impl VersionHistory {
    /// Records what a server adds to its service from now on.
    pub fn set(&mut self, server: ServerId, ready: Option<ReadyServer>, now: Instant) {
        let old = self.servers.get(&server).copied();
        if old == ready {
            return;
        }
        let [left, joined] = [old, ready].map(|r| r.map(|r| r.service));
        let joined = joined.filter(|service| left != Some(*service));
        for service in left.into_iter().chain(joined) {
            self.end_state(service, now);
        }
        if let (Some(before), Some(new)) = (old, ready)
            && before.service == new.service
            && self.complete_since.is_some()
            && let Some(state) = PastState::of_unregistered(old, new, now)
            && let Some(history) = self.services.get_mut(&new.service)
        {
            history.past.push_back(state);
        }
        if let Some(old) = old {
            let history = self.services.entry(old.service).or_default();
            remove_slots(&mut history.current, old);
        }
        if let Some(new) = ready {
            let history = self.services.entry(new.service).or_default();
            add_slots(&mut history.current, new.version, new.slots);
            self.servers.insert(server, new);
        } else {
            self.servers.remove(&server);
        }
    }

    /// Records that the current state of a service ends now.
    fn end_state(&mut self, service: ServiceId, now: Instant) {
        let Some(complete_since) = self.complete_since else {
            return;
        };
        let history = self.services.entry(service).or_default();
        let is_old = |s: &PastState| now.duration_since(s.until) > HISTORY_TIME;
        history.past.push_back(PastState {
            until: now,
            capacities: history.current.clone(),
        });
        while history.past.len() > MAX_STATES || history.past.front().is_some_and(is_old) {
            let Some(dropped) = history.past.pop_front() else {
                return;
            };
            let since = history.complete_since.unwrap_or(complete_since);
            history.complete_since = Some(since.max(dropped.until));
        }
    }

    /// Records that nothing is known of before `now`: a list was applied after changes that this instance didn't see.
    pub fn begin(&mut self, now: Instant) {
        self.complete_since = Some(now);
        self.gaps += 1;
        for history in self.services.values_mut() {
            history.complete_since = None;
            history.past.clear();
        }
    }

    /// Returns the number of times that nothing was known of before; 0 before the first list.
    pub const fn gaps(&self) -> u32 {
        self.gaps
    }

    /// Returns since when all states of `services` are known; `None` before the first list.
    pub fn known_since(&self, services: &[ServiceId]) -> Option<Instant> {
        let since = |service| {
            let history = self.services.get(service);
            history
                .and_then(|h| h.complete_since)
                .or(self.complete_since)
        };
        let all: Option<Vec<Instant>> = services.iter().map(since).collect();
        all?.into_iter().max()
    }

    /// Forgets services without servers whose last state is so old that no caller comes back for a stream of it.
    pub fn forget(&mut self, now: Instant) {
        self.services.retain(|_, history| {
            let is_recent = |s: &PastState| now.duration_since(s.until) <= HISTORY_TIME;
            !history.current.is_empty() || history.past.back().is_some_and(is_recent)
        });
    }

    /// Returns the number of services of which something is kept.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Adds states from before, oldest first, of a service all of whose states since `since` are known with them; all, where it is
    /// `None`.
    pub fn add_past(
        &mut self,
        service: ServiceId,
        states: impl DoubleEndedIterator<Item = PastState>,
        since: Option<Instant>,
    ) {
        let Some(complete_since) = self.complete_since else {
            return;
        };
        let history = self.services.entry(service).or_default();
        let known = history.complete_since.unwrap_or(complete_since);
        let longest = known.checked_sub(HISTORY_TIME);
        history.complete_since = Some(known.min(since.or(longest).unwrap_or(known)));
        for state in states.rev() {
            history.past.push_front(state);
        }
    }

    /// Returns the slots of a service's ready servers by version.
    pub fn current(&self, service: ServiceId) -> &[(VersionId, u32)] {
        self.services.get(&service).map_or(&[], |h| &*h.current)
    }

    /// Returns the version at which a stream began after `begun_after` on a route to `services`; its `key` is `None` where
    /// its version was not chosen by one, or isn't named.
    pub fn begin_version(
        &self,
        services: &[ServiceId],
        key: Option<StreamKey>,
        begun_after: Instant,
    ) -> BeginVersion {
        let mut found = None;
        for service in services {
            let history = self.services.get(service);
            let since = history.and_then(|h| h.complete_since);
            if since
                .or(self.complete_since)
                .is_none_or(|s| s > begun_after)
            {
                return BeginVersion::Unknown;
            }
            let Some(history) = history else { continue };
            let past = history.past.iter().filter(|s| s.until >= begun_after);
            let states = past.map(|s| &s.capacities).chain([&history.current]);
            for state in states.filter(|s| !s.is_empty()) {
                let version = match (key, &**state) {
                    (Some(key), all) => choose(key, all),
                    (None, [(version, _)]) => Some(*version),
                    (None, _) => None,
                };
                if version.is_none() || found.is_some_and(|f| Some(f) != version) {
                    return BeginVersion::Doubtful;
                }
                found = version;
            }
        }
        found.map_or(BeginVersion::Doubtful, BeginVersion::Certain)
    }
}

/// Adds the slots of a server.
pub fn add_slots(capacities: &mut Capacities, version: VersionId, slots: u32) {
    match capacities.binary_search_by_key(&version, |(v, _)| *v) {
        Ok(at) => capacities[at].1 = capacities[at].1.saturating_add(slots),
        Err(at) => capacities.insert(at, (version, slots)),
    }
}

/// Takes the slots of a server off.
pub fn remove_slots(capacities: &mut Capacities, server: ReadyServer) {
    if let Ok(at) = capacities.binary_search_by_key(&server.version, |(v, _)| *v) {
        capacities[at].1 = capacities[at].1.saturating_sub(server.slots);
        if capacities[at].1 == 0 {
            capacities.remove(at);
        }
    }
}

/// Chooses the version at which a new stream begins; every instance chooses the same.
///
/// Weighted rendezvous hashing: as slots come and go, few streams change their version.
pub fn choose(key: StreamKey, capacities: &[(VersionId, u32)]) -> Option<VersionId> {
    let score = |(version, slots): &(VersionId, u32)| {
        let draw = (mix(key.0 ^ mix(version.0)) >> 11) as f64 + 0.5;
        -(draw / (1_u64 << 53) as f64).ln() / f64::from(*slots)
    };
    let best = capacities
        .iter()
        .min_by(|a, b| score(a).total_cmp(&score(b)));
    best.map(|(version, _)| *version)
}
