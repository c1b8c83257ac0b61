//! Versions of the servers of each service over the last minutes.
//!
//! A stream goes on only at the version at which it began. Where no instance remembers that, the version follows from how a
//! new stream's version is chosen: every instance chooses it by a hash of the stream's key, weighted with the slots that each
//! version's servers had when the caller first asked, as long as that version has had servers ever since. So a stream whose key
//! gives one version for every state in which its caller may have asked began at that version. States that this instance hasn't
//! seen come from the store's history, see [`store_history`](super::store_history).

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::registry::Registration;
use super::store_history::ServicePast;
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
    /// Its earliest possible begin; `None` if nothing tells it.
    pub since: Option<Instant>,
    /// Its latest possible end.
    pub until: Instant,
    /// Slots of its ready servers.
    pub capacities: Capacities,
    /// A run listened whose entry had not come: whatever their keys give, streams that began there began at its version.
    pub is_unregistered: bool,
}

/// When a stream may have begun, and its caller may have asked for it first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeginWindow {
    /// The caller asked after this.
    pub asked_after: Instant,
    /// The caller had asked by then; `None` where it may have asked at any time since.
    pub asked_by: Option<Instant>,
}

impl BeginWindow {
    /// Returns the window of a stream of which only the earliest begin is known.
    pub const fn since(asked_after: Instant) -> Self {
        Self {
            asked_after,
            asked_by: None,
        }
    }
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
        (!is_same).then_some(Self {
            since: None,
            until,
            capacities,
            is_unregistered: true,
        })
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
    /// Earliest possible begin of the current state; `None` if nothing tells it.
    current_since: Option<Instant>,
    past: VecDeque<PastState>,
    /// Number of these, the oldest, that the store's history told.
    learned: usize,
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
    /// When the last list after a gap came; the changes since then were seen as they came.
    seen_since: Option<Instant>,
    /// These changes came after this; `None` if nothing tells it.
    changed_after: Option<Instant>,
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
        let changed_after = self.changed_after;
        let history = self.services.entry(service).or_default();
        let is_old = |s: &PastState| now.duration_since(s.until) > HISTORY_TIME;
        history.past.push_back(PastState {
            since: history.current_since,
            until: now,
            capacities: history.current.clone(),
            is_unregistered: false,
        });
        history.current_since = changed_after;
        while history.past.len() > MAX_STATES || history.past.front().is_some_and(is_old) {
            let Some(dropped) = history.past.pop_front() else {
                return;
            };
            history.learned = history.learned.saturating_sub(1);
            let since = history.complete_since.unwrap_or(complete_since);
            history.complete_since = Some(since.max(dropped.until));
        }
    }

    /// Records that nothing is known of before `now`: a list was applied after changes that this instance didn't see, for which
    /// the store was asked at `asked_at`.
    pub fn begin(&mut self, now: Instant, asked_at: Option<Instant>) {
        self.complete_since = Some(now);
        self.seen_since = Some(now);
        self.changed_after = asked_at;
        self.gaps += 1;
        for history in self.services.values_mut() {
            history.current_since = None;
            history.complete_since = None;
            history.learned = 0;
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

    /// Adds what the store's history tells of the states of a service.
    pub fn add_past(&mut self, past: ServicePast) {
        let Some(complete_since) = self.complete_since else {
            return;
        };
        let history = self.services.entry(past.service).or_default();
        let known = history.complete_since.unwrap_or(complete_since);
        let longest = known.checked_sub(HISTORY_TIME);
        history.complete_since = Some(known.min(past.since.or(longest).unwrap_or(known)));
        match history.past.iter_mut().find(|s| !s.is_unregistered) {
            Some(listed) => listed.since = past.listed_since,
            None => history.current_since = past.listed_since,
        }
        history.learned += past.states.len();
        for state in past.states.into_iter().rev() {
            history.past.push_front(state);
        }
    }

    /// Returns the slots of a service's ready servers by version.
    pub fn current(&self, service: ServiceId) -> &[(VersionId, u32)] {
        self.services.get(&service).map_or(&[], |h| &*h.current)
    }

    /// Returns the version at which a stream began within `window` on a route to `services`; its `key` is `None` where its version
    /// was not chosen by one, or isn't named.
    pub fn begin_version(
        &self,
        services: &[ServiceId],
        key: Option<StreamKey>,
        window: BeginWindow,
    ) -> BeginVersion {
        let is_known = |since: Instant| since <= window.asked_after;
        if !self.known_since(services).is_some_and(is_known) {
            return BeginVersion::Unknown;
        }
        let states = || {
            let histories = services.iter().filter_map(|id| self.services.get(id));
            let states = histories.flat_map(ServiceHistory::states);
            states.filter(|s| !s.capacities.is_empty() && s.lasts_after(window.asked_after))
        };
        let asked_by = window.asked_by.filter(|_| key.is_some());
        let mut found = None;
        for state in states().filter(|s| s.begins_by(asked_by)) {
            let version = match (key, state.capacities) {
                (Some(key), all) => choose(key, all),
                (None, [(version, _)]) => Some(*version),
                (None, _) => None,
            };
            if version.is_none() || found.is_some_and(|f| Some(f) != version) {
                return BeginVersion::Doubtful;
            }
            found = version;
        }
        let Some(version) = found else {
            return BeginVersion::Doubtful;
        };
        // Without servers for a moment, or by a run that wasn't registered, it began at another one.
        if states().all(|s| has_version(s.capacities, version)) {
            BeginVersion::Certain(version)
        } else {
            BeginVersion::Doubtful
        }
    }

    /// Returns the version that the key of a new stream gave when its caller first asked, if it has had servers since then.
    pub fn first_choice(
        &self,
        service: ServiceId,
        key: StreamKey,
        asked: Instant,
    ) -> Option<VersionId> {
        if self.seen_since.is_none_or(|since| asked < since) {
            let window = BeginWindow {
                asked_by: Some(asked),
                ..BeginWindow::since(asked)
            };
            return match self.begin_version(&[service], Some(key), window) {
                BeginVersion::Certain(version) => Some(version),
                BeginVersion::Doubtful | BeginVersion::Unknown => None,
            };
        }
        let history = self.services.get(&service)?;
        let seen = history.states().skip(history.learned);
        let seen = seen.filter(|s| !s.is_unregistered && s.until.is_none_or(|until| until > asked));
        let mut seen = seen.map(|s| s.capacities);
        let version = choose(key, seen.next()?)?;
        seen.all(|c| has_version(c, version)).then_some(version)
    }
}

/// A state of a service, past or present.
#[derive(Debug, Clone, Copy)]
struct State<'a> {
    since: Option<Instant>,
    /// `None` for the present one.
    until: Option<Instant>,
    capacities: &'a [(VersionId, u32)],
    is_unregistered: bool,
}

impl State<'_> {
    /// Returns whether it can have been there after `at`.
    fn lasts_after(&self, at: Instant) -> bool {
        self.until.is_none_or(|until| until >= at)
    }

    /// Returns whether it can have begun by `at`; `None` stands for any time.
    fn begins_by(&self, at: Option<Instant>) -> bool {
        let (Some(since), Some(at)) = (self.since, at) else {
            return true;
        };
        since <= at
    }
}

impl ServiceHistory {
    /// Returns all states, the present one last.
    fn states(&self) -> impl Iterator<Item = State<'_>> {
        let past = self.past.iter().map(|s| State {
            since: s.since,
            until: Some(s.until),
            capacities: &s.capacities,
            is_unregistered: s.is_unregistered,
        });
        past.chain([State {
            since: self.current_since,
            until: None,
            capacities: &self.current,
            is_unregistered: false,
        }])
    }
}

fn has_version(capacities: &[(VersionId, u32)], version: VersionId) -> bool {
    capacities.iter().any(|(v, _)| *v == version)
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
