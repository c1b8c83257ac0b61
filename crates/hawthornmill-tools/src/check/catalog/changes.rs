//! Differences between a catalog and the one in force.

use std::collections::{BTreeMap, BTreeSet};

use hawthornmill::codes::Code;
use hawthornmill::routing::catalog::{Account, Catalog, Limits, Route, Service, Target};
use hawthornmill::routing::route_table::RouteTable;

use super::finding::Findings;
use super::names::Names;

/// Values of an entry by label, for messages.
type Fields = Vec<(&'static str, String)>;

/// Reports what `candidate` changes of `present`.
pub fn check_changes(present: &Catalog, candidate: &Catalog, names: &Names, found: &mut Findings) {
    check_version(present, candidate, found);
    compare_routes(present, candidate, names, found);
    compare_services(present, candidate, found);
    compare_accounts(present, candidate, names, found);
    if present.limits != candidate.limits {
        let (before, after) = (
            limit_fields(&present.limits),
            limit_fields(&candidate.limits),
        );
        let what = format!("changed: limits{}", describe_change(&before, &after));
        found.add(Code::EntryChanged, what);
    }
}

fn check_version(present: &Catalog, candidate: &Catalog, found: &mut Findings) {
    let (before, after) = (present.version, candidate.version);
    if after <= before && present != candidate {
        let what = format!("never in force: version {after} is not above {before}");
        found.add(Code::VersionTooLow, what);
    }
}

fn route_key(route: &Route) -> String {
    format!("{}{}", route.host, route.prefix)
}

fn compare_routes(present: &Catalog, candidate: &Catalog, names: &Names, found: &mut Findings) {
    let before = index_by(&present.routes, route_key);
    let after = index_by(&candidate.routes, route_key);
    let describe = |old: &Route, new: &Route| {
        describe_change(&route_fields(old, names), &route_fields(new, names))
    };
    compare("route", &before, &after, describe, found);
    let table = RouteTable::new(candidate.clone()).ok();
    for (key, route) in before.iter().filter(|(k, _)| !after.contains_key(*k)) {
        let next = table
            .as_ref()
            .and_then(|t| t.route(&route.host, &route.prefix));
        let rest = match next {
            Some(next) => format!("route {} takes its requests", next.name),
            None => format!("its requests are refused with {}", Code::NotFound.number()),
        };
        found.add(Code::RouteRemoved, format!("removed: route {key}: {rest}"));
    }
    let hosts =
        |c: &Catalog| -> BTreeSet<Box<str>> { c.routes.iter().map(|r| r.host.clone()).collect() };
    for host in hosts(present).difference(&hosts(candidate)) {
        let what = format!("host {host} has no route any more");
        found.add(Code::HostRemoved, what);
    }
}

fn compare_services(present: &Catalog, candidate: &Catalog, found: &mut Findings) {
    let key = |s: &Service| s.name.to_string();
    let before = index_by(&present.services, key);
    let after = index_by(&candidate.services, key);
    let describe =
        |old: &Service, new: &Service| describe_change(&service_fields(old), &service_fields(new));
    compare("service", &before, &after, describe, found);
    for key in before.keys().filter(|k| !after.contains_key(*k)) {
        found.add(Code::ServiceRemoved, format!("removed: service {key}"));
    }
}

fn compare_accounts(present: &Catalog, candidate: &Catalog, names: &Names, found: &mut Findings) {
    let key = |a: &Account| a.name.to_string();
    let before = index_by(&present.accounts, key);
    let after = index_by(&candidate.accounts, key);
    let describe = |old: &Account, new: &Account| {
        describe_change(&account_fields(old, names), &account_fields(new, names))
            + &describe_tokens(old, new)
    };
    compare("account", &before, &after, describe, found);
    for key in before.keys().filter(|k| !after.contains_key(*k)) {
        found.add(Code::EntryRemoved, format!("removed: account {key}"));
    }
    if after.is_empty() && !before.is_empty() {
        let what = "all accounts are removed: callers need no token any more";
        found.add(Code::AccountsRemoved, what);
    }
}

/// Returns how many tokens change; a token is never shown.
fn describe_tokens(old: &Account, new: &Account) -> String {
    if old.tokens == new.tokens {
        return String::new();
    }
    let added = new.tokens.iter().filter(|t| !old.tokens.contains(t));
    let removed = old.tokens.iter().filter(|t| !new.tokens.contains(t));
    format!(", tokens +{} -{}", added.count(), removed.count())
}

fn index_by<T>(list: &[T], key: impl Fn(&T) -> String) -> BTreeMap<String, &T> {
    list.iter().map(|entry| (key(entry), entry)).collect()
}

/// Reports the entries of one kind that are added or changed.
fn compare<T: PartialEq>(
    kind: &str,
    before: &BTreeMap<String, &T>,
    after: &BTreeMap<String, &T>,
    describe: impl Fn(&T, &T) -> String,
    found: &mut Findings,
) {
    for (key, entry) in after {
        match before.get(key) {
            None => found.add(Code::EntryAdded, format!("added: {kind} {key}")),
            Some(old) if old != entry => {
                let change = describe(old, entry);
                found.add(Code::EntryChanged, format!("changed: {kind} {key}{change}"));
            }
            Some(_) => {}
        }
    }
}

/// Returns the fields that differ, each after a comma; empty if none of those shown does.
fn describe_change(before: &Fields, after: &Fields) -> String {
    let pairs = before.iter().zip(after);
    let changed = pairs.filter(|(old, new)| old != new);
    changed.fold(String::new(), |text, ((label, old), (_, new))| {
        text + &format!(", {label} {old} -> {new}")
    })
}

fn route_fields(route: &Route, names: &Names) -> Fields {
    let target = |t: &Target| format!("{}*{}", names.service(t.service), t.weight);
    let targets: Vec<String> = route.targets.iter().map(target).collect();
    vec![
        ("name", route.name.to_string()),
        ("targets", targets.join(" ")),
        ("retries", format!("{:?}", route.retry_policy)),
        ("stream", route.streaming.to_string()),
        ("timeout", format!("{:?}", route.timeout)),
        ("objective", format!("{:?}", route.objective)),
        ("priority", route.priority.to_string()),
        ("attempts", route.max_attempts.to_string()),
        ("public", route.public.to_string()),
        ("regions", names.regions(&route.allowed_regions)),
    ]
}

fn service_fields(service: &Service) -> Fields {
    let engine = service.engine;
    let cold = service.cold_start;
    let or_none = |text: Option<String>| text.unwrap_or_else(|| "none".into());
    vec![
        ("connections", service.max_connections.to_string()),
        ("slots", or_none(engine.map(|e| e.slots.to_string()))),
        (
            "KV capacity",
            or_none(engine.map(|e| e.kv_capacity.to_string())),
        ),
        (
            "copy time",
            or_none(engine.map(|e| format!("{:?}", e.copy_time))),
        ),
        ("cold time", or_none(cold.map(|c| format!("{:?}", c.time)))),
        ("cold rate", or_none(cold.map(|c| c.rate.to_string()))),
    ]
}

/// Returns the fields of an account without its tokens, which are only counted.
fn account_fields(account: &Account, names: &Names) -> Fields {
    let priority = account.priority.map(|p| p.to_string());
    vec![
        ("priority", priority.unwrap_or_else(|| "none".into())),
        ("regions", names.regions(&account.allowed_regions)),
    ]
}

fn limit_fields(limits: &Limits) -> Fields {
    vec![
        ("head bytes", limits.header_bytes.to_string()),
        ("body bytes", limits.body_bytes.to_string()),
        ("head time", format!("{:?}", limits.header_timeout)),
        ("idle time", format!("{:?}", limits.idle_timeout)),
        ("token rate", limits.token_rate.to_string()),
    ]
}
