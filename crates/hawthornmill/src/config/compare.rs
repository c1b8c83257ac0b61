//! What a candidate would change, and what in it looks like a mistake.

use std::collections::{BTreeMap, BTreeSet};

use super::entitlement::entitlements;
use super::model::FleetConfig;
use crate::ident::{AccountId, ServerId};
use crate::labels::{Labels, Selector};

/// Labels that every server has; nobody has to use them.
const IMPLICIT: &[&str] = &["name", "service", "domain", "region"];
/// Smallest change of an owed part that is told.
const TOLD: f64 = 0.001;

/// Servers that accounts gain and lose.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Access {
    /// Servers that become open, by name.
    pub gained: Vec<Box<str>>,
    /// Servers that are open no longer, by name.
    pub lost: Vec<Box<str>>,
}

/// An owed part before and after, from 0 to 1.
#[derive(Debug, Clone, PartialEq)]
pub struct EntitlementChange {
    /// Service by name.
    pub service: Box<str>,
    /// Account by name.
    pub account: Box<str>,
    /// Part of the service's slots before; 0 where there was none.
    pub before: f64,
    /// The same after.
    pub after: f64,
}

/// What a candidate would change.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Comparison {
    /// Accounts by name that gain or lose the same servers, with those.
    pub access: BTreeMap<Access, Vec<Box<str>>>,
    /// Entitlements parts that change.
    pub entitlements: Vec<EntitlementChange>,
    /// Number of owed parts that stay as they are.
    pub unchanged: usize,
}

/// Compares `after` with `before`. A leaving server is open to nobody.
pub fn compare(before: &FleetConfig, after: &FleetConfig) -> Comparison {
    let mut result = Comparison::default();
    let accounts: BTreeSet<AccountId> = before
        .accounts
        .keys()
        .chain(after.accounts.keys())
        .copied()
        .collect();
    for account in accounts {
        let (old, new) = (open(before, account), open(after, account));
        let access = Access {
            gained: new.difference(&old).cloned().collect(),
            lost: old.difference(&new).cloned().collect(),
        };
        if !access.gained.is_empty() || !access.lost.is_empty() {
            let known = after.accounts.get(&account);
            let name = known.or_else(|| before.accounts.get(&account));
            let names = result.access.entry(access).or_default();
            names.extend(name.map(|a| a.name.clone()));
        }
    }
    compare_owed(before, after, &mut result);
    result
}

fn open(config: &FleetConfig, account: AccountId) -> BTreeSet<Box<str>> {
    let is_open = |id: ServerId| config.share(account, id).is_some();
    config
        .servers
        .iter()
        .filter(|(id, server)| !server.leaving && is_open(**id))
        .map(|(_, server)| server.name.clone())
        .collect()
}

fn compare_owed(before: &FleetConfig, after: &FleetConfig, result: &mut Comparison) {
    let (old, new) = (entitlements(before), entitlements(after));
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).copied().collect();
    for key in keys {
        let of = |parts: &super::entitlement::Entitlements| parts.get(&key).copied().unwrap_or(0.0);
        let (was, is) = (of(&old), of(&new));
        if (is - was).abs() < TOLD {
            result.unchanged += 1;
            continue;
        }
        let service = after.services.get(&key.0).or(before.services.get(&key.0));
        let account = after.accounts.get(&key.1).or(before.accounts.get(&key.1));
        if let (Some(service), Some(account)) = (service, account) {
            result.entitlements.push(EntitlementChange {
                service: service.name.clone(),
                account: account.name.clone(),
                before: was,
                after: is,
            });
        }
    }
    result
        .entitlements
        .sort_by(|a, b| (&a.service, &a.account).cmp(&(&b.service, &b.account)));
}

/// What in a good configuration looks like a mistake, in words.
pub fn warnings(config: &FleetConfig) -> Vec<String> {
    let mut list = Vec::new();
    for (id, account) in &config.accounts {
        if !config
            .services
            .keys()
            .any(|s| config.can_use_service(*id, *s))
        {
            list.push(format!("account {} may use no server", account.name));
        }
    }
    for server in config.servers.values() {
        if config.classes[usize::from(server.class)].shares.is_empty() {
            list.push(format!("server {} is open to no account", server.name));
        }
    }
    for (id, service) in &config.services {
        if !config.pools_by_service.contains_key(id) {
            list.push(format!("service {} has no server", service.name));
        }
    }
    let accounts: Vec<&Labels> = config.accounts.values().map(|a| &a.labels).collect();
    let servers: Vec<&Labels> = config.servers.values().map(|s| &s.labels).collect();
    for grant in &config.grants {
        if !accounts.iter().any(|l| grant.accounts.matches(l)) {
            let name = &grant.name;
            list.push(format!("grant {name}: its selector matches no account"));
        }
        if !servers.iter().any(|l| grant.servers.matches(l)) {
            let name = &grant.name;
            list.push(format!("grant {name}: its selector matches no server"));
        }
    }
    let of_accounts: Vec<&Selector> = config.grants.iter().map(|g| &g.accounts).collect();
    let of_servers: Vec<&Selector> = config.grants.iter().map(|g| &g.servers).collect();
    for key in unused(&accounts, &of_accounts) {
        list.push(format!("label {key} of accounts is used by no selector"));
    }
    for key in unused(&servers, &of_servers) {
        list.push(format!("label {key} of servers is used by no selector"));
    }
    list.sort();
    list
}

/// Label keys that no selector looks at.
fn unused<'a>(labels: &[&'a Labels], selectors: &[&Selector]) -> BTreeSet<&'a str> {
    let used: BTreeSet<&str> = selectors.iter().flat_map(|s| s.keys()).collect();
    labels
        .iter()
        .flat_map(|l| l.keys())
        .map(|key| &**key)
        .filter(|key| !used.contains(key) && !IMPLICIT.contains(key))
        .collect()
}
