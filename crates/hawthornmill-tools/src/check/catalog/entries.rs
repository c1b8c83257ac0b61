//! Entries of a catalog that can never match, and names and tokens that mean two things.

use std::collections::{BTreeMap, BTreeSet};

use hawthornmill::codes::Code;
use hawthornmill::ident::{RegionId, ServiceId};
use hawthornmill::routing::catalog::{Account, Catalog, Route, TokenDigest};
use hawthornmill::routing::regions::AllowedRegions;
use hawthornmill::routing::route_table::RouteTable;

use super::super::show::format_names;
use super::finding::Findings;
use super::fleet::Fleet;
use super::names::Names;

/// Reports routes that no request can match.
///
/// The gateway's own lookup decides, so equal routes and routes behind others are found by the rule in force. It needs a
/// catalog without faults.
pub fn check_routes(catalog: &Catalog, found: &mut Findings) {
    let Ok(table) = RouteTable::new(catalog.clone()) else {
        return;
    };
    for route in &catalog.routes {
        if let Some(why) = reason_unmatched(&table, route) {
            let what = format!("route {}: no request can match it: {why}", route.name);
            found.add(Code::RouteUnmatched, what);
        }
    }
}

fn reason_unmatched(table: &RouteTable, route: &Route) -> Option<String> {
    let (host, prefix) = (&route.host, &route.prefix);
    if !is_host_name(host) {
        return Some(format!("`{host}` is no host name without a port"));
    }
    if !is_path(prefix) {
        return Some(format!("`{prefix}` has characters that no path has"));
    }
    let limit = table.limits().header_bytes;
    let shortest = format!("GET {prefix} HTTP/1.1\r\nHost: {host}\r\n\r\n").len();
    if shortest > limit {
        return Some(format!(
            "its shortest request head has {shortest} bytes, and the limit is {limit}"
        ));
    }
    match table.route(host, prefix) {
        Some(first) if first == route => None,
        Some(first) => Some(format!("route {} takes its requests", first.name)),
        None => Some("its host and prefix aren't found".into()),
    }
}

fn is_host_name(host: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-._".contains(c);
    !host.is_empty() && host.chars().all(is_plain)
}

fn is_path(prefix: &str) -> bool {
    let is_allowed = |b: u8| b > b' ' && b != 0x7f && b != b'?' && b != b'#';
    prefix.bytes().all(is_allowed)
}

/// Reports services that get no requests, or that have no server, and targets without requests.
pub fn check_services(catalog: &Catalog, fleet: &Fleet, names: &Names, found: &mut Findings) {
    let targets = catalog.routes.iter().flat_map(|r| &r.targets);
    let used: BTreeSet<ServiceId> = targets
        .filter(|t| t.weight > 0)
        .map(|t| t.service)
        .collect();
    for service in &catalog.services {
        let name = &service.name;
        if !used.contains(&service.id) {
            let what = format!("service {name}: no route sends requests to it");
            found.add(Code::ServiceUnused, what);
        } else if fleet.lacks_servers(service.id) {
            let what = format!("service {name}: no server is registered for it");
            found.add(Code::ServiceWithoutServer, what);
        }
    }
    for route in &catalog.routes {
        check_targets(route, names, found);
    }
}

fn check_targets(route: &Route, names: &Names, found: &mut Findings) {
    let mut seen = BTreeSet::new();
    let has_others = route.targets.iter().any(|t| t.weight > 0);
    for target in &route.targets {
        let (name, service) = (&route.name, names.service(target.service));
        if target.weight == 0 && has_others {
            let what = format!("route {name}: target {service} has a weight that counts as 0");
            found.add(Code::TargetUnused, what);
        }
        if !seen.insert(target.service) {
            let what = format!("route {name}: target {service} occurs twice");
            found.add(Code::TargetUnused, what);
        }
    }
}

