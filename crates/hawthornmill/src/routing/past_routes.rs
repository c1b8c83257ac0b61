//! Terms of routes in earlier catalogs, under which callers may have asked for streams that they take up now.
//!
//! A stream of which nobody has a record is dated by its route's timeout, and its version follows from what the route's services
//! served. Both are those of the catalog in force when its caller first asked. A process that has just started learns the catalogs
//! from before its first one from the store's history, as far as the store keeps them.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::caller_times::MAX_CALLER_TIME;
use super::catalog::Route;
use super::route_table::RouteTable;
use super::version_history::HISTORY_TIME;
use crate::ident::ServiceId;

/// A route of an earlier catalog, as far as a later one has other terms for its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PastRoute {
    host: Box<str>,
    /// Prefix of the requests that have other terms now.
    prefix: Box<str>,
    timeout: Duration,
    services: SmallVec<[ServiceId; 1]>,
    /// When a later catalog came into force.
    until: Instant,
}

/// Terms of a route in an earlier catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PastTerms {
    /// Longest time that a request might take.
    pub timeout: Duration,
    /// Services that served the route.
    pub services: SmallVec<[ServiceId; 1]>,
    /// When the last instance has other terms in force.
    pub until: Instant,
}

/// A catalog of the store's history.
#[derive(Debug, Clone)]
pub struct PastCatalog {
    /// The catalog.
    pub table: RouteTable,
    /// By when it was written.
    pub written: Instant,
}

/// What is known of the catalogs before the oldest one that a process knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlierCatalogs {
    /// There were none.
    None,
    /// The oldest known one replaced another by this time.
    ReplacedBy(Instant),
    /// There was no change since this time.
    UnchangedSince(Instant),
}

impl EarlierCatalogs {
    /// Returns the name for logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::ReplacedBy(_) => "replaced",
            Self::UnchangedSince(_) => "unchanged",
        }
    }
}

/// Callers that may have asked under terms that this process doesn't know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UnknownTerms {
    /// When the last of these terms were replaced.
    until: Instant,
    /// Time for which callers come back that asked by then.
    caller_time: Duration,
}

/// Routes of earlier catalogs that have other terms now, for as long as callers come back for their streams.
#[derive(Debug, Clone, Default)]
pub struct PastRoutes {
    routes: Vec<PastRoute>,
    unknown: Option<UnknownTerms>,
}

impl PastRoutes {
    /// Records that the first catalog of this process comes into force.
    pub fn begin(&mut self, now: Instant) {
        self.set_earlier(EarlierCatalogs::ReplacedBy(now), Duration::ZERO);
    }

    /// Records the catalogs of the store's history, oldest first, of which the newest is that of this process or an earlier one.
    pub fn learn(
        &mut self,
        past: &[PastCatalog],
        earlier: EarlierCatalogs,
        present: &RouteTable,
        now: Instant,
    ) {
        let next = past.iter().skip(1).map(|c| (&c.table, c.written));
        for (old, (new, written)) in past.iter().zip(next) {
            self.replace(&old.table, new, written);
        }
        if let Some(last) = past.last() {
            // Where it is the present one, this records nothing.
            self.replace(&last.table, present, now);
        }
        let tables = past.iter().map(|c| &c.table).chain([present]);
        let routes = tables.flat_map(|t| &t.catalog().routes);
        let longest = routes.map(|r| r.timeout).max();
        self.set_earlier(earlier, longest.unwrap_or_default());
    }

    /// Records what is known of earlier catalogs; `longest` is the longest timeout of the known ones.
    fn set_earlier(&mut self, earlier: EarlierCatalogs, longest: Duration) {
        self.unknown = match earlier {
            EarlierCatalogs::None => None,
            EarlierCatalogs::ReplacedBy(until) => Some(UnknownTerms {
                until,
                caller_time: MAX_CALLER_TIME,
            }),
            EarlierCatalogs::UnchangedSince(until) => Some(UnknownTerms {
                until,
                caller_time: longest,
            }),
        };
    }

