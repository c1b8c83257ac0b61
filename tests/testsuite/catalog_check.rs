//! The check of a gateway catalog before it is published.

use hawthornmill::routing::registry::Registration;
use hawthornmill_platform::registration::parse as parse_registration;
use hawthornmill_tools::check::catalog::finding::Report;
use hawthornmill_tools::check::catalog::{Document, Input, check};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Settings without a retry budget, in which `more` follows the section `[promises]`.
fn settings(more: &str) -> String {
    let text = "[instance]\nname = g\ndomain = a\nregion = north\n[listen]\nfront = 127.0.0.1:1\n\
        ready = 127.0.0.1:2\ndirectory = 127.0.0.1:3\npeer = 127.0.0.1:4\n[peers]\nkey = KEY\n[domain a]\n\
        region = north\n[domain b]\nregion = south\n[store]\naddress = 127.0.0.1:5\n[promises]\n\
        resend_ratio = 0\nresend_extra = 0\n";
    format!("{}{more}", text.replace("KEY", &"0".repeat(64)))
}

fn document(name: &str, text: &str) -> Document {
    Document {
        name: name.into(),
        bytes: text.into(),
    }
}

fn input(catalog: &Value) -> Input {
    Input {
        candidate: document("new", &catalog.to_string()),
        ..Input::default()
    }
}

fn with_settings(catalog: &Value, text: &str) -> Input {
    Input {
        settings: Some(document("ini", text)),
        ..input(catalog)
    }
}

fn compare(present: &Value, candidate: &Value) -> Report {
    check(&Input {
        present: Some(document("old", &present.to_string())),
        ..input(candidate)
    })
}

/// A route of the service `s` with the keys of `more`.
fn route(name: &str, more: &Value) -> Value {
    let mut route = json!({"name": name, "host": "h", "pathPrefix": format!("/{name}/"), "kind": "idempotent",
        "timeoutMs": 900, "targetLatencyMs": 300, "service": "s", "maxAttempts": 2});
    let fields = route.as_object_mut().expect("it is an object");
    fields.extend(more.as_object().cloned().unwrap_or_default());
    route
}

/// A catalog in which nothing is found, with `routes` in place of the usual ones.
fn catalog(version: u64, routes: &Value) -> Value {
    json!({"version": version, "routes": routes, "services": [{"name": "s", "maxConnections": 9}],
        "tenants": [{"name": "lab", "apiKeys": ["key"]}]})
}

fn plain(version: u64) -> Value {
    catalog(
        version,
        &json!([route("a", &json!({})), route("a/b", &json!({}))]),
    )
}

fn server(service: &str, zone: &str, state: &str) -> Registration {
    let entry = json!({"service": service, "address": "127.0.0.1:9", "zone": zone, "version": "v", "slots": 1,
        "state": state});
    parse_registration("i", entry.to_string().as_bytes()).expect("the entry is valid")
}

/// Failure: a sound catalog with a route behind a narrower one of the same host is not accepted.
#[test]
fn nothing_is_found_in_a_sound_catalog() {
    let settings = settings("").replace("resend_ratio = 0\n", "resend_ratio = 0.1\n");
    let report = check(&with_settings(&plain(4), &settings));

    assert_eq!(report.findings, []);
    assert_eq!(report.exit_code(), 0);
}