/// Reports regions that no server is in, and routes that no region can serve.
pub fn check_regions(catalog: &Catalog, fleet: &Fleet, names: &Names, found: &mut Findings) {
    let mut report = |kind: &str, name: &str, allowed: &AllowedRegions| {
        for region in unknown_regions(allowed, fleet) {
            let what = format!(
                "{kind} {name}: no server is in region {}",
                names.region(region)
            );
            found.add(Code::RegionUnknown, what);
        }
    };
    for route in &catalog.routes {
        report("route", &route.name, &route.allowed_regions);
    }
    for account in &catalog.accounts {
        report("account", &account.name, &account.allowed_regions);
    }
    for route in &catalog.routes {
        check_bounds(catalog, route, fleet, found);
    }
}

fn unknown_regions(allowed: &AllowedRegions, fleet: &Fleet) -> Vec<RegionId> {
    let AllowedRegions::Only(regions) = allowed else {
        return Vec::new();
    };
    let lacking = regions.iter().filter(|r| fleet.lacks_region(**r));
    lacking.copied().collect()
}

fn check_bounds(catalog: &Catalog, route: &Route, fleet: &Fleet, found: &mut Findings) {
    // A route without any server is reported by its services already.
    if !fleet.serves(route, &AllowedRegions::Any) {
        return;
    }
    let name = &route.name;
    if !fleet.serves(route, &route.allowed_regions) {
        let what = format!("route {name}: no region can serve it");
        found.add(Code::RouteUnserved, what);
        return;
    }
    let bounds = |a: &Account| route.allowed_regions.intersect(&a.allowed_regions);
    let callers = catalog.accounts.iter().filter(|_| !route.public);
    let unserved = callers.filter(|a| !fleet.serves(route, &bounds(a)));
    let unserved: Vec<Box<str>> = unserved.map(|a| a.name.clone()).collect();
    if !unserved.is_empty() {
        let accounts = format_names("account", &unserved);
        let what = format!("route {name}: no region can serve it for {accounts}");
        found.add(Code::RouteUnserved, what);
    }
}

/// Reports accounts without tokens, and tokens that don't identify one account.
pub fn check_accounts(catalog: &Catalog, found: &mut Findings) {
    let empty = TokenDigest::of(b"");
    let mut owners: BTreeMap<TokenDigest, &str> = BTreeMap::new();
    for account in &catalog.accounts {
        let name = &*account.name;
        if account.tokens.is_empty() {
            let what = format!("account {name}: it has no token, so no request is its own");
            found.add(Code::AccountWithoutToken, what);
        }
        for token in &account.tokens {
            if *token == empty {
                found.add(
                    Code::TokenEmpty,
                    format!("account {name}: a token is empty"),
                );
            }
            if let Some(other) = owners.insert(*token, name).filter(|o| *o != name) {
                let what = format!("account {name}: account {other} has the same token");
                found.add(Code::TokenShared, what);
            }
        }
    }
}

/// Reports names that two services, accounts or routes have.
pub fn check_names(catalog: &Catalog, found: &mut Findings) {
    let services = catalog.services.iter().map(|s| &*s.name);
    for name in repeated(services) {
        found.add(
            Code::NameDefinedTwice,
            format!("service {name} is defined twice; the last one counts"),
        );
    }
    let accounts = catalog.accounts.iter().map(|a| &*a.name);
    for name in repeated(accounts) {
        found.add(
            Code::NameDefinedTwice,
            format!("account {name} is defined twice; both share one count"),
        );
    }
    let routes = catalog.routes.iter().map(|r| &*r.name);
    for name in repeated(routes) {
        found.add(
            Code::RouteNameShared,
            format!("route {name}: another route has the same name in logs"),
        );
    }
}

fn repeated<'a>(names: impl Iterator<Item = &'a str>) -> BTreeSet<&'a str> {
    let mut seen = BTreeSet::new();
    names.filter(|name| !seen.insert(*name)).collect()
}