    /// Returns whether callers may still come back that asked under terms which this process doesn't know.
    ///
    /// Every instance has a new catalog in force within `apply_time`.
    pub fn has_unknown_terms(&self, apply_time: Duration, now: Instant) -> bool {
        self.unknown.is_some_and(|unknown| {
            now.saturating_duration_since(unknown.until + apply_time) <= unknown.caller_time
        })
    }

    /// Records that `table` comes into force in place of `previous`.
    pub fn replace(&mut self, previous: &RouteTable, table: &RouteTable, now: Instant) {
        self.routes
            .retain(|r| now.saturating_duration_since(r.until) <= HISTORY_TIME);
        for new in &table.catalog().routes {
            if let Some(old) = previous.route(&new.host, &new.prefix) {
                self.record(old, new, now);
            }
        }
        for old in &previous.catalog().routes {
            match table.route(&old.host, &old.prefix) {
                Some(new) => self.record(old, new, now),
                // It may come back with other terms.
                None => self.add(old, &old.prefix, now),
            }
        }
    }

    /// Records a route, if its requests get other terms by `new`.
    fn record(&mut self, old: &Route, new: &Route, now: Instant) {
        let served = services(old);
        let is_served = |id: &ServiceId| new.targets.iter().any(|t| t.service == *id);
        if old.timeout <= new.timeout && served.iter().all(is_served) {
            return;
        }
        // Requests that both routes match begin with the longer prefix.
        let is_longer = old.prefix.len() > new.prefix.len();
        let prefix = if is_longer { &old.prefix } else { &new.prefix };
        self.add(old, prefix, now);
    }

    /// Adds the terms that requests for `prefix` had until now.
    fn add(&mut self, old: &Route, prefix: &str, now: Instant) {
        let served = services(old);
        let is_same = |r: &&mut PastRoute| {
            r.host == old.host
                && *r.prefix == *prefix
                && r.timeout == old.timeout
                && r.services == served
        };
        if let Some(known) = self.routes.iter_mut().find(is_same) {
            known.until = known.until.max(now);
            return;
        }
        self.routes.push(PastRoute {
            host: old.host.clone(),
            prefix: prefix.into(),
            timeout: old.timeout,
            services: served,
            until: now,
        });
    }

    /// Returns the earlier terms of requests for `path` at `host`, which may include a port.
    ///
    /// Every instance has a new catalog in force within `apply_time`.
    pub fn terms(&self, host: &str, path: &str, apply_time: Duration) -> Vec<PastTerms> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let is_its =
            |r: &&PastRoute| r.host.eq_ignore_ascii_case(name) && path.starts_with(&*r.prefix);
        let routes = self.routes.iter().filter(is_its);
        let terms = routes.map(|r| PastTerms {
            timeout: r.timeout,
            services: r.services.clone(),
            until: r.until + apply_time,
        });
        terms.collect()
    }
}

/// Returns the shortest and the longest earlier timeout under which a caller that still waits may have asked; `None` if there is
/// none.
pub fn past_timeouts(past: &[PastTerms], now: Instant) -> Option<(Duration, Duration)> {
    let still_wait = |t: &&PastTerms| now.saturating_duration_since(t.until) <= t.timeout;
    let timeouts = past.iter().filter(still_wait).map(|t| t.timeout);
    Some((timeouts.clone().min()?, timeouts.max()?))
}

/// Returns the services that served a route since `begun_after`, of which `present` do so now.
pub fn services_since(
    present: &[ServiceId],
    past: &[PastTerms],
    begun_after: Instant,
) -> SmallVec<[ServiceId; 2]> {
    let past = past.iter().filter(|t| t.until >= begun_after);
    let all = present.iter().chain(past.flat_map(|t| &t.services));
    let mut services: SmallVec<[ServiceId; 2]> = all.copied().collect();
    services.sort_unstable();
    services.dedup();
    services
}

fn services(route: &Route) -> SmallVec<[ServiceId; 1]> {
    route.targets.iter().map(|t| t.service).collect()
}