/// Failure: only the first fault is reported, or one that gateways accept but that fails requests isn't.
#[test]
fn all_errors_are_reported() {
    let mut catalog = catalog(
        0,
        &json!([
            route("a", &json!({"pathPrefix": "/a"})),
            route("b", &json!({"service": "missing"})),
            route(
                "c",
                &json!({"service": null, "trafficSplit": [{"service": "s", "weight": -1}]})
            ),
            route("d", &json!({"pathPrefix": "/b/", "timeoutMs": 0})),
            route(
                "e",
                &json!({"service": null, "trafficSplit": [{"service": "s", "weight": 4e6},
                {"service": "t", "weight": 4e6}]})
            ),
        ]),
    );
    catalog["services"] = json!([{"name": "s"}, {"name": "s"}, {"name": "t"}]);
    catalog["tenants"] = json!([{"name": "x", "apiKeys": ["k", ""]}, {"name": "y", "apiKeys": ["k"]},
        {"name": "y", "apiKeys": ["l"]}]);
    catalog["limits"] =
        json!({"maxHeaderBytes": 0, "maxBodyBytes": 0, "headerTimeoutMs": -5, "idleTimeoutMs": 0});

    let report = check(&input(&catalog));

    insta::assert_snapshot!(report.problems(), @r"
    new: error 1006: route a: prefix `/a` must begin and end with a slash
    new: error 1006: route c has no target with a weight above 0
    new: error 1007: route d: duplicate host and prefix h/b/
    new: error 2002: route b names an unknown service missing
    new: error 5101: limits: the size of a request's head is 0
    new: error 5101: limits: the size of a request's body is 0
    new: error 5101: limits: the time for a request's head is 0
    new: error 5101: limits: the idle time of a connection is 0
    new: error 5101: route d: the timeout is 0
    new: error 5102: service s is defined twice; the last one counts
    new: error 5102: account y is defined twice; both share one count
    new: error 5103: account y: account x has the same token
    new: error 5104: account x: a token is empty
    new: error 5105: route e: the sum of the weights is too large
    new: error 5106: never in force: gateways start with version 0
    ");
    assert_eq!(report.exit_code(), 2);
}

/// Failure: an entry that never matches or a value without effect goes unnoticed.
#[test]
fn entries_without_effect_are_reported() {
    let mut catalog = catalog(
        4,
        &json!([
            route("port", &json!({"host": "h:80"})),
            route("query", &json!({"pathPrefix": "/a?b/"})),
            route(
                "long",
                &json!({"pathPrefix": format!("/{}/", "x".repeat(200))})
            ),
            route(
                "split",
                &json!({"trafficSplit": [{"service": "s", "weight": 1}], "resumable": true})
            ),
            route(
                "zero",
                &json!({"service": null, "maxAttempts": 0, "trafficSplit": [
                {"service": "s", "weight": 1}, {"service": "s", "weight": 1}, {"service": "t", "weight": 0.0001}]})
            ),
            route("zero", &json!({"host": "other"})),
        ]),
    );
    catalog["services"] = json!([{"name": "s", "coldStartS": 3}, {"name": "t"}]);
    catalog["tenants"] = json!([{"name": "lab"}]);
    catalog["limits"] = json!({"maxHeaderBytes": 200, "tokensPerS": -1});

    let report = check(&input(&catalog));

    insta::assert_snapshot!(report.problems(), @r"
    new: warning 5201: route port: no request can match it: `h:80` is no host name without a port
    new: warning 5201: route query: no request can match it: `/a?b/` has characters that no path has
    new: warning 5201: route long: no request can match it: its shortest request head has 228 bytes, and the limit is 200
    new: warning 5204: service t: no route sends requests to it
    new: warning 5205: route zero: target s occurs twice
    new: warning 5205: route zero: target t has a weight that counts as 0
    new: warning 5206: account lab: it has no token, so no request is its own
    new: warning 5211: route split: `trafficSplit` is ignored beside `service`
    new: warning 5211: route split: `resumable` is ignored, as it is no stream
    new: warning 5211: service s: its servers are never cold, as `coldStartS` and `coldPerS` aren't both above 0
    new: warning 5211: limits: the token rate is negative, which counts as unknown
    new: warning 5211: route zero: 0 attempts count as 1
    new: warning 5218: route zero: another route has the same name in logs
    ");
    assert_eq!(report.exit_code(), 1);
}

/// Failure: limits that contradict each other, or the settings of the gateways, go unnoticed.
#[test]
fn contradictory_limits_are_reported() {
    let mut catalog = catalog(
        4,
        &json!([
            route("slow", &json!({"targetLatencyMs": 901})),
            route("once", &json!({"kind": "non_idempotent", "maxAttempts": 1}))
        ]),
    );
    catalog["services"] =
        json!([{"name": "s", "maxConnections": 3, "engine": {"slots": 4, "kvCapacity": 0}}]);
    let hedging = settings("[hedging]\nshare = 0.1\nquantile = 0.9\nafter_ms = 900\n");
    let mut unhedged = catalog.clone();
    unhedged["routes"][0]["maxAttempts"] = json!(1);

    let several = check(&with_settings(&catalog, &hedging));
    let none = check(&with_settings(&unhedged, &hedging));

    insta::assert_snapshot!(several.problems(), @r"
    new: warning 5207: route slow: the timeout of 900ms is below the latency objective of 901ms
    new: warning 5208: the retry budget is 0, and there are several attempts for 1 route (slow)
    ini: warning 5209: [hedging]: hedges take from the retry budget, which is 0
    ini: warning 5210: [hedging]: `after_ms` of 900ms isn't below the timeout of 1 route (slow)
    ini: warning 5211: [hedging]: `after_ms` replaces `quantile`
    new: warning 5211: service s: KV capacity of 0; each server runs one request at a time
    new: warning 5212: service s: a server accepts 3 connections for 4 slots
    ");
    insta::assert_snapshot!(none.problems(), @r"
    new: warning 5207: route slow: the timeout of 900ms is below the latency objective of 901ms
    ini: warning 5209: [hedging]: hedges take from the retry budget, which is 0
    ini: warning 5210: [hedging]: no route may be hedged; it takes an idempotent one with two attempts or more
    ini: warning 5211: [hedging]: `after_ms` replaces `quantile`
    new: warning 5211: service s: KV capacity of 0; each server runs one request at a time
    new: warning 5212: service s: a server accepts 3 connections for 4 slots
    ");
}

/// Failure: faults of the section on hedging, or of a section after it, are missed or are reported at another line.
#[test]
fn faults_of_the_settings_keep_their_lines() {
    let text = settings(
        "[hedging]\nshare = 0.6\nquantile = x\nservices = some\nwait = 1\n[policy]\nother = 1\n",
    );

    let report = check(&with_settings(&plain(4), &text));

    insta::assert_snapshot!(report.problems(), @r"
    ini:25: error 1004: unknown key `wait`
    ini:27: error 1004: unknown key `other`
    ini:22: error 1006: `share` must be between 0 and 0.5
    ini:23: error 1006: invalid value `x` for `quantile`
    ini:24: error 1006: `services` must be one of: all, speed_reported
    ");
    assert_eq!(report.exit_code(), 2);
}

/// Failure: a route is bound to regions that the fleet doesn't have, or that its account may not use, and each of its
/// requests is refused.
#[test]
fn route_that_no_region_can_serve_is_reported() {
    let mut catalog = catalog(
        1,
        &json!([
            route("anywhere", &json!({"maxAttempts": 1})),
            route(
                "north",
                &json!({"maxAttempts": 1, "allowedRegions": ["north"]})
            ),
            route(
                "west",
                &json!({"maxAttempts": 1, "allowedRegions": ["west"]})
            ),
        ]),
    );
    catalog["tenants"] = json!([{"name": "free", "apiKeys": ["k"]}, {"name": "bound", "apiKeys": ["l"], "allowedRegions": ["south"]}]);
    let servers = vec![server("s", "b", "ready"), server("s", "a", "draining")];

    let without = check(&input(&catalog));
    let by_domains = check(&with_settings(&catalog, &settings("")));
    let by_servers = check(&Input {
        servers: Some(servers),
        ..with_settings(&catalog, &settings(""))
    });
    let no_server = check(&Input {
        servers: Some(Vec::new()),
        ..input(&catalog)
    });

    insta::assert_snapshot!(without.problems(), @r"
    new: warning 5203: route north: no region can serve it for 1 account (bound)
    new: warning 5203: route west: no region can serve it for 1 account (bound)
    ");
    insta::assert_snapshot!(by_domains.problems(), @r"
    new: warning 5202: route west: no server is in region west
    new: warning 5203: route north: no region can serve it for 1 account (bound)
    new: warning 5203: route west: no region can serve it
    ");
    insta::assert_snapshot!(by_servers.problems(), @r"
    new: warning 5202: route north: no server is in region north
    new: warning 5202: route west: no server is in region west
    new: warning 5203: route north: no region can serve it
    new: warning 5203: route west: no region can serve it
    ");
    insta::assert_snapshot!(no_server.problems(), @r"
    new: warning 5203: route north: no region can serve it for 1 account (bound)
    new: warning 5203: route west: no region can serve it for 1 account (bound)
    new: warning 5217: service s: no server is registered for it
    ");
}

/// Failure: a change is omitted, changes the exit code though nothing disappears, or a token is printed.
#[test]
fn differences_are_information() {
    let mut candidate = plain(5);
    candidate["routes"] = json!([
        route("a", &json!({"timeoutMs": 800, "allowedRegions": ["north"]})),
        route("a/b", &json!({})),
        route("c", &json!({}))
    ]);
    candidate["services"] = json!([{"name": "s", "engine": {"slots": 4, "kvCapacity": 10}}]);
    candidate["tenants"] = json!([{"name": "lab", "apiKeys": ["secret"], "priority": 2}, {"name": "two", "apiKeys": ["k"]}]);
    candidate["limits"] = json!({"maxBodyBytes": 5});
    let mut present = plain(4);
    present["tenants"] =
        json!([{"name": "lab", "apiKeys": ["key"]}, {"name": "old", "apiKeys": ["o"]}]);

    let report = compare(&present, &candidate);

    insta::assert_snapshot!(report.summary() + &report.problems(), @r"
    version 5: 3 routes, 1 services, 2 accounts
    compared with version 4
    new: info 5301: added: route h/c/
    new: info 5301: added: account two
    new: info 5302: changed: route h/a/, timeout 900ms -> 800ms, regions any -> north
    new: info 5302: changed: service s, connections 9 -> 0, slots none -> 4, KV capacity none -> 10, copy time none -> 0ns
    new: info 5302: changed: account lab, priority none -> 2, tokens +1 -1
    new: info 5302: changed: limits, body bytes 4194304 -> 5
    new: info 5303: removed: account old
    0 errors, 0 warnings
    ");
    assert_eq!(report.exit_code(), 0);
}

/// Failure: routes, services or the need for a token disappear without a warning.
#[test]
fn disappearing_entries_are_warnings() {
    let mut present = plain(4);
    let elsewhere = route("x", &json!({"host": "other", "service": "t"}));
    present["routes"] = json!([
        route("a", &json!({})),
        route("a/b", &json!({})),
        route("c", &json!({})),
        elsewhere
    ]);
    present["services"] = json!([{"name": "s"}, {"name": "t"}]);
    let mut candidate = plain(5);
    candidate["routes"] = json!([route("a", &json!({}))]);
    candidate["tenants"] = json!([]);

    let report = compare(&present, &candidate);

    insta::assert_snapshot!(report.problems(), @r"
    new: warning 5213: removed: route h/a/b/: route a takes its requests
    new: warning 5213: removed: route h/c/: its requests are refused with 3021
    new: warning 5213: removed: route other/x/: its requests are refused with 3021
    new: warning 5214: removed: service t
    new: warning 5215: host other has no route any more
    new: warning 5216: all accounts are removed: callers need no token any more
    ");
    assert_eq!(report.exit_code(), 1);
}

/// Failure: a version that gateways ignore is accepted, or the version in force itself is not.
#[test]
fn version_that_gateways_ignore_is_an_error() {
    let mut other = plain(4);
    other["limits"] = json!({"maxBodyBytes": 5});
    let mut refused = plain(3);
    refused["routes"][0]["service"] = json!("t");
    let malformed = Input {
        present: Some(document("old", "{")),
        ..input(&plain(4))
    };

    let ignored = compare(&plain(4), &other);
    let same = compare(&plain(4), &plain(4));
    let unparsable = check(&malformed);

    insta::assert_snapshot!(ignored.problems(), @"new: error 5106: never in force: version 4 is not above 4");
    assert_eq!((same.findings.len(), same.exit_code()), (0, 0));
    insta::assert_snapshot!(compare(&refused, &plain(4)).problems(), @"old: warning 5219: gateways refuse it with 2002: route a names an unknown service t");
    insta::assert_snapshot!(unparsable.problems(), @"old: unreadable 5401: EOF while parsing an object at line 1 column 1");
    assert_eq!(unparsable.exit_code(), 3);
}

proptest! {
    /// Failure: a check panics on a corrupted document, or accepts one that can't be parsed.
    #[test]
    fn corrupted_documents_are_checked(
        at in any::<prop::sample::Index>(), cut in 0_usize..4, replacement in "[-0-9a-z\"{}.,é]{0,9}",
    ) {
        let mut candidate = input(&plain(5)).candidate;
        let start = at.index(candidate.bytes.len());
        let end = (start + cut).min(candidate.bytes.len());
        candidate.bytes.splice(start..end, replacement.bytes());
        let settings = settings(&format!("[hedging]\nshare = {replacement}\n"));

        let report = check(&Input {
            settings: Some(document("ini", &settings)),
            present: Some(candidate.clone()),
            candidate,
            servers: None,
        });

        prop_assert!(report.version.is_some() || report.exit_code() >= 2);
    }
}
