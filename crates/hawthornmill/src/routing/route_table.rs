//! Lookup of the route and the account of a request.

use std::collections::{BTreeMap, BTreeSet};

use super::catalog::{
    Account, Catalog, Limits, RetryPolicy, Route, Service, TokenDigest, validate,
};
use crate::codes::Code;
use crate::ident::ServiceId;

/// Removed tokens that are remembered; of more, only the newest catalog's.
const MAX_REMOVED_TOKENS: usize = 4_096;

/// An indexed catalog in force.
#[derive(Debug, Clone)]
pub struct RouteTable {
    catalog: Catalog,
    /// Indexes of routes by host, longest prefix first.
    hosts: BTreeMap<Box<str>, Vec<usize>>,
    accounts_by_token: BTreeMap<TokenDigest, usize>,
    services: BTreeMap<ServiceId, usize>,
    /// Tokens of earlier catalogs that are in none since.
    removed_tokens: BTreeSet<TokenDigest>,
}

/// On whose behalf a request is made.
#[derive(Debug, Clone, Copy)]
pub enum Caller<'a> {
    /// The token belongs to this account.
    Account(&'a Account),
    /// The route needs no token, and no known one was sent.
    Anonymous,
}

impl RouteTable {
    /// Indexes `catalog`.
    ///
    /// # Errors
    /// Returns the fault that [`validate`] finds.
    pub fn new(catalog: Catalog) -> Result<Self, (Code, Box<str>)> {
        validate(&catalog)?;
        let mut hosts: BTreeMap<Box<str>, Vec<usize>> = BTreeMap::new();
        for (index, route) in catalog.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|i| std::cmp::Reverse(catalog.routes[*i].prefix.len()));
        }
        let accounts = catalog.accounts.iter().enumerate();
        let accounts_by_token = accounts
            .flat_map(|(index, account)| account.tokens.iter().map(move |t| (*t, index)))
            .collect();
        let services = catalog.services.iter().enumerate();
        let services = services.map(|(index, s)| (s.id, index)).collect();
        Ok(Self {
            catalog,
            hosts,
            accounts_by_token,
            services,
            removed_tokens: BTreeSet::new(),
        })
    }

    /// Remembers the tokens that `previous`, the catalog before this one, had and this one hasn't.
    #[must_use]
    pub fn succeeding(mut self, previous: &Self) -> Self {
        let is_removed = |token: &&TokenDigest| !self.accounts_by_token.contains_key(*token);
        let mut removed: BTreeSet<TokenDigest> = previous
            .accounts_by_token
            .keys()
            .filter(is_removed)
            .copied()
            .collect();
        if removed.len() + previous.removed_tokens.len() <= MAX_REMOVED_TOKENS {
            removed.extend(previous.removed_tokens.iter().filter(is_removed));
        }
        self.removed_tokens = removed;
        self
    }

    /// Returns the catalog as published.
    pub const fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the version of the catalog.
    pub const fn version(&self) -> u64 {
        self.catalog.version
    }

    /// Returns the limits on callers.
    pub const fn limits(&self) -> &Limits {
        &self.catalog.limits
    }

    /// Returns the service with key `id`.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(&id).map(|i| &self.catalog.services[*i])
    }

    /// Returns whether a route of the service has streams that may go on at another server.
    pub fn resumes_streams(&self, service: ServiceId) -> bool {
        let mut routes = self.catalog.routes.iter();
        routes.any(|r| {
            r.retry_policy == RetryPolicy::Resumable
                && r.targets.iter().any(|t| t.service == service)
        })
    }

    /// Returns the route with the longest prefix of `path` at `host`, which may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let list = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let routes = list.iter().map(|i| &self.catalog.routes[*i]);
        routes.into_iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the caller that `token` identifies, or `None` when the request must be refused.
    pub fn authenticate(&self, route: &Route, token: Option<&[u8]>) -> Option<Caller<'_>> {
        if self.catalog.accounts.is_empty() {
            return Some(Caller::Anonymous);
        }
        match token.and_then(|t| self.account(t)) {
            Some(account) => Some(Caller::Account(account)),
            None if route.public => Some(Caller::Anonymous),
            None => None,
        }
    }

    /// Returns the account that `token` identifies.
    pub fn account(&self, token: &[u8]) -> Option<&Account> {
        let index = self.accounts_by_token.get(&TokenDigest::of(token))?;
        Some(&self.catalog.accounts[*index])
    }

    /// Returns whether an earlier catalog had `token`, and this one took it away.
    pub fn has_removed(&self, token: &[u8]) -> bool {
        !self.removed_tokens.is_empty() && self.removed_tokens.contains(&TokenDigest::of(token))
    }

    /// Returns whether callers need tokens at all.
    pub const fn has_accounts(&self) -> bool {
        !self.catalog.accounts.is_empty()
    }
}

/// Picks a service of `route` by weight, for a `draw` between 0 and 1.
pub fn pick_service(route: &Route, draw: f64) -> ServiceId {
    let total: f64 = route.targets.iter().map(|t| f64::from(t.weight)).sum();
    let mut left = draw * total;
    for target in &route.targets {
        left -= f64::from(target.weight);
        if left < 0.0 {
            return target.service;
        }
    }
    // A draw of exactly 1 is past the last target.
    let usable = route.targets.iter().rfind(|t| t.weight > 0);
    usable.map_or(route.targets[0].service, |t| t.service)
}
