//! Builds a [`FleetConfig`] from INI texts.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::model::{
    Account, BackendServer, Completion, CostKind, FleetConfig, Grant, Pool, ResponseRules,
    RetryPolicy, ServerClass, Service,
};
use super::names::NameRegistry;
use crate::codes::Code;
use crate::ident::{AccountId, DomainId, PoolId, RegionId, ServerId, ServiceId};
use crate::ini::{Diagnostic, Reader, Section, parse_sections};
use crate::labels::{Labels, Selector, parse_labels};

const KINDS: &[&str] = &["domain", "account", "service", "server", "grant"];
const DEFAULT_QUEUE: usize = 256;
const DEFAULT_QUEUE_BYTES: usize = 16 << 20;
const DEFAULT_ESTIMATE: f64 = 100.0;
const DEFAULT_TIMEOUT_MS: f64 = 30_000.0;
const DEFAULT_STALL_MS: f64 = 30_000.0;
const DEFAULT_SLOTS: f64 = 8.0;
const MOST_SLOTS: f64 = 4096.0;
const MOST_SHARE: f64 = 1e6;

/// Parses the texts of one revision.
///
/// # Errors
/// Every fault of every text.
pub fn parse(revision: u64, texts: &[(&str, &str)]) -> Result<FleetConfig, Vec<Diagnostic>> {
    let mut faults = Vec::new();
    let mut config = FleetConfig {
        revision,
        ..FleetConfig::default()
    };
    let mut parts = Vec::new();
    for (file, text) in texts {
        match parse_sections(file, text) {
            Ok(sections) => parts.extend(sections.into_iter().map(|s| (*file, s))),
            Err(found) => faults.extend(found),
        }
    }
    // Servers refer to domains and services, so those come first whatever file they stand in.
    let mut names = NameRegistry::default();
    for kinds in [&["domain", "account", "service"][..], &["server", "grant"]] {
        for (file, section) in parts.iter().filter(|(_, s)| kinds.contains(&&*s.kind)) {
            let mut reader = Reader::new(file);
            claim_keys(&mut names, &mut reader, section);
            add_section(&mut config, &mut reader, section);
            faults.extend(reader.diagnostics);
        }
    }
    for (file, section) in parts.iter().filter(|(_, s)| !KINDS.contains(&&*s.kind)) {
        let mut reader = Reader::new(file);
        reader.reject_unknown_section(section, KINDS);
        faults.extend(reader.diagnostics);
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    config.grants.sort_by(|a, b| a.name.cmp(&b.name));
    classify(&mut config);
    build_pools(&mut config);
    Ok(config)
}

/// Refuses a section with a name whose key is another's.
fn claim_keys(names: &mut NameRegistry, reader: &mut Reader<'_>, section: &Section) {
    let name = &*section.name;
    let value = |key: &str| section.get(key).map(|e| e.value.clone());
    let mut keys: SmallVec<[(&'static str, u64, Box<str>); 2]> = SmallVec::new();
    match &*section.kind {
        "account" => keys.push(("account", AccountId::of(name).0, name.into())),
        "service" => keys.push(("service", ServiceId::of(name).0, name.into())),
        "domain" => {
            keys.push(("domain", DomainId::of(name).0, name.into()));
            keys.extend(value("region").map(|r| ("region", RegionId::of(&r).0, r)));
        }
        "server" => {
            keys.push(("server", ServerId::of(name).0, name.into()));
            if let (Some(service), Some(domain)) = (value("service"), value("domain")) {
                let pool = PoolId::of(ServiceId::of(&service), DomainId::of(&domain));
                keys.push(("pool", pool.0, format!("{service} in {domain}").into()));
            }
        }
        _ => {}
    }
    for (kind, key, name) in keys {
        if let Some(other) = names.register(kind, key, &name) {
            let what = format!("{kind}s `{other}` and `{name}` have one key; rename either");
            reader.report(Code::KeyCollision, section.line, 0, what);
        }
    }
}

fn add_section(config: &mut FleetConfig, reader: &mut Reader<'_>, section: &Section) {
    if section.name.is_empty() {
        let what = format!("section [{}] needs a name", section.kind);
        reader.report(Code::MissingKey, section.line, 0, what);
        return;
    }
    match &*section.kind {
        "domain" => add_domain(config, reader, section),
        "account" => add_account(config, reader, section),
        "service" => add_service(config, reader, section),
        "server" => add_server(config, reader, section),
        _ => add_grant(config, reader, section),
    }
}

fn add_domain(config: &mut FleetConfig, reader: &mut Reader<'_>, section: &Section) {
    reader.reject_unknown_keys(section, &["region"]);
    let Some(region) = reader.required(section, "region") else {
        return;
    };
    let id = DomainId::of(&section.name);
    let earlier = config.domains.insert(id, RegionId::of(&region));
    config.region_names.insert(RegionId::of(&region), region);
    config.domain_names.insert(id, section.name.clone());
    once(reader, section, earlier.is_some());
}

fn add_account(config: &mut FleetConfig, reader: &mut Reader<'_>, section: &Section) {
    reader.reject_unknown_keys(section, &["labels", "token", "max_queue", "max_bytes"]);
    let labels = labels_of(reader, section);
    let Some(token) = reader.required(section, "token") else {
        return;
    };
    let Ok(token) = blake3::Hash::from_hex(token.as_bytes()) else {
        let line = section.get("token").map_or(0, |e| e.line);
        reader.report(Code::BadValue, line, 0, "`token` is 64 hexadecimal digits");
        return;
    };
    let id = AccountId::of(&section.name);
    let account = Account {
        name: section.name.clone(),
        labels,
        token: *token.as_bytes(),
        max_queue: reader.parse_or(section, "max_queue", DEFAULT_QUEUE),
        max_bytes: reader.parse_or(section, "max_bytes", DEFAULT_QUEUE_BYTES),
    };
    if config.tokens.insert(account.token, id).is_some() {
        let line = section.get("token").map_or(0, |e| e.line);
        reader.report(Code::Duplicate, line, 0, "another account has this token");
    }
    let earlier = config.accounts.insert(id, account);
    once(reader, section, earlier.is_some());
}

fn add_service(config: &mut FleetConfig, reader: &mut Reader<'_>, section: &Section) {
    let known = [
        "repeat",
        "cost",
        "estimate",
        "timeout_ms",
        "complete",
        "resume",
        "stall_ms",
    ];
    reader.reject_unknown_keys(section, &known);
    let timeout = reader.number_in(section, "timeout_ms", DEFAULT_TIMEOUT_MS, 1.0..=3_600_000.0);
    let service = Service {
        name: section.name.clone(),
        retry: reader.choice(
            section,
            "repeat",
            &[
                ("allowed", RetryPolicy::Allowed),
                ("never", RetryPolicy::Never),
            ],
        ),
        cost: reader.choice(
            section,
            "cost",
            &[("reported", CostKind::Reported), ("time", CostKind::Time)],
        ),
        estimate: reader.number_in(section, "estimate", DEFAULT_ESTIMATE, 0.001..=1e9),
        timeout: Duration::from_secs_f64(timeout / 1000.0),
        response: answer_rule(reader, section),
    };
    let earlier = config
        .services
        .insert(ServiceId::of(&section.name), service);
    once(reader, section, earlier.is_some());
}

fn answer_rule(reader: &mut Reader<'_>, section: &Section) -> ResponseRules {
    let stall = reader.number_in(section, "stall_ms", DEFAULT_STALL_MS, 1.0..=3_600_000.0);
    ResponseRules {
        completion: reader.choice(
            section,
            "complete",
            &[
                ("length", Completion::Length),
                ("done-line", Completion::DoneLine),
            ],
        ),
        resume: reader.choice(section, "resume", &[("no", false), ("from", true)]),
        idle_timeout: Duration::from_secs_f64(stall / 1000.0),
    }
}

fn add_server(config: &mut FleetConfig, reader: &mut Reader<'_>, section: &Section) {
    let known = ["service", "domain", "address", "slots", "labels", "leaving"];
    reader.reject_unknown_keys(section, &known);
    let mut labels = labels_of(reader, section);
    let needed = (
        reader.required(section, "service"),
        reader.required(section, "domain"),
        reader.required(section, "address"),
    );
    let (Some(service), Some(domain), Some(address)) = needed else {
        return;
    };
    let ids = (ServiceId::of(&service), DomainId::of(&domain));
    if !config.services.contains_key(&ids.0) {
        unknown(reader, section, "service", &service);
    }
    if !config.domains.contains_key(&ids.1) {
        unknown(reader, section, "domain", &domain);
    }
    if address.parse::<std::net::SocketAddr>().is_err() {
        let line = section.get("address").map_or(0, |e| e.line);
        reader.report(Code::BadValue, line, 0, "`address` is IP:port");
    }
    if let Some(region) = config
        .domains
        .get(&ids.1)
        .and_then(|r| config.region_names.get(r))
    {
        labels.insert("region".into(), region.clone());
    }
    labels.insert("service".into(), service);
    labels.insert("domain".into(), domain);
    let server = BackendServer {
        name: section.name.clone(),
        service: ids.0,
        domain: ids.1,
        address,
        slots: reader.number_in(section, "slots", DEFAULT_SLOTS, 1.0..=MOST_SLOTS) as u16,
        labels,
        leaving: reader.choice(section, "leaving", &[("no", false), ("yes", true)]),
        class: 0,
    };
    let earlier = config.servers.insert(ServerId::of(&section.name), server);
    once(reader, section, earlier.is_some());
}

fn add_grant(config: &mut FleetConfig, reader: &mut Reader<'_>, section: &Section) {
    reader.reject_unknown_keys(section, &["accounts", "servers", "share"]);
    let grant = Grant {
        name: section.name.clone(),
        accounts: selector_of(reader, section, "accounts"),
        servers: selector_of(reader, section, "servers"),
        share: reader.number_in(section, "share", 1.0, 0.001..=MOST_SHARE),
    };
    let twice = config.grants.iter().any(|g| g.name == grant.name);
    config.grants.push(grant);
    once(reader, section, twice);
}

fn labels_of(reader: &mut Reader<'_>, section: &Section) -> Labels {
    let mut labels = Labels::new();
    if let Some(entry) = section.get("labels") {
        match parse_labels(&entry.value) {
            Ok(found) => labels = found,
            Err(e) => {
                let column = entry.column + e.column - 1;
                reader.report(Code::BadSelector, entry.line, column, e.message);
            }
        }
    }
    labels.insert("name".into(), section.name.clone());
    labels
}

fn selector_of(reader: &mut Reader<'_>, section: &Section, key: &str) -> Selector {
    if reader.required(section, key).is_none() {
        return Selector::default();
    }
    let Some(entry) = section.get(key) else {
        return Selector::default();
    };
    match Selector::parse(&entry.value) {
        Ok(selector) => selector,
        Err(e) => {
            let column = entry.column + e.column - 1;
            reader.report(Code::BadSelector, entry.line, column, e.message);
            Selector::default()
        }
    }
}

fn once(reader: &mut Reader<'_>, section: &Section, twice: bool) {
    if twice {
        let what = format!("[{} {}] stands twice", section.kind, section.name);
        reader.report(Code::Duplicate, section.line, 0, what);
    }
}

fn unknown(reader: &mut Reader<'_>, section: &Section, key: &str, name: &str) {
    let line = section.get(key).map_or(0, |e| e.line);
    reader.report(
        Code::UnknownReference,
        line,
        0,
        format!("no {key} is called `{name}`"),
    );
}

/// Groups servers that the same grants select, so that a share is looked up by class.
fn classify(config: &mut FleetConfig) {
    let mut classes: BTreeMap<Vec<usize>, u16> = BTreeMap::new();
    for server in config.servers.values_mut() {
        let signature: Vec<usize> = config
            .grants
            .iter()
            .enumerate()
            .filter(|(_, g)| g.servers.matches(&server.labels))
            .map(|(index, _)| index)
            .collect();
        let next = classes.len() as u16;
        server.class = *classes.entry(signature).or_insert(next);
    }
    let members: Vec<Vec<AccountId>> = config.grants.iter().map(|g| members(config, g)).collect();
    config.classes = vec![ServerClass::default(); classes.len()];
    for (signature, class) in classes {
        let shares = &mut config.classes[usize::from(class)].shares;
        for index in signature {
            let share = config.grants[index].share;
            for account in &members[index] {
                let entry = shares.entry(*account).or_insert(share);
                *entry = entry.max(share);
            }
        }
    }
}

fn members(config: &FleetConfig, grant: &Grant) -> Vec<AccountId> {
    config
        .accounts
        .iter()
        .filter(|(_, a)| grant.accounts.matches(&a.labels))
        .map(|(id, _)| *id)
        .collect()
}

fn build_pools(config: &mut FleetConfig) {
    for (id, server) in &config.servers {
        let pool = PoolId::of(server.service, server.domain);
        let region = config.domains[&server.domain];
        let entry = config.pools.entry(pool).or_insert_with(|| Pool {
            service: server.service,
            domain: server.domain,
            region,
            servers: Vec::new(),
        });
        entry.servers.push(*id);
    }
    for (id, pool) in &config.pools {
        config
            .pools_by_service
            .entry(pool.service)
            .or_default()
            .push(*id);
    }
}
